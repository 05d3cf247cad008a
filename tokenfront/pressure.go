package tokenfront

import (
	"fmt"
	"math"
	"sync/atomic"
	"time"

	"pimentospread"
	"pimentospread/steer"
)

const (
	// pressureInterval is the interval at which the steering duty publishes the pressure of
	// services. Collections are further apart.
	pressureInterval = 500 * time.Millisecond
	// maxPressureGauges limits the services with a gauge.
	maxPressureGauges = 64
)

// pressureGauges publishes the pressure of each service. Only the steering duty updates it;
// collections read the values.
type pressureGauges struct {
	metrics pimentospread.Metrics
	updated time.Time
	// values holds the bits of the float64 of each service.
	values map[pimentospread.ServiceName]*atomic.Uint64
}

func newPressureGauges(m pimentospread.Metrics) *pressureGauges {
	return &pressureGauges{metrics: m, values: map[pimentospread.ServiceName]*atomic.Uint64{}}
}

// update publishes the pressure of all services if the last update is an interval ago. A
// service that is no longer reported has the pressure 0.
func (g *pressureGauges) update(now time.Time, s *steer.Steerer) {
	if now.Sub(g.updated) < pressureInterval {
		return
	}
	g.updated = now
	for _, v := range g.values {
		v.Store(0)
	}
	s.Pressure(now, g.set)
}

func (g *pressureGauges) set(service pimentospread.ServiceName, pressure float64) {
	v, ok := g.values[service]
	if !ok {
		if len(g.values) >= maxPressureGauges {
			return
		}
		v = &atomic.Uint64{}
		g.values[service] = v
		g.metrics.Gauge(fmt.Sprintf("pimentospread_pressure{service=%q}", service), func() float64 { return math.Float64frombits(v.Load()) })
	}
	v.Store(math.Float64bits(pressure))
}
