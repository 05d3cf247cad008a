package decide

import (
	"time"

	"pimentospread"
	"pimentospread/flow"
)

// FlowsDeps is what a flow shard is made of.
type FlowsDeps struct {
	// Shard and Shards say which part of the flows this instance owns.
	Shard, Shards int
	// MaxFlows bounds the flow table; flows beyond it are steered but not remembered.
	MaxFlows int
}

// Causes of dropped packets.
const (
	DropNoView          DropCause = "no_view"
	DropUnknownService  DropCause = "unknown_service"
	DropForeignTarget   DropCause = "foreign_target"
	DropForeignService  DropCause = "foreign_service"
	DropNoTarget        DropCause = "no_target"
	DropTargetGone      DropCause = "target_gone"
	DropTargetFull      DropCause = "target_full"
	DropNotActivated    DropCause = "not_activated"
	DropNoRecord        DropCause = "no_record"
	DropNoAnswer        DropCause = "no_answer"
	DropTooManyHeld     DropCause = "too_many_held"
	DropMalformedNotice DropCause = "malformed_message"
)

// FlowStats are the counts of one shard.
type FlowStats struct {
	// Held counts the flows that the shard knows, per target.
	Held map[pimentospread.TargetID]int
	// Records counts the records that the shard holds for the cell.
	Records int
	// Drops counts dropped packets by cause, Questions the questions to holders.
	Drops     map[DropCause]int
	Questions int
	// Resets counts flows that were found silent.
	Resets int
	// Memory is the size of all tables.
	Memory pimentospread.Bytes
}

// Flows steers the packets of the flows of one shard. It is owned by one duty.
type Flows struct {
	deps  FlowsDeps
	view  *View
	flows *flow.Table
	stats FlowStats
}

// NewFlows returns a shard without a view, which drops every packet.
func NewFlows(deps FlowsDeps) *Flows {
	return &Flows{
		deps:  deps,
		flows: flow.NewTable(),
		stats: FlowStats{Held: map[pimentospread.TargetID]int{}, Drops: map[DropCause]int{}},
	}
}

// Configure takes a new view of the cell.
func (f *Flows) Configure(_ time.Time, v *View, _ *FlowActions) { f.view = v }

// Packet steers one packet. raw belongs to the caller of Packet; the actions
// refer to it, so they are carried out before it is used again.
func (f *Flows) Packet(_ time.Time, p flow.Packet, raw []byte, a *FlowActions) {
	if f.view == nil {
		f.drop(DropNoView, a)
		return
	}
	s, ok := f.view.Services[p.Service]
	if !ok {
		f.drop(DropUnknownService, a)
		return
	}
	target := s.Table.Lookup(p.ID).Default
	if e := f.flows.Get(p.ID); e != nil {
		target = e.Target
	} else if target != 0 {
		f.flows.Put(flow.Entry{ID: p.ID, Target: target, Service: p.Service})
	}
	g, ok := s.Table.Target(target)
	if !ok {
		f.drop(DropTargetGone, a)
		return
	}
	if p.Direction == flow.ToCaller {
		a.Delivers = append(a.Delivers, Deliver{Packet: raw})
		return
	}
	a.Forwards = append(a.Forwards, Forward{Service: p.Service, Target: target, Address: g.FlowAddress, Packet: raw})
}

// Peer takes a message from another host.
func (f *Flows) Peer(time.Time, pimentospread.Inbound, *FlowActions) {}

// Tick does what is due.
func (f *Flows) Tick(time.Time, *FlowActions) {}

// Leave starts the handover of the records to the hosts that stay.
func (f *Flows) Leave(time.Time, *FlowActions) {}

// HandedOver reports whether the handover that Leave started is done.
func (f *Flows) HandedOver() bool { return true }

// Prepared reports whether the peers may rely on this shard's knowledge of the
// last view. The control duty announces a generation, and acknowledges the
// flag of a target, only once every shard is prepared.
func (f *Flows) Prepared() bool { return f.view != nil }

// Stats returns a copy of the counts.
func (f *Flows) Stats() FlowStats {
	s := f.stats
	s.Memory = f.flows.Size()
	return s
}

func (f *Flows) drop(cause DropCause, a *FlowActions) {
	f.stats.Drops[cause]++
	a.Drops = append(a.Drops, cause)
}
