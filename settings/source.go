package settings

import (
	"os"
	"reflect"
)

// Source provides the settings of a process.
type Source struct {
	// Read returns the current settings as JSON.
	Read func() ([]byte, error)
	// ReloadSignal receives when the settings must be read again. Nil means never.
	ReloadSignal <-chan os.Signal
}

// reloadable holds the names of the fields that take effect without a restart.
var reloadable = map[string]bool{"LogLevel": true, "FlowLogShare": true, "RemoteCost": true, "ColdSpeed": true, "EvenLoad": true, "LoadShedding": true}

// Changes returns the names of the fields that differ in next, divided into those
// that take effect immediately and those that require a restart.
func (s Settings) Changes(next Settings) (immediate, restart []string) {
	before, after := reflect.ValueOf(s), reflect.ValueOf(next)
	for i, f := range reflect.VisibleFields(before.Type()) {
		switch {
		case reflect.DeepEqual(before.Field(i).Interface(), after.Field(i).Interface()):
		case reloadable[f.Name]:
			immediate = append(immediate, f.Name)
		default:
			restart = append(restart, f.Name)
		}
	}
	return immediate, restart
}
