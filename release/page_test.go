package release_test

import (
	"os"
	"reflect"
	"strings"
	"testing"

	"pimentospread/policy"
	"pimentospread/pool"
	"pimentospread/service"
)

// TestPageHasEveryField guards against a field that is missing from the reference of objects.
func TestPageHasEveryField(t *testing.T) {
	page, err := os.ReadFile("../docs/objects.md")
	if err != nil {
		t.Fatal(err)
	}
	for _, v := range []any{service.Service{}, pool.Pool{}, pool.Target{}, policy.Policy{}, policy.Class{}} {
		for i := range reflect.TypeOf(v).NumField() {
			if name := reflect.TypeOf(v).Field(i).Name; !strings.Contains(string(page), "| `"+name+"` |") {
				t.Errorf("%T: field %s is missing from docs/objects.md", v, name)
			}
		}
	}
}
