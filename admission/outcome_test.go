package admission

import (
	"math/rand/v2"
	"testing"

	"pimentospread"
)

// policies are the ways to admit and place that a run compares.
func policies(s Service, hosts int) map[string]func(int) loadHost {
	placement := func(h int) *Limiter {
		l := NewLimiter(LimiterDeps{})
		l.Configure(start, []Service{s}, hostIDs(hosts), hostIDs(hosts)[h])
		return l
	}
	queue := func() *Queue {
		q := NewQueue(QueueDeps{})
		q.Configure(start, []Service{s}, hostIDs(hosts), "")
		return q
	}
	blind := func(least bool) func(int) loadHost {
		return func(h int) loadHost {
			r := rand.New(rand.NewPCG(7, uint64(h)))
			return loadHost{queue(), &unlimited{placement(h), r, make([]pimentospread.Slots, len(s.Targets)), least}}
		}
	}
	return map[string]func(int) loadHost{
		"product":             func(h int) loadHost { return loadHost{queue(), placement(h)} },
		"first come":          func(h int) loadHost { return loadHost{&firstCome{}, placement(h)} },
		"random":              blind(false),
		"least reported load": blind(true),
	}
}

// eachShape runs the test for each pool of the deployments.
func eachShape(t *testing.T, run func(*testing.T, Service, int)) {
	for _, shape := range poolShapes {
		t.Run(shape.name, func(t *testing.T) {
			t.Parallel()
			run(t, testService(shape.targets, shape.slots), shape.hosts)
		})
	}
}

func capacity(s Service) float64 { return float64(len(s.Targets)) * float64(s.Targets[0].Slots) }

func callers(n uint64) []uint64 {
	all := make([]uint64, n)
	for i := range all {
		all[i] = uint64(i + 1)
	}
	return all
}

func sum(counts []int, first, last int) int {
	n := 0
	for _, c := range counts[first:last] {
		n += c
	}
	return n
}

// Guards against targets that run more than others at 80% load. Each target
// accepts everything and holds back what exceeds its slots. Two ratios are
// bounded: the highest use at a time and the highest average use of a target,
// each over the mean use.
func TestImbalance(t *testing.T) {
	eachShape(t, func(t *testing.T, s Service, hosts int) {
		for _, name := range []string{"product", "random", "least reported load"} {
			l := newLoad(s, hosts, policies(s, hosts)[name])
			for _, g := range l.targets {
				g.queues = true
			}
			l.run(120, 1, stream{urgent, callers(100), 0.8 * capacity(s) / 0.1, 0, 120})
			highest := 0.0
			for _, g := range l.targets {
				highest = max(highest, g.use)
			}
			atATime, average := l.maxUse/l.meanUse, highest/l.meanUse
			t.Logf("%-20s at a time %.3f, on average %.3f, mean use %.3f, served %.4f", name, atATime, average,
				l.meanUse/l.samples, float64(sum(l.done[urgent], 0, 120))/float64(sum(l.offered[urgent], 0, 120)))
			if name == "product" && (atATime > 1.25 || average > 1.25) {
				t.Errorf("imbalance %.3f at a time, %.3f on average, want at most 1.25", atATime, average)
			}
		}
	})
}

// Guards against a flood of the least urgent class that takes service from the
// urgent class or wastes the slots that the urgent class leaves. The flood
// lasts 5 s longer than the urgent work, so that all of that has ended.
func TestFloodOfLeastUrgent(t *testing.T) {
	eachShape(t, func(t *testing.T, s Service, hosts int) {
		reports := stream{urgent, callers(100), 0.3 * capacity(s) / 0.1, 0, 60}
		maps := stream{low, callers(100), 10 * capacity(s) / 0.3, 0, 65}
		for _, name := range []string{"product", "first come"} {
			alone, flooded := newLoad(s, hosts, policies(s, hosts)[name]), newLoad(s, hosts, policies(s, hosts)[name])
			alone.run(65, 2, reports)
			flooded.run(65, 2, reports, maps)
			kept := float64(sum(flooded.done[urgent], 0, 65)) / float64(sum(alone.done[urgent], 0, 65))
			used := flooded.slotTime[low] / (65*capacity(s) - flooded.slotTime[urgent])
			t.Logf("%-10s urgent keeps %.4f, flood gets %.4f of the rest, %d shed", name, kept, used, flooded.results[pimentospread.ResultShed])
			if name == "product" && (kept < 0.99 || used < 0.9) {
				t.Errorf("urgent keeps %.4f, want 0.99; flood gets %.4f of the rest, want 0.9", kept, used)
			}
		}
	})
}

