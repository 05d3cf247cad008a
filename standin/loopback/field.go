package loopback

import (
	"encoding/json"
	"strconv"
	"strings"

	"github.com/joomcode/errorx"

	"pimentospread"
)

// fieldAt returns the value at a path such as "Hosts.0.AdminAddress". A string is
// returned without quotes, every other value as JSON.
func fieldAt(data []byte, path string) (string, error) {
	for _, name := range strings.Split(path, ".") {
		value, err := child(data, name)
		if err != nil {
			return "", pimentospread.At(err, "show", path)
		}
		data = value
	}
	var text string
	if json.Unmarshal(data, &text) == nil {
		return text, nil
	}
	return string(data), nil
}

// child returns an item of a list by its index, or a field of an object by its name.
func child(data []byte, name string) (json.RawMessage, *errorx.Error) {
	if index, err := strconv.Atoi(name); err == nil {
		var list []json.RawMessage
		if json.Unmarshal(data, &list) != nil || index < 0 || index >= len(list) {
			return nil, pimentospread.ErrNotFound.New("list has no item %q", name)
		}
		return list[index], nil
	}
	var object map[string]json.RawMessage
	if json.Unmarshal(data, &object) != nil || object[name] == nil {
		return nil, pimentospread.ErrNotFound.New("object has no field %q", name)
	}
	return object[name], nil
}
