package settings

import (
	"os"
	"reflect"
)

// Source is where the settings of a process come from.
type Source struct {
	// Read returns the settings as they are now.
	Read func() ([]byte, error)
	// Reload receives when the settings are to be read again. Nil means never.
	Reload <-chan os.Signal
}

// Live names the fields that take effect without a restart.
var live = map[string]bool{"LogLevel": true, "FlowLogShare": true, "RemoteCost": true, "ColdSpeed": true}

// Changes returns the names of the fields that differ: those that take effect
// at once, and those that need a restart.
func (s Settings) Changes(next Settings) (now, restart []string) {
	before, after := reflect.ValueOf(s), reflect.ValueOf(next)
	for i, f := range reflect.VisibleFields(before.Type()) {
		switch {
		case reflect.DeepEqual(before.Field(i).Interface(), after.Field(i).Interface()):
		case live[f.Name]:
			now = append(now, f.Name)
		default:
			restart = append(restart, f.Name)
		}
	}
	return now, restart
}
