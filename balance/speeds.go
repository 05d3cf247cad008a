package balance

import (
	"cmp"
	"math"
	"slices"
	"time"

	"pimentospread"
)

// SpeedsConfig sets how fast speeds are learned and forgotten.
type SpeedsConfig struct {
	// Memory is the time after which the weight of a response time has decreased to 1/e.
	Memory time.Duration
	// Shrinkage is the number of response times at which half of what they show counts, on a
	// logarithmic scale.
	Shrinkage float64
	// MaxFactor is the highest factor.
	MaxFactor float64
}

const (
	// refreshInterval is how long computed results are used.
	refreshInterval = 100 * time.Millisecond
	// maxRecent limits the targets of a service that its reference is computed from, and so the time
	// that this takes.
	maxRecent = 32
	// minWeight is the weight below which a target does not count for the reference of its service.
	minWeight = 0.5
	// failureFactor is how many times shorter than the reference the response time of a failure
	// is. A target that is full, or that fails, answers at once; speeds of targets differ by less.
	failureFactor = 3
	// minRecent is the number of targets with recent response times from which there is a
	// reference, and learningTime how long they must have been seen. Without both, a few slow targets could set
	// a reference by which all requests of the others seem to fail.
	minRecent    = 4
	learningTime = time.Second
)

// Speeds holds how slow targets are relative to the others of their service, from the
// response times that this host sees. It is not safe for concurrent use.
//
// It averages logarithms: single response times vary by a factor of seven, and a few long ones
// would decide an average of the times themselves.
type Speeds struct {
	config   SpeedsConfig
	targets  map[pimentospread.Token]*Speed
	services map[pimentospread.ServiceName]*service
}

// Speed is the observed speed of one target.
type Speed struct {
	service *service
	// recent is set if the target is in the list of its service.
	recent bool
	// mean is the mean logarithm of the response times in seconds, without those of failures.
	mean float64
	// weight is the number of response times in mean, and failures that of the others, both as
	// of updated. Older ones count less.
	weight, failures float64
	updated          time.Time
	// factor and concealed are the results, which are used until expires.
	factor, concealed float64
	expires           time.Time
}

// service is the observed speed of the targets of a service.
type service struct {
	targets int
	// recent holds targets with recent response times, in the order of their means as of computed.
	recent []*Speed
	// reference is the lower quartile of the means. With the median, the targets that still work
	// would be taken to fail when more than half become slow.
	reference float64
	computed  time.Time
	// learning is since when there have been minRecent targets. It is zero if there are fewer.
	learning time.Time
}

// NewSpeeds returns a Speeds without response times.
func NewSpeeds(c SpeedsConfig) *Speeds {
	return &Speeds{config: c, targets: map[pimentospread.Token]*Speed{}, services: map[pimentospread.ServiceName]*service{}}
}

// Target returns the speed of a target and creates it if needed. The pointer stays valid
// until Retain drops the target.
func (s *Speeds) Target(name pimentospread.ServiceName, token pimentospread.Token) *Speed {
	if t, ok := s.targets[token]; ok {
		return t
	}
	of, ok := s.services[name]
	if !ok {
		of = &service{recent: make([]*Speed, 0, maxRecent)}
		s.services[name] = of
	}
	t := &Speed{service: of, factor: 1, concealed: 1}
	s.targets[token] = t
	of.targets++
	return t
}

// Retain drops the targets that are not in the set.
func (s *Speeds) Retain(keep func(pimentospread.Token) bool) {
	dropped := map[*Speed]bool{}
	for token, t := range s.targets {
		if !keep(token) {
			dropped[t] = true
			t.service.targets--
			delete(s.targets, token)
		}
	}
	if len(dropped) == 0 {
		return
	}
	for name, of := range s.services {
		of.recent = slices.DeleteFunc(of.recent, func(t *Speed) bool { return dropped[t] })
		if of.targets == 0 {
			delete(s.services, name)
		}
	}
}

// Observe records the response time of one request. One that is much shorter than the reference
// counts as a failure: it does not show the speed of the target.
func (s *Speeds) Observe(now time.Time, name pimentospread.ServiceName, token pimentospread.Token, answerTime time.Duration) {
	if answerTime <= 0 {
		return
	}
	t := s.Target(name, token)
	decay := t.decay(now, s.config.Memory)
	t.weight, t.failures, t.updated = t.weight*decay, t.failures*decay, now
	logarithm := math.Log(answerTime.Seconds())
	if reference, known := t.service.referenceAt(now, s.config.Memory); known && logarithm < reference-math.Log(failureFactor) {
		t.failures++
		return
	}
	t.weight++
	t.mean += (logarithm - t.mean) / t.weight
	if !t.recent && len(t.service.recent) < maxRecent {
		t.recent = true
		t.service.recent = append(t.service.recent, t)
	}
}

// decay returns the factor by which the weights have decreased since the last response time.
func (t *Speed) decay(now time.Time, memory time.Duration) float64 {
	return math.Exp(-float64(max(now.Sub(t.updated), 0)) / float64(memory))
}

// Weights returns by what the load of a target is multiplied to compare it with that of others.
//
// The factor is how many times as long the target takes as the faster targets of its service. It
// is 1 for a target that is faster still, so that one that fails fast attracts no work, and for
// one without recent response times.
//
// The average load is also multiplied by concealed: how many times higher it would be if the requests that failed
// had taken as long as the others. Failures end at once, so that a target that fails looks idle.
func (s *Speeds) Weights(now time.Time, t *Speed) (factor, concealed float64) {
	if !now.Before(t.expires) {
		s.refresh(now, t)
	}
	return t.factor, t.concealed
}

// refresh computes the weights of a target.
func (s *Speeds) refresh(now time.Time, t *Speed) {
	t.expires = now.Add(refreshInterval)
	decay := t.decay(now, s.config.Memory)
	weight, failures := t.weight*decay, t.failures*decay
	t.factor = 1
	if reference, known := t.service.referenceAt(now, s.config.Memory); known && weight > 0 {
		excess := (t.mean - reference) * weight / (weight + s.config.Shrinkage)
		t.factor = min(max(math.Exp(excess), 1), s.config.MaxFactor)
	}
	t.concealed = (weight + failures + s.config.Shrinkage) / (weight + s.config.Shrinkage)
}

// referenceAt returns the reference of the service, and false if there are no recent response times.
func (s *service) referenceAt(now time.Time, memory time.Duration) (float64, bool) {
	if now.Sub(s.computed) < refreshInterval {
		return s.reference, s.known(now)
	}
	s.computed = now
	kept := s.recent[:0]
	for _, t := range s.recent {
		if t.recent = t.weight*t.decay(now, memory) >= minWeight; t.recent {
			kept = append(kept, t)
		}
	}
	clear(s.recent[len(kept):])
	s.recent = kept
	switch {
	case len(kept) < minRecent:
		s.learning = time.Time{}
		return 0, false
	case s.learning.IsZero():
		s.learning = now
	}
	slices.SortFunc(kept, func(a, b *Speed) int { return cmp.Compare(a.mean, b.mean) })
	s.reference = kept[(len(kept)-1)/4].mean
	return s.reference, s.known(now)
}

// known reports whether there is a reference.
func (s *service) known(now time.Time) bool {
	return !s.learning.IsZero() && now.Sub(s.learning) >= learningTime
}
