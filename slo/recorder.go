// Package slo measures how fast the requests of each service and class consume
// their error budget and how evenly the work is spread over the callers.
package slo

import (
	"time"

	"pimentospread"
	"pimentospread/policy"
)

// Service holds the properties of a service that a recorder uses.
type Service struct {
	ID      pimentospread.ServiceID
	Name    pimentospread.ServiceName
	Classes []policy.Class
}

// RecorderDeps are the dependencies of a Recorder.
type RecorderDeps struct {
	Host pimentospread.HostID
}

// Recorder counts the requests that one host completes. Its memory is bounded by
// the services and classes of the release and by maxCallers for each service. It
// is not safe for concurrent use.
type Recorder struct {
	host     pimentospread.HostID
	services map[pimentospread.ServiceID]*serviceRecorder
	// order is the order of the services in reports.
	order []pimentospread.ServiceID
	// unknown counts the requests of unknown services or classes.
	unknown uint64
}

// serviceRecorder counts the requests of one service.
type serviceRecorder struct {
	name    pimentospread.ServiceName
	classes map[pimentospread.Class]*classRecorder
	// order is the order of the classes in reports.
	order []pimentospread.Class
	// halfIndex is the number of the current half of the long window since the Unix epoch.
	halfIndex int64
	// currentCallers and previousCallers hold the callers of this half and the one before it.
	currentCallers, previousCallers *callerSample
}

// classRecorder counts the requests of one class in both windows.
type classRecorder struct {
	config      policy.Class
	short, long window
}

// NewRecorder returns a recorder without services. Configure adds them.
func NewRecorder(deps RecorderDeps) *Recorder {
	return &Recorder{host: deps.Host, services: map[pimentospread.ServiceID]*serviceRecorder{}}
}

// Configure replaces the services. Services and classes that remain keep their counts.
func (r *Recorder) Configure(now time.Time, services []Service) {
	old := r.services
	r.services = make(map[pimentospread.ServiceID]*serviceRecorder, len(services))
	r.order = r.order[:0]
	for _, service := range services {
		s := old[service.ID]
		if s == nil {
			s = &serviceRecorder{halfIndex: halfWindowIndex(now), currentCallers: newCallerSample(), previousCallers: newCallerSample()}
		}
		s.configure(now, service)
		r.services[service.ID] = s
		r.order = append(r.order, service.ID)
	}
}

func (s *serviceRecorder) configure(now time.Time, service Service) {
	old := s.classes
	s.name = service.Name
	s.classes = make(map[pimentospread.Class]*classRecorder, len(service.Classes))
	s.order = s.order[:0]
	for _, class := range service.Classes {
		c := old[class.Name]
		if c == nil {
			c = &classRecorder{short: newWindow(now, ShortWindow), long: newWindow(now, LongWindow)}
		}
		c.config = class
		s.classes[class.Name] = c
		s.order = append(s.order, class.Name)
	}
}

// Record counts a completed request. good reports that the request succeeded before
// its deadline. Requests of an unknown service or class are counted separately.
func (r *Recorder) Record(now time.Time, service pimentospread.ServiceID, class pimentospread.Class, caller pimentospread.CallerID, good bool) {
	s := r.services[service]
	if s == nil || s.classes[class] == nil {
		r.unknown++
		return
	}
	c := s.classes[class]
	count, work := Count{Total: 1}, uint64(0)
	if good {
		count.Good, work = 1, uint64(max(1, c.config.Weight))
	}
	c.short.add(now, count)
	c.long.add(now, count)
	s.advance(now)
	s.currentCallers.add(caller, work)
}

// halfWindowIndex returns the number of half windows since the Unix epoch.
func halfWindowIndex(now time.Time) int64 { return now.UnixNano() / int64(LongWindow/2) }

// advance moves to the half window of now and drops callers of halves before the
// previous one. The work of callers thus covers between half of the long window and
// all of it.
func (s *serviceRecorder) advance(now time.Time) {
	index := halfWindowIndex(now)
	if index <= s.halfIndex {
		return
	}
	s.previousCallers = s.currentCallers
	if index > s.halfIndex+1 {
		s.previousCallers = newCallerSample()
	}
	s.currentCallers = newCallerSample()
	s.halfIndex = index
}

// Report returns the counts of the host. The result shares no memory with the recorder.
func (r *Recorder) Report(now time.Time) HostReport {
	report := HostReport{Host: r.host, At: now, Unknown: r.unknown}
	for _, id := range r.order {
		s := r.services[id]
		s.advance(now)
		counts := ServiceCounts{Service: s.name, Callers: s.previousCallers.merge(s.currentCallers.Callers)}
		for _, name := range s.order {
			c := s.classes[name]
			c.short.advance(now)
			c.long.advance(now)
			counts.Classes = append(counts.Classes, ClassCounts{
				Class: name, Objective: c.config.Objective, Short: c.short.sum, Long: c.long.sum,
			})
		}
		report.Services = append(report.Services, counts)
	}
	return report
}
