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

// identityEvery is how often the published release is read.
const identityEvery = 500 * time.Millisecond

// Identity is what the published release says of a target. Without one a
// target takes no frame.
type Identity struct {
	Service pimentospread.ServiceID
	Target  pimentospread.TargetID
	// DrainedAt is the time of the release in which the target began to drain, or zero.
	DrainedAt time.Time
}

// FindIdentity looks for the target with the flow address in the pool of the named service.
func FindIdentity(r release.Release, name pimentospread.ServiceName, address netip.AddrPort) (Identity, bool) {
	v, ok := findService(r.Set, name)
	if !ok {
		return Identity{}, false
	}
	for _, p := range r.Set.TargetPools {
		if p.Name != v.Pool {
			continue
		}
		for _, t := range p.Targets {
			if t.FlowAddress != address {
				continue
			}
			i := Identity{Service: v.ID, Target: t.ID}
			if t.State == pool.Draining {
				i.DrainedAt = r.PublishedAt
			}
			return i, true
		}
	}
	return Identity{}, false
}

func findService(s release.Set, name pimentospread.ServiceName) (service.Service, bool) {
	for _, v := range s.Services {
		if v.Name == name {
			return v, true
		}
	}
	return service.Service{}, false
}

// registry reads the release and tells each target its identity.
type registry struct {
	client  *loopback.Client
	url     string
	service pimentospread.ServiceName
	targets []*Target
}

// run is the duty that reads until the context ends. When the platform does
// not answer, the targets keep what they know.
func (r *registry) run(ctx context.Context) error {
	tick := time.NewTicker(identityEvery)
	defer tick.Stop()
	for {
		var o struct{ Value release.Release }
		if err := r.client.GetJSON(ctx, r.url, &o); err == nil {
			if err := r.tell(ctx, o.Value); err != nil {
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

func (r *registry) tell(ctx context.Context, published release.Release) error {
	for _, t := range r.targets {
		i, ok := FindIdentity(published, r.service, t.flowSocket.Address())
		if !ok {
			continue
		}
		if err := t.identities.Put(ctx, i); err != nil {
			return err
		}
	}
	return nil
}
