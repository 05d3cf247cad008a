package admission

import (
	"math/rand/v2"
	"slices"
	"time"

	"pimentospread"
)

// firstCome is admission in order of arrival with one bound, as a baseline.
type firstCome struct{ works []pimentospread.Work }

func (f *firstCome) Offer(_ time.Time, w pimentospread.Work) []pimentospread.Refusal {
	if len(f.works) >= 64 {
		return []pimentospread.Refusal{{Work: w, Reason: ReasonFull}}
	}
	f.works = append(f.works, w)
	return nil
}

func (f *firstCome) Next(time.Time, pimentospread.ServiceID) (pimentospread.Work, bool) {
	if len(f.works) == 0 {
		return pimentospread.Work{}, false
	}
	w := f.works[0]
	f.works = f.works[1:]
	return w, true
}

func (f *firstCome) Remove(pimentospread.RequestID) bool { return false }

func (f *firstCome) Expire(now time.Time) []pimentospread.Refusal {
	f.works = slices.DeleteFunc(f.works, func(w pimentospread.Work) bool { return now.Sub(w.Arrived) >= 5*time.Second })
	return nil
}

func (f *firstCome) Ended(time.Time, pimentospread.ServiceID, time.Duration) {}
func (f *firstCome) Waiting(pimentospread.ServiceID) int                     { return len(f.works) }

// unlimited picks any target at random, or the one with the least reported load, as baselines.
type unlimited struct {
	*Limiter
	random   *rand.Rand
	reported []pimentospread.Slots
	least    bool
}

func (u *unlimited) Pick(time.Time, pimentospread.ServiceID, []pimentospread.TargetID) (pimentospread.TargetID, bool) {
	best := u.random.IntN(len(u.reported))
	if u.least {
		for range u.reported {
			// Starts at a random target, so that ties spread.
			if i := u.random.IntN(len(u.reported)); u.reported[i] < u.reported[best] {
				best = i
			}
		}
	}
	return pimentospread.TargetID(best + 1), true
}

func (u *unlimited) Report(_ time.Time, r pimentospread.LoadReport) {
	u.reported[r.Target-1] = r.Running
}
func (u *unlimited) Finish(time.Time, pimentospread.TargetID, pimentospread.Result, time.Duration) {
}
