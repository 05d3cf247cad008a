package flow

import "pimentospread"

// Record says which target holds a flow that the table does not give to it.
type Record struct {
	Flow    pimentospread.FlowID    `msgpack:"Flow"`
	Service pimentospread.ServiceID `msgpack:"Service"`
	Target  pimentospread.TargetID  `msgpack:"Target"`
}
