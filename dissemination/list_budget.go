package dissemination

import (
	"time"

	"pimentospread"
)

const (
	// listEntryBytes is the size of one host in a whole list. A target takes 28.5 bytes.
	listEntryBytes = 35
	// listShare is the share of the link of a host that whole lists may take. Hosts that
	// are refused get the list from the platform or from other hosts.
	listShare = 0.02
	// unknownLink is the assumed link of a host whose speed is unknown. It is that of the
	// slowest hosts of the large deployments.
	unknownLink     = pimentospread.Megabits(20)
	bytesPerMegabit = 1_000_000 / 8
	// listBurst allows the lists of that time at once.
	listBurst = time.Second
	// minListInterval is the time after which a host may get the same list again. The first
	// one was lost with its connection by then.
	minListInterval = time.Second
)

// listBudget limits the rate of whole lists that a host sends, whoever asks for them.
// Changes are not limited: they are small, and configurations and removed targets must not
// wait.
type listBudget struct {
	bytesPerSecond float64
	// free is when the rate allows for all lists that were sent.
	free time.Time
}

// newListBudget returns the budget of a host with the link.
func newListBudget(link pimentospread.Megabits) listBudget {
	if link == 0 {
		link = unknownLink
	}
	return listBudget{bytesPerSecond: listShare * float64(link) * bytesPerMegabit}
}

// take reports whether a list with that many entries may be sent now, and counts it if so.
func (b *listBudget) take(now time.Time, entries int) bool {
	if b.free.Sub(now) >= listBurst {
		return false
	}
	if b.free.Before(now) {
		b.free = now
	}
	b.free = b.free.Add(time.Duration(float64(entries*listEntryBytes) / b.bytesPerSecond * float64(time.Second)))
	return true
}
