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

// hostEntry is what a host writes of itself into the platform, so that the
// others find it. An entry holds nothing that changes with a restart, so that
// a restart changes nothing for the others. It stays when the host stops; the
// first host of its failure domain removes it when it does not come back.
type hostEntry struct {
	FailureDomain pimentospread.FailureDomain `json:"FailureDomain"`
	PeerAddress   netip.AddrPort              `json:"PeerAddress"`
}

// registrar is the duty that keeps the entry of this host in the platform.
type registrar struct {
	self  dissemination.Peer
	book  pimentospread.ObjectStore
	clock pimentospread.Clock
	// missing says that the platform has no entry of this host, or another one.
	missing *ring.Ring[struct{}]
	// remove names hosts whose entries nobody needs.
	remove *ring.Ring[pimentospread.HostID]
	log    *slog.Logger
}

func (r *registrar) run(ctx context.Context) error {
	r.register(ctx, false)
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-r.missing.Items():
			r.register(ctx, true)
		case host := <-r.remove.Items():
			r.unregister(ctx, host)
		}
	}
}

// register creates the entry, or replaces one that differs.
func (r *registrar) register(ctx context.Context, replace bool) {
	pause := firstRetry
	for ctx.Err() == nil {
		err := r.write(ctx, replace)
		if err == nil {
			return
		}
		r.log.Warn("host is not registered with the platform; trying again", "error", err, "pause", pause)
		t := time.NewTimer(pause)
		select {
		case <-ctx.Done():
		case <-t.C:
		}
		t.Stop()
		pause = min(2*pause, lastRegisterRetry)
	}
}

// write makes one call when the entry is missing, and one when it is there, as
// after a restart. The list of hosts shows whether the one that is there differs.
func (r *registrar) write(ctx context.Context, replace bool) error {
	key := pimentospread.ObjectKey{Kind: pimentospread.KindHost, Name: string(r.self.Host)}
	value, err := json.Marshal(hostEntry{FailureDomain: r.self.FailureDomain, PeerAddress: r.self.Address})
	if err != nil {
		return pimentospread.At(pimentospread.ErrInvalid.Wrap(err, "entry of the host"), "encode", "")
	}
	var held pimentospread.Object
	if replace {
		held, err = r.book.Get(ctx, key)
		if err != nil && !errorx.IsOfType(err, pimentospread.ErrNotFound) {
			return err
		}
	}
	_, err = r.book.Put(ctx, key, value, held.Version)
	if errorx.IsOfType(err, pimentospread.ErrConflict) && !replace {
		return nil
	}
	return err
}

// unregister removes the entry of a host that is gone. When that fails the
// entry stays until it is tried again.
func (r *registrar) unregister(ctx context.Context, host pimentospread.HostID) {
	key := pimentospread.ObjectKey{Kind: pimentospread.KindHost, Name: string(host)}
	held, err := r.book.Get(ctx, key)
	if err == nil {
		err = r.book.Delete(ctx, key, held.Version)
	}
	if err != nil && !errorx.IsOfType(err, pimentospread.ErrNotFound) {
		r.log.Warn("entry of a host is not removed from the platform", "peer", host, "error", err)
		return
	}
	r.log.Info("entry of a host removed from the platform", "peer", host)
}

// translateHosts turns objects into an update of the hosts.
func translateHosts(full bool, from, revision pimentospread.ObjectVersion, changes []pimentospread.Change) (event, error) {
	u := dissemination.PeersUpdate{Full: full, From: from, Revision: revision}
	for _, c := range changes {
		var entry hostEntry
		if c.Deleted || json.Unmarshal(c.Value, &entry) != nil || !entry.PeerAddress.IsValid() {
			u.Removed = append(u.Removed, pimentospread.HostID(c.Name))
			continue
		}
		u.Present = append(u.Present, dissemination.Peer{
			Host: pimentospread.HostID(c.Name), FailureDomain: entry.FailureDomain, Address: entry.PeerAddress,
		})
	}
	return hostsHeard{u}, nil
}
