package admission

import (
	"math/rand/v2"
	"slices"
	"time"

	"pimentospread"
)

// fifoAdmission is a baseline that admits work in order of arrival up to one bound.
type fifoAdmission struct{ works []pimentospread.Work }

func (f *fifoAdmission) Offer(_ time.Time, w pimentospread.Work) []pimentospread.Refusal {
	if len(f.works) >= 64 {
		return []pimentospread.Refusal{{Work: w, Reason: ReasonFull}}
	}
	f.works = append(f.works, w)
	return nil
}

func (f *fifoAdmission) Next(time.Time, pimentospread.ServiceID) (pimentospread.Work, bool) {
	if len(f.works) == 0 {
		return pimentospread.Work{}, false
	}
	w := f.works[0]
	f.works = f.works[1:]
	return w, true
}

func (f *fifoAdmission) Remove(pimentospread.RequestID) bool { return false }

func (f *fifoAdmission) Expire(now time.Time) []pimentospread.Refusal {
	f.works = slices.DeleteFunc(f.works, func(w pimentospread.Work) bool { return now.Sub(w.Arrived) >= 5*time.Second })
	return nil
}

func (f *fifoAdmission) Ended(time.Time, pimentospread.ServiceID, time.Duration) {}
func (f *fifoAdmission) Waiting(pimentospread.ServiceID) int                     { return len(f.works) }

// unlimitedPlacement is a baseline without limits. It picks a random target, or the
// one with the least reported load.
type unlimitedPlacement struct {
	*Limiter
	random   *rand.Rand
	reported []pimentospread.Slots
	least    bool
}

func (u *unlimitedPlacement) Pick(time.Time, pimentospread.ServiceID, []pimentospread.TargetID) (pimentospread.TargetID, bool) {
	best := u.random.IntN(len(u.reported))
	if u.least {
		for range u.reported {
			// Comparing targets in random order spreads ties.
			if i := u.random.IntN(len(u.reported)); u.reported[i] < u.reported[best] {
				best = i
			}
		}
	}
	return pimentospread.TargetID(best + 1), true
}

func (u *unlimitedPlacement) Report(_ time.Time, r pimentospread.LoadReport) {
	u.reported[r.Target-1] = r.Running
}
func (u *unlimitedPlacement) Finish(time.Time, pimentospread.TargetID, pimentospread.Result, time.Duration) {
}