// Guards against a backlog of maps that delays a flood of urgent work, and
// against an urgent flood that starves the lower class for good. The rates add
// up several runs, because one second of one run varies by several percent.
func TestUrgentFloodAfterLowFlood(t *testing.T) {
	eachShape(t, func(t *testing.T, s Service, hosts int) {
		runs := uint64(20 * 8 / capacity(s))
		for _, name := range []string{"product", "first come"} {
			early, steady, starved := 0, 0, 0
			for seed := range runs {
				l := newLoad(s, hosts, policies(s, hosts)[name])
				l.run(20, seed, stream{low, callers(100), 10 * capacity(s) / 0.3, 0, 20}, stream{urgent, callers(100), 10 * capacity(s) / 0.1, 5, 20})
				early += sum(l.done[urgent], 6, 7)
				steady += sum(l.done[urgent], 8, 20)
				starved += sum(l.done[low], 8, 20)
			}
			rate := 12 * float64(early) / float64(steady)
			t.Logf("%-10s rate after 1 s %.4f of steady, low class %.4f of the turns", name, rate, float64(starved)/float64(steady+starved))
			if name == "product" && (rate < 0.95 || float64(starved) < 0.04*float64(steady)) {
				t.Errorf("rate after 1 s is %.4f of steady, want 0.95; low class ran %d", rate, starved)
			}
		}
	})
}

// Guards against a caller that sends ten times as much as the nine others and
// takes their share. Each of the others sends twice an equal share of the
// capacity, so that all callers always wait and equal shares are due.
func TestFairnessOfCallers(t *testing.T) {
	eachShape(t, func(t *testing.T, s Service, hosts int) {
		share := capacity(s) / 0.1 / 10
		for _, name := range []string{"product", "first come"} {
			l := newLoad(s, hosts, policies(s, hosts)[name])
			l.run(60, 3, stream{urgent, callers(9), 18 * share, 0, 60}, stream{urgent, []uint64{10}, 20 * share, 0, 60})
			least, total, squares := l.byCaller[1], 0, 0
			for _, n := range l.byCaller {
				least, total, squares = min(least, n), total+n, squares+n*n
			}
			kept := 10 * float64(least) / float64(total)
			t.Logf("%-10s least caller %.4f of an equal share, Jain index %.4f", name, kept, float64(total)*float64(total)/float64(10*squares))
			if name == "product" && kept < 0.95 {
				t.Errorf("least caller gets %.4f of an equal share, want 0.95", kept)
			}
		}
	})
}

// Guards against targets that attract work by reporting idle while they answer
// nothing or fail at once. The load is 0.4 of the capacity.
func TestMisleadingTargets(t *testing.T) {
	eachShape(t, func(t *testing.T, s Service, hosts int) {
		lost := map[string]float64{}
		for _, name := range []string{"product", "random", "least reported load"} {
			l := newLoad(s, hosts, policies(s, hosts)[name])
			l.targets[0].silent, l.targets[1].failed = true, true
			l.run(60, 4, stream{urgent, callers(100), 0.4 * capacity(s) / 0.1, 0, 60})
			lost[name] = 1 - float64(sum(l.done[urgent], 0, 60))/float64(sum(l.offered[urgent], 0, 60))
			t.Logf("%-20s %d timeouts, %d failures, %d shed, %.4f of the requests without answer", name,
				l.results[pimentospread.ResultTimeout], l.results[pimentospread.ResultFailed], l.results[pimentospread.ResultShed], lost[name])
		}
		if lost["product"] > lost["random"] || lost["product"] > lost["least reported load"] {
			t.Errorf("the product leaves more requests without answer than a baseline: %v", lost)
		}
	})
}
