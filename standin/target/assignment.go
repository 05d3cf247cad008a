package target

import (
	"context"
	"net/netip"
	"time"

	"pimentospread"
	"pimentospread/pool"
	"pimentospread/release"
	"pimentospread/service"
	"pimentospread/standin/loopback"
)

// releaseReadInterval is the time between two reads of the published release.
const releaseReadInterval = 500 * time.Millisecond

// Assignment holds what the published release assigns to a target: its IDs, and the
// drain that an operator requested. It changes while the target runs. A target
// without an assignment ignores all frames.
type Assignment struct {
	Service pimentospread.ServiceID
	Target  pimentospread.TargetID
	// DrainedAt is the publication time of the release that drains the target, or zero.
	DrainedAt time.Time
}

// FindAssignment returns the assignment of the target with the flow address in the
// pool of the named service. It reports false when there is no such target.
func FindAssignment(r release.Release, name pimentospread.ServiceName, address netip.AddrPort) (Assignment, bool) {
	v, ok := findService(r.Set, name)
	if !ok {
		return Assignment{}, false
	}
	for _, p := range r.Set.TargetPools {
		if p.Name != v.Pool {
			continue
		}
		for _, t := range p.Targets {
			if t.FlowAddress != address {
				continue
			}
			a := Assignment{Service: v.ID, Target: t.ID}
			if t.State == pool.Draining {
				a.DrainedAt = r.PublishedAt
			}
			return a, true
		}
	}
	return Assignment{}, false
}

func findService(s release.Set, name pimentospread.ServiceName) (service.Service, bool) {
	for _, v := range s.Services {
		if v.Name == name {
			return v, true
		}
	}
	return service.Service{}, false
}

// releaseReader reads the published release and passes each target its assignment.
type releaseReader struct {
	client  *loopback.Client
	url     string
	service pimentospread.ServiceName
	targets []*Target
}

// run is the duty that reads the release until the context ends. While the
// platform does not answer, the targets keep their assignments.
func (r *releaseReader) run(ctx context.Context) error {
	tick := time.NewTicker(releaseReadInterval)
	defer tick.Stop()
	for {
		var o struct{ Value release.Release }
		if err := r.client.GetJSON(ctx, r.url, &o); err == nil {
			if err := r.enqueueAssignments(ctx, o.Value); err != nil {
				return err
			}
		}
		select {
		case <-ctx.Done():
			return nil
		case <-tick.C:
		}
	}
}

func (r *releaseReader) enqueueAssignments(ctx context.Context, published release.Release) error {
	for _, t := range r.targets {
		a, ok := FindAssignment(published, r.service, t.flowSocket.Address())
		if !ok {
			continue
		}
		if err := t.assignments.Put(ctx, a); err != nil {
			return err
		}
	}
	return nil
}
