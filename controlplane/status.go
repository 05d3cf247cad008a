package controlplane

import (
	"context"
	"time"

	"pimentospread"
	"pimentospread/member"
	"pimentospread/ring"
)

// statusRequest is a request for the cell status, with the ring for the reply.
type statusRequest struct {
	reply *ring.Ring[member.CellStatus]
}

// Status returns the status of the cell as seen by this host.
func (c *Controller) Status(ctx context.Context) (member.CellStatus, error) {
	q := statusRequest{reply: ring.New[member.CellStatus](1, ring.DropOldest)}
	if err := c.statusRequests.Put(ctx, q); err != nil {
		return member.CellStatus{}, err
	}
	select {
	case s := <-q.reply.Items():
		return s, nil
	case <-ctx.Done():
		return member.CellStatus{}, pimentospread.At(pimentospread.ErrTimeout.New("the control plane did not answer the status request"), "status", "")
	}
}

// Status returns the status of the cell at the given time.
func (c *Cell) Status(now time.Time) member.CellStatus {
	self := c.config.Self
	s := member.CellStatus{
		Reporter:   self.ID,
		Generation: c.HeldGeneration(),
		Hosts: []member.HostStatus{{
			Host: self.ID, FailureDomain: self.FailureDomain, AdminAddress: self.AdminAddress,
			Alive: true, Ready: c.Ready(), Leaving: c.leaving,
			Prepared: c.release.prepared, Active: c.ActiveGeneration(), HeardAt: now,
		}},
	}
	for _, p := range c.members.Peers() {
		alive := p.Alive(now)
		s.Hosts = append(s.Hosts, member.HostStatus{
			Host: p.Host.ID, FailureDomain: p.Host.FailureDomain, AdminAddress: p.Host.AdminAddress,
			Alive: alive, Ready: alive && p.Heartbeat.Ready, Leaving: p.Heartbeat.Leaving,
			Prepared: p.Heartbeat.Prepared, Active: p.Heartbeat.Active, HeardAt: p.LastHeartbeatAt,
		})
	}
	return s
}
