package pimentospread_test

import (
	"fmt"
	"testing"

	"pgregory.net/rapid"

	"pimentospread"
)

func ExampleNewObjectVersion() {
	before := pimentospread.NewObjectVersion(1, 93)
	restored := pimentospread.NewObjectVersion(2, 42)
	fmt.Println(restored > before, restored.Era(), restored.Revision())
	// Output: true 2 42
}

// Guards against a version of a restored store that counts as older than one before it.
func TestVersionsAreOrderedByEraFirst(t *testing.T) {
	revisions := rapid.Uint64Range(0, 1<<48-1)
	eras := rapid.Uint16()
	rapid.Check(t, func(t *rapid.T) {
		eraA, eraB := pimentospread.Era(eras.Draw(t, "era a")), pimentospread.Era(eras.Draw(t, "era b"))
		a, b := revisions.Draw(t, "revision a"), revisions.Draw(t, "revision b")
		va, vb := pimentospread.NewObjectVersion(eraA, a), pimentospread.NewObjectVersion(eraB, b)
		if want := eraA < eraB || eraA == eraB && a < b; va < vb != want {
			t.Fatalf("version (%d, %d) is less than (%d, %d): %t, want %t", eraA, a, eraB, b, va < vb, want)
		}
		if va.Era() != eraA || va.Revision() != a {
			t.Fatalf("version of (%d, %d) has era %d and revision %d", eraA, a, va.Era(), va.Revision())
		}
	})
}
