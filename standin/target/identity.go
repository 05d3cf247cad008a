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

// identityInterval is the time between two reads of the published release.
const identityInterval = 500 * time.Millisecond

// Identity holds the IDs that the published release assigns to a target. A target
// without an identity ignores all frames.
type Identity struct {
	Service pimentospread.ServiceID
	Target  pimentospread.TargetID
	// DrainedAt is the publication time of the release that drains the target, or zero.
	DrainedAt time.Time
}

// FindIdentity returns the identity of the target with the flow address in the
// pool of the named service. It reports false when there is no such target.
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

// releaseReader reads the published release and sets the identity of each target.
type releaseReader struct {
	client  *loopback.Client
	url     string
	service pimentospread.ServiceName
	targets []*Target
}

// run is the duty that reads the release until the context ends. While the
// platform does not answer, the targets keep their identities.
func (r *releaseReader) run(ctx context.Context) error {
	tick := time.NewTicker(identityInterval)
	defer tick.Stop()
	for {
		var o struct{ Value release.Release }
		if err := r.client.GetJSON(ctx, r.url, &o); err == nil {
			if err := r.setIdentities(ctx, o.Value); err != nil {
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

func (r *releaseReader) setIdentities(ctx context.Context, published release.Release) error {
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
