package loopback

import (
	"encoding/json"
	"strconv"
	"strings"

	"github.com/joomcode/errorx"

	"pimentospread"
)

// field returns the value at a path such as "Hosts.0.AdminAddress". A text is
// returned as it is, everything else as JSON.
func field(data []byte, path string) (string, error) {
	for _, name := range strings.Split(path, ".") {
		next, err := member(data, name)
		if err != nil {
			return "", pimentospread.At(err, "show", path)
		}
		data = next
	}
	var text string
	if json.Unmarshal(data, &text) == nil {
		return text, nil
	}
	return string(data), nil
}

func member(data []byte, name string) (json.RawMessage, *errorx.Error) {
	if i, err := strconv.Atoi(name); err == nil {
		var list []json.RawMessage
		if json.Unmarshal(data, &list) != nil || i < 0 || i >= len(list) {
			return nil, pimentospread.ErrNotFound.New("item %q does not exist", name)
		}
		return list[i], nil
	}
	var object map[string]json.RawMessage
	if json.Unmarshal(data, &object) != nil || object[name] == nil {
		return nil, pimentospread.ErrNotFound.New("field %q does not exist", name)
	}
	return object[name], nil
}
