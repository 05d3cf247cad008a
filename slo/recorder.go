// Package slo reports, for each service and class, how much of the error
// budget its requests burn, and how evenly callers are served.
package slo

import (
	"time"

	"pimentospread"
	"pimentospread/policy"
)

// Service is what a recorder needs to know of a service.
type Service struct {
	ID      pimentospread.ServiceID
	Name    pimentospread.ServiceName
	Classes []policy.Class
}

// RecorderDeps is what a recorder depends on.
type RecorderDeps struct {
	Host pimentospread.HostID
}

// Recorder counts the requests that end at one host. Its memory is bounded by
// the services and classes of the release and by maxCallers for each service.
type Recorder struct {
	host     pimentospread.HostID
	services map[pimentospread.ServiceID]*serviceRecord
	order    []pimentospread.ServiceID
	unknown  uint64
}

type serviceRecord struct {
	name    pimentospread.ServiceName
	classes map[pimentospread.Class]*classRecord
	order   []pimentospread.Class
	// half numbers the halves of the long window; older is the half before it.
	half         int64
	newer, older *sample
}

type classRecord struct {
	rule        policy.Class
	short, long window
}

// NewRecorder returns a recorder without services.
func NewRecorder(deps RecorderDeps) *Recorder {
	return &Recorder{host: deps.Host, services: map[pimentospread.ServiceID]*serviceRecord{}}
}

// Configure replaces the services. Counts of services and classes that remain are kept.
func (r *Recorder) Configure(now time.Time, services []Service) {
	old := r.services
	r.services = make(map[pimentospread.ServiceID]*serviceRecord, len(services))
	r.order = r.order[:0]
	for _, v := range services {
		s := old[v.ID]
		if s == nil {
			s = &serviceRecord{half: halfOf(now), newer: newSample(), older: newSample()}
		}
		s.configure(now, v)
		r.services[v.ID] = s
		r.order = append(r.order, v.ID)
	}
}

func (s *serviceRecord) configure(now time.Time, v Service) {
	old := s.classes
	s.name = v.Name
	s.classes = make(map[pimentospread.Class]*classRecord, len(v.Classes))
	s.order = s.order[:0]
	for _, rule := range v.Classes {
		c := old[rule.Name]
		if c == nil {
			c = &classRecord{short: newWindow(now, ShortWindow), long: newWindow(now, LongWindow)}
		}
		c.rule = rule
		s.classes[rule.Name] = c
		s.order = append(s.order, rule.Name)
	}
}

// Record counts a request that has ended. It is good when it was done in time.
// Requests of a service or class that does not exist are counted as unknown.
func (r *Recorder) Record(now time.Time, service pimentospread.ServiceID, class pimentospread.Class, caller pimentospread.CallerID, good bool) {
	s := r.services[service]
	if s == nil || s.classes[class] == nil {
		r.unknown++
		return
	}
	c := s.classes[class]
	count, work := Count{Total: 1}, uint64(0)
	if good {
		count.Good, work = 1, uint64(max(1, c.rule.Weight))
	}
	c.short.add(now, count)
	c.long.add(now, count)
	s.advance(now)
	s.newer.add(caller, work)
}

func halfOf(now time.Time) int64 { return now.UnixNano() / int64(LongWindow/2) }

// advance forgets the callers of the half before the last one. The work of
// callers therefore covers between a half and the whole of the long window.
func (s *serviceRecord) advance(now time.Time) {
	half := halfOf(now)
	if half <= s.half {
		return
	}
	s.older = s.newer
	if half > s.half+1 {
		s.older = newSample()
	}
	s.newer = newSample()
	s.half = half
}

// Report returns what the host has counted. The result shares nothing with the recorder.
func (r *Recorder) Report(now time.Time) HostReport {
	report := HostReport{Host: r.host, At: now, Unknown: r.unknown}
	for _, id := range r.order {
		s := r.services[id]
		s.advance(now)
		v := ServiceCounts{Service: s.name, Callers: s.older.merge(s.newer.Callers)}
		for _, name := range s.order {
			c := s.classes[name]
			c.short.advance(now)
			c.long.advance(now)
			v.Classes = append(v.Classes, ClassCounts{
				Class: name, Objective: c.rule.Objective, Short: c.short.sum, Long: c.long.sum,
			})
		}
		report.Services = append(report.Services, v)
	}
	return report
}
