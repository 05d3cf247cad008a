package release

import (
	"encoding"
	"encoding/json"
	"errors"
	"fmt"
	"maps"
	"reflect"
	"slices"
	"strings"

	"pimentospread"
)

// DecodeSet reads a set. Its error names every unknown field and every value
// of the wrong kind or unit as a fault; the set then has all the rest. It does
// not check references.
func DecodeSet(data []byte) (Set, error) {
	var raw json.RawMessage
	if err := json.Unmarshal(data, &raw); err != nil {
		return Set{}, pimentospread.At(pimentospread.ErrInvalid.Wrap(err, "object set is not valid JSON"), "decode", "")
	}
	var s Set
	sound, faults := sift("", raw, reflect.TypeFor[Set]())
	kept, err := json.Marshal(sound)
	if err == nil {
		err = json.Unmarshal(kept, &s)
	}
	if err != nil {
		return Set{}, pimentospread.At(pimentospread.ErrInvalid.Wrap(err, "object set is not valid"), "decode", "")
	}
	if len(faults) > 0 {
		err := pimentospread.ErrInvalid.New("the object set has %d unknown or unreadable fields", len(faults))
		return s, pimentospread.WithFaults(pimentospread.At(err, "decode", ""), faults)
	}
	return s, nil
}

// CheckSet returns every fault of a set that stands by itself, those of its
// fields and those of its objects. An error means that it is not JSON.
func CheckSet(data []byte) ([]pimentospread.Fault, error) {
	s, err := DecodeSet(data)
	faults := pimentospread.FaultsOf(err)
	if err != nil && len(faults) == 0 {
		return nil, err
	}
	unreadable := map[string]bool{}
	for _, f := range faults {
		unreadable[f.Path] = true
	}
	_, found := Next(nil, s, Publication{ID: "check"})
	for _, f := range found {
		// A value that could not be read is missing from the set; that is no second fault.
		if !unreadable[f.Path] {
			faults = append(faults, f)
		}
	}
	return faults, nil
}

// sift returns the part of the data that fits the type, and the faults of the rest.
func sift(path string, data json.RawMessage, t reflect.Type) (any, []pimentospread.Fault) {
	switch {
	case reflect.PointerTo(t).Implements(reflect.TypeFor[encoding.TextUnmarshaler]()):
		return siftValue(path, data, t)
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
