package dissemination

import (
	"maps"

	"github.com/vmihailenco/msgpack/v5"

	"pimentospread"
	"pimentospread/evacuation"
)

// additions are the parts of a state update that are newer than eras. They are a map, so that
// later releases can add to it, in a field that hosts of earlier releases skip.
type additions struct {
	// Services and Priorities complete the configuration or its changes. Priorities leaves out
	// routes of the highest priority.
	Services    []pimentospread.Service                            `msgpack:"Services"`
	Priorities  map[pimentospread.RouteName]pimentospread.Priority `msgpack:"Priorities"`
	Evacuations *evacuation.Snapshot                               `msgpack:"Evacuations"`
}

// EncodeMsgpack encodes the additions as a map without those that are empty.
func (a *additions) EncodeMsgpack(e *msgpack.Encoder) error {
	var fields []any
	if len(a.Services) > 0 {
		fields = append(fields, "Services", a.Services)
	}
	if len(a.Priorities) > 0 {
		fields = append(fields, "Priorities", a.Priorities)
	}
	if a.Evacuations != nil {
		fields = append(fields, "Evacuations", a.Evacuations)
	}
	if err := e.EncodeMapLen(len(fields) / 2); err != nil {
		return err
	}
	return e.EncodeMulti(fields...)
}

// additions returns the additions of the message, or nil if it has none.
func (m *StateUpdate) additions() *additions {
	a := additions{Evacuations: m.Evacuations}
	if m.Routes != nil {
		a.Services, a.Priorities = m.Routes.Services, maps.Clone(m.Routes.Priorities)
		for _, r := range m.Routes.Changed {
			if r.Priority != 0 {
				if a.Priorities == nil {
					a.Priorities = map[pimentospread.RouteName]pimentospread.Priority{}
				}
				a.Priorities[r.Name] = r.Priority
			}
		}
	}
	if a.Evacuations == nil && len(a.Services) == 0 && len(a.Priorities) == 0 {
		return nil
	}
	return &a
}

// add completes the message with its additions.
func (m *StateUpdate) add(a additions) {
	m.Evacuations = a.Evacuations
	if m.Routes == nil {
		return
	}
	m.Routes.Services = a.Services
	for i := range m.Routes.Changed {
		r := &m.Routes.Changed[i]
		r.Priority = a.Priorities[r.Name]
	}
	for _, r := range m.Routes.Changed {
		delete(a.Priorities, r.Name)
	}
	if len(a.Priorities) > 0 {
		m.Routes.Priorities = a.Priorities
	}
}
