// Package caller is a small stand-in for callers: it opens flows and sends
// requests through the fabric and records their results.
package caller

import (
	"bytes"
	"encoding/json"
	"fmt"
	"net/netip"
	"time"

	"pimentospread"
)

// Limits of the plan of one process.
const (
	maxFlows    = 100_000
	maxRate     = 20_000
	maxDuration = 10 * time.Minute
	maxCallers  = 60_000
)

// Plan describes the flows and requests of one caller process.
type Plan struct {
	// Process is part of the addresses and IDs of the callers, so that
	// several caller processes do not collide. It is at most 255.
	Process  uint8           `json:"Process"`
	Services []PlanService   `json:"Services"`
	Requests []RequestStream `json:"Requests"`
	// Callers is the number of distinct callers among which the requests are distributed.
	Callers int `json:"Callers"`
	// OpenRate is the number of flows opened per second.
	OpenRate int `json:"OpenRate"`
	// KeepAlive is the time between two keep-alive packets of a flow.
	KeepAlive pimentospread.Duration `json:"KeepAlive"`
	// SilentAfter is the time after which an unacknowledged packet makes its flow count as broken.
	SilentAfter pimentospread.Duration `json:"SilentAfter"`
	// Duration is the time in which new requests are sent. Afterwards the caller
	// probes the flows and waits for pending requests.
	Duration pimentospread.Duration `json:"Duration"`
	// AnswerSize is the length of a complete answer; it has to match the setting of the targets.
	AnswerSize int `json:"AnswerSize"`
}

// PlanService is a service that receives flows and requests.
type PlanService struct {
	Name    pimentospread.ServiceName `json:"Name"`
	Address netip.AddrPort            `json:"Address"`
	// Flows is the number of flows to open.
	Flows int `json:"Flows"`
}

// RequestStream is a stream of requests of one class.
type RequestStream struct {
	Class   pimentospread.Class       `json:"Class"`
	Service pimentospread.ServiceName `json:"Service"`
	// Rate is the number of requests per second.
	Rate int `json:"Rate"`
	// Deadline is the time from the first transmission of a request to its deadline.
	Deadline   pimentospread.Duration `json:"Deadline"`
	Idempotent bool                   `json:"Idempotent"`
	// CancelAfter is the time after which the caller withdraws a request without
	// an outcome; zero means never.
	CancelAfter pimentospread.Duration `json:"CancelAfter"`
	// After is the time from the start of the plan to the start of the stream.
	After pimentospread.Duration `json:"After"`
	// For is the length of the stream; zero means until the end of the plan.
	For pimentospread.Duration `json:"For"`
}

// DecodePlan decodes and checks a plan. It fills in defaults, and refuses
// unknown fields and values out of bounds.
func DecodePlan(data []byte) (Plan, error) {
	p := Plan{
		Callers: 100, OpenRate: 200, AnswerSize: 2500,
		KeepAlive:   pimentospread.Duration{Duration: 2 * time.Second},
		SilentAfter: pimentospread.Duration{Duration: 10 * time.Second},
		Duration:    pimentospread.Duration{Duration: 30 * time.Second},
	}
	d := json.NewDecoder(bytes.NewReader(data))
	d.DisallowUnknownFields()
	if err := d.Decode(&p); err != nil {
		return Plan{}, pimentospread.At(pimentospread.ErrInvalid.Wrap(err, "plan cannot be decoded"), "decode", "")
	}
	if faults := p.Check(); len(faults) > 0 {
		return Plan{}, pimentospread.At(pimentospread.ErrInvalid.New("plan is not valid: %v", faults), "check", "")
	}
	return p, nil
}

// Check returns every invalid value of the plan.
func (p Plan) Check() []pimentospread.Fault {
	var faults []pimentospread.Fault
	add := func(invalid bool, path, format string, args ...any) {
		if invalid {
			faults = append(faults, pimentospread.Faultf(path, format, args...))
		}
	}
	names := map[pimentospread.ServiceName]bool{}
	flows, rate := 0, 0
	for i, s := range p.Services {
		path := fmt.Sprintf("Services[%d]", i)
		add(names[s.Name], path+".Name", "%q appears twice", s.Name)
		add(!s.Address.IsValid() || !s.Address.Addr().Is4(), path+".Address", "%q is not an IPv4 address with a port", s.Address)
		add(s.Flows < 0, path+".Flows", "must not be below zero")
		names[s.Name] = true
		flows += s.Flows
	}
	for i, stream := range p.Requests {
		path := fmt.Sprintf("Requests[%d]", i)
		add(!names[stream.Service], path+".Service", "%q is not in Services", stream.Service)
		add(stream.Rate <= 0, path+".Rate", "must be above zero, is %d", stream.Rate)
		add(stream.Deadline.Duration <= 0, path+".Deadline", "must be above zero, is %s", stream.Deadline)
		rate += stream.Rate
	}
	add(flows > maxFlows, "Services", "%d flows are more than the limit of %d", flows, maxFlows)
	add(rate > maxRate, "Requests", "%d requests per second are more than the limit of %d", rate, maxRate)
	add(p.Callers < 1 || p.Callers > maxCallers, "Callers", "must be between 1 and %d, is %d", maxCallers, p.Callers)
	add(p.OpenRate < 1, "OpenRate", "must be above zero, is %d", p.OpenRate)
	add(p.KeepAlive.Duration <= 0, "KeepAlive", "must be above zero, is %s", p.KeepAlive)
	add(p.SilentAfter.Duration <= 0, "SilentAfter", "must be above zero, is %s", p.SilentAfter)
	add(p.Duration.Duration <= 0 || p.Duration.Duration > maxDuration, "Duration", "must be above zero and at most %s, is %s", maxDuration, p.Duration)
	return faults
}

// service returns the service of the given name, which exists in every checked plan.
func (p Plan) service(name pimentospread.ServiceName) PlanService {
	for _, s := range p.Services {
		if s.Name == name {
			return s
		}
	}
	return PlanService{}
}

// flowAddress returns the inner address of the nth flow, from the range that
// RFC 2544 reserves for benchmarks.
func (p Plan) flowAddress(n int) netip.AddrPort {
	return netip.AddrPortFrom(netip.AddrFrom4([4]byte{198, 18, p.Process, byte(n%250 + 1)}), uint16(10_000+n/250))
}

// callerAddress returns the inner address of the nth caller of requests, from
// the range that RFC 2544 reserves for benchmarks.
func (p Plan) callerAddress(n int) netip.AddrPort {
	return netip.AddrPortFrom(netip.AddrFrom4([4]byte{198, 19, p.Process, byte(n%250 + 1)}), uint16(10_000+n/250))
}

// callerID returns the ID of the nth caller of requests.
func (p Plan) callerID(n int) pimentospread.CallerID {
	return pimentospread.CallerID(uint64(p.Process)<<32 | uint64(n+1))
}
