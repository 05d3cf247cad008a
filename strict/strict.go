// Package strict decodes JSON written by people. It reports each unknown field
// and each value of the wrong type as a fault with its path.
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

// UnknownField is the problem of a field that the decoded type does not have.
const UnknownField = "is not a known field"

// Decode decodes data into the value that into points to. It skips values that
// cannot be decoded and returns a fault for each. Field names are case-sensitive.
// An error means that data is not JSON.
func Decode(data []byte, into any) ([]pimentospread.Fault, error) {
	var raw json.RawMessage
	if err := json.Unmarshal(data, &raw); err != nil {
		return nil, pimentospread.At(pimentospread.ErrInvalid.Wrap(err, "the text is not valid JSON"), "decode", "")
	}
	valid, faults := filter("", raw, reflect.TypeOf(into).Elem())
	filtered, err := json.Marshal(valid)
	if err == nil {
		err = json.Unmarshal(filtered, into)
	}
	if err != nil {
		return nil, pimentospread.At(pimentospread.ErrInvalid.Wrap(err, "the value cannot be decoded"), "decode", "")
	}
	return faults, nil
}

// filter returns the part of data that can be decoded into t, and the faults of
// the rest.
func filter(path string, data json.RawMessage, t reflect.Type) (any, []pimentospread.Fault) {
	switch {
	case reflect.PointerTo(t).Implements(reflect.TypeFor[encoding.TextUnmarshaler]()):
		return filterValue(path, data, t)
	case t.Kind() == reflect.Pointer:
		return filter(path, data, t.Elem())
	case t.Kind() == reflect.Struct:
		return filterObject(path, data, t)
	case t.Kind() == reflect.Slice:
		return filterList(path, data, t)
	default:
		return filterValue(path, data, t)
	}
}

func filterObject(path string, data json.RawMessage, t reflect.Type) (any, []pimentospread.Fault) {
	var fields map[string]json.RawMessage
	if json.Unmarshal(data, &fields) != nil {
		return nil, []pimentospread.Fault{pimentospread.Faultf(path, "is not an object")}
	}
	known := map[string]reflect.Type{}
	for i := range t.NumField() {
		name, _, _ := strings.Cut(t.Field(i).Tag.Get("json"), ",")
		known[name] = t.Field(i).Type
	}
	valid := map[string]any{}
	var faults []pimentospread.Fault
	for _, name := range slices.Sorted(maps.Keys(fields)) {
		fieldPath := strings.TrimPrefix(path+"."+name, ".")
		field, ok := known[name]
		if !ok {
			faults = append(faults, pimentospread.Faultf(fieldPath, UnknownField))
			continue
		}
		value, fieldFaults := filter(fieldPath, fields[name], field)
		faults = append(faults, fieldFaults...)
		if value != nil {
			valid[name] = value
		}
	}
	return valid, faults
}

func filterList(path string, data json.RawMessage, t reflect.Type) (any, []pimentospread.Fault) {
	var items []json.RawMessage
	if json.Unmarshal(data, &items) != nil {
		return nil, []pimentospread.Fault{pimentospread.Faultf(path, "is not a list")}
	}
	valid := []any{}
	var faults []pimentospread.Fault
	for i, item := range items {
		value, itemFaults := filter(fmt.Sprintf("%s[%d]", path, i), item, t.Elem())
		valid = append(valid, value)
		faults = append(faults, itemFaults...)
	}
	return valid, faults
}

func filterValue(path string, data json.RawMessage, t reflect.Type) (any, []pimentospread.Fault) {
	err := json.Unmarshal(data, reflect.New(t).Interface())
	if err == nil {
		return data, nil
	}
	problem := pimentospread.MessageOf(err)
	var typeError *json.UnmarshalTypeError
	if errors.As(err, &typeError) {
		problem = fmt.Sprintf("%s does not fit, must be %s", typeError.Value, jsonForm(t))
	}
	return nil, []pimentospread.Fault{pimentospread.Faultf(path, "%s", problem)}
}

// jsonForm describes the JSON form that t requires.
func jsonForm(t reflect.Type) string {
	switch {
	case t == reflect.TypeFor[pimentospread.Duration]():
		return `a text with a unit, such as "10s"`
	case t == reflect.TypeFor[netip.AddrPort]():
		return `a text of the form "ADDRESS:PORT"`
	}
	switch t.Kind() {
	case reflect.Uint8, reflect.Uint32, reflect.Uint64, reflect.Int, reflect.Int64:
		return "a whole number of " + fmt.Sprint(t.Bits()) + " bits"
	case reflect.Float64:
		return "a number"
	case reflect.Bool:
		return "true or false"
	default:
		return "a text"
	}
}
