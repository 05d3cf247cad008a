// Package strict decodes JSON that people write. Every unknown field and every
// value that does not fit becomes a fault with its path.
package strict

import (
	"encoding"
	"encoding/json"
	"errors"
	"fmt"
	"maps"
	"net/netip"
	"reflect"
	"slices"
	"strings"

	"pimentospread"
)

// Decode reads data into the value that into points to, and returns the faults
// of what does not fit; all the rest is read. Field names have to be spelled
// as in the type. An error means that data is not JSON.
func Decode(data []byte, into any) ([]pimentospread.Fault, error) {
	var raw json.RawMessage
	if err := json.Unmarshal(data, &raw); err != nil {
		return nil, pimentospread.At(pimentospread.ErrInvalid.Wrap(err, "the text is not valid JSON"), "decode", "")
	}
	sound, faults := sift("", raw, reflect.TypeOf(into).Elem())
	kept, err := json.Marshal(sound)
	if err == nil {
		err = json.Unmarshal(kept, into)
	}
	if err != nil {
		return nil, pimentospread.At(pimentospread.ErrInvalid.Wrap(err, "the value cannot be read"), "decode", "")
	}
	return faults, nil
}

// sift returns the part of the data that fits the type, and the faults of the rest.
func sift(path string, data json.RawMessage, t reflect.Type) (any, []pimentospread.Fault) {
	switch {
	case reflect.PointerTo(t).Implements(reflect.TypeFor[encoding.TextUnmarshaler]()):
		return siftValue(path, data, t)
	case t.Kind() == reflect.Pointer:
		return sift(path, data, t.Elem())
	case t.Kind() == reflect.Struct:
		return siftObject(path, data, t)
	case t.Kind() == reflect.Slice:
		return siftList(path, data, t)
	default:
		return siftValue(path, data, t)
	}
}

func siftObject(path string, data json.RawMessage, t reflect.Type) (any, []pimentospread.Fault) {
	var fields map[string]json.RawMessage
	if json.Unmarshal(data, &fields) != nil {
		return nil, []pimentospread.Fault{pimentospread.Faultf(path, "is not an object")}
	}
	known := map[string]reflect.Type{}
	for i := range t.NumField() {
		name, _, _ := strings.Cut(t.Field(i).Tag.Get("json"), ",")
		known[name] = t.Field(i).Type
	}
	sound := map[string]any{}
	var faults []pimentospread.Fault
	for _, name := range slices.Sorted(maps.Keys(fields)) {
		at := strings.TrimPrefix(path+"."+name, ".")
		field, ok := known[name]
		if !ok {
			faults = append(faults, pimentospread.Faultf(at, "is not a known field"))
			continue
		}
		value, found := sift(at, fields[name], field)
		faults = append(faults, found...)
		if value != nil {
			sound[name] = value
		}
	}
	return sound, faults
}

func siftList(path string, data json.RawMessage, t reflect.Type) (any, []pimentospread.Fault) {
	var items []json.RawMessage
	if json.Unmarshal(data, &items) != nil {
		return nil, []pimentospread.Fault{pimentospread.Faultf(path, "is not a list")}
	}
	sound := []any{}
	var faults []pimentospread.Fault
	for i, item := range items {
		value, found := sift(fmt.Sprintf("%s[%d]", path, i), item, t.Elem())
		sound = append(sound, value)
		faults = append(faults, found...)
	}
	return sound, faults
}

func siftValue(path string, data json.RawMessage, t reflect.Type) (any, []pimentospread.Fault) {
	err := json.Unmarshal(data, reflect.New(t).Interface())
	if err == nil {
		return data, nil
	}
	problem := pimentospread.MessageOf(err)
	var kind *json.UnmarshalTypeError
	if errors.As(err, &kind) {
		problem = fmt.Sprintf("%s does not fit, must be %s", kind.Value, kindName(t))
	}
	return nil, []pimentospread.Fault{pimentospread.Faultf(path, "%s", problem)}
}

func kindName(t reflect.Type) string {
	switch {
	case t == reflect.TypeFor[pimentospread.Duration]():
		return `a text with a unit, such as "10s"`
	case t == reflect.TypeFor[netip.AddrPort]():
		return `a text of the form "ADDRESS:PORT"`
	}
	switch t.Kind() {
	case reflect.Uint8, reflect.Uint32, reflect.Uint64, reflect.Int:
		return "a whole number of " + fmt.Sprint(t.Bits()) + " bits"
	case reflect.Float64:
		return "a number"
	case reflect.Bool:
		return "true or false"
	default:
		return "a text"
	}
}
