package tokenfront

import (
	"context"
	"encoding/json"
	"log/slog"
	"net/netip"
	"time"

	"github.com/joomcode/errorx"

	"pimentospread"
	"pimentospread/dissemination"
	"pimentospread/ring"
)

// hostEntry is the entry with which a host registers itself with the platform, so that
// other hosts find it. It holds nothing that a restart changes, so that a restart
// does not affect the other hosts. The entry stays when the host stops; the relay of
// its failure domain removes it if the host does not return.
type hostEntry struct {
	FailureDomain pimentospread.FailureDomain `json:"FailureDomain"`
	PeerAddress   netip.AddrPort              `json:"PeerAddress"`
	LinkSpeed     pimentospread.Megabits      `json:"LinkSpeed"`
}

// registrar is the duty that maintains the entry of this host on the platform.
type registrar struct {
	self        dissemination.Peer
	objectStore pimentospread.ObjectStore
	clock       pimentospread.Clock
	// reregistrations requests a new registration, because the entry of this host is
	// missing or differs.
	reregistrations *ring.Ring[struct{}]
	// removals holds hosts whose entries are no longer needed.
	removals *ring.Ring[pimentospread.HostID]
	log      *slog.Logger
}

func (r *registrar) run(ctx context.Context) error {
	r.register(ctx, false)
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-r.reregistrations.Items():
			r.register(ctx, true)
		case host := <-r.removals.Items():
			r.unregister(ctx, host)
		}
	}
}

// register creates the entry of this host. With replace it also overwrites an entry
// that differs. It retries until it succeeds or the context ends.
func (r *registrar) register(ctx context.Context, replace bool) {
	pause := minRetryPause
	for ctx.Err() == nil {
		err := r.write(ctx, replace)
		if err == nil {
			return
		}
		r.log.Warn("cannot register host with the platform; retrying", "error", err, "pause", pause)
		t := time.NewTimer(pause)
		select {
		case <-ctx.Done():
		case <-t.C:
		}
		t.Stop()
		pause = min(2*pause, maxRegisterPause)
	}
}

// write makes a single attempt. Without replace, an existing entry is kept, as after a
// restart: a single call is enough, and the list of hosts shows whether the entry
// differs.
func (r *registrar) write(ctx context.Context, replace bool) error {
	key := pimentospread.ObjectKey{Kind: pimentospread.KindHost, Name: string(r.self.Host)}
	value, err := json.Marshal(hostEntry{FailureDomain: r.self.FailureDomain, PeerAddress: r.self.Address, LinkSpeed: r.self.LinkSpeed})
	if err != nil {
		return pimentospread.At(pimentospread.ErrInvalid.Wrap(err, "cannot encode the entry of the host"), "encode", "")
	}
	var current pimentospread.Object
	if replace {
		current, err = r.objectStore.Get(ctx, key)
		if err != nil && !errorx.IsOfType(err, pimentospread.ErrNotFound) {
			return err
		}
	}
	_, err = r.objectStore.Put(ctx, key, value, current.Version)
	if errorx.IsOfType(err, pimentospread.ErrConflict) && !replace {
		return nil
	}
	return err
}

// unregister removes the entry of a lost host. If it fails, the entry stays until the
// removal is requested again.
func (r *registrar) unregister(ctx context.Context, host pimentospread.HostID) {
	key := pimentospread.ObjectKey{Kind: pimentospread.KindHost, Name: string(host)}
	current, err := r.objectStore.Get(ctx, key)
	if err == nil {
		err = r.objectStore.Delete(ctx, key, current.Version)
	}
	if err != nil && !errorx.IsOfType(err, pimentospread.ErrNotFound) {
		r.log.Warn("cannot remove the entry of a lost host from the platform", "peer", host, "error", err)
		return
	}
	r.log.Info("removed the entry of a lost host from the platform", "peer", host)
}

// translateHosts converts objects into an update of the hosts.
func translateHosts(full bool, from, revision pimentospread.ObjectVersion, changes []pimentospread.Change) (event, error) {
	u := dissemination.PeersUpdate{Full: full, From: from, Revision: revision}
	for _, c := range changes {
		var entry hostEntry
		if c.Deleted || json.Unmarshal(c.Value, &entry) != nil || !entry.PeerAddress.IsValid() {
			u.Removed = append(u.Removed, pimentospread.HostID(c.Name))
			continue
		}
		u.Present = append(u.Present, dissemination.Peer{
			Host: pimentospread.HostID(c.Name), FailureDomain: entry.FailureDomain, Address: entry.PeerAddress, LinkSpeed: entry.LinkSpeed,
		})
	}
	return hostsUpdate{u}, nil
}
