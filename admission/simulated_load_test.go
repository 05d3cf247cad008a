package admission

import (
	"math/rand/v2"
	"testing"

	"pimentospread"
)

// variants returns the pairs of admission and placement that the tests compare, by name.
func variants(s Service, hosts int) map[string]func(int) simulatedHost {
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
	unlimitedHost := func(least bool) func(int) simulatedHost {
		return func(h int) simulatedHost {
			r := rand.New(rand.NewPCG(7, uint64(h)))
			return simulatedHost{queue(), &unlimitedPlacement{placement(h), r, make([]pimentospread.Slots, len(s.Targets)), least}}
		}
	}
	return map[string]func(int) simulatedHost{
		"pimentospread":       func(h int) simulatedHost { return simulatedHost{queue(), placement(h)} },
		"FIFO":                func(h int) simulatedHost { return simulatedHost{&fifoAdmission{}, placement(h)} },
		"random":              unlimitedHost(false),
		"least reported load": unlimitedHost(true),
	}
}

// forEachPoolShape runs the test for each of the poolShapes.
func forEachPoolShape(t *testing.T, run func(*testing.T, Service, int)) {
	for _, shape := range poolShapes {
		t.Run(shape.name, func(t *testing.T) {
			t.Parallel()
			run(t, testService(shape.targets, shape.slots), shape.hosts)
		})
	}
}

// capacity returns the number of slots of all targets, which are equal.
func capacity(s Service) float64 { return float64(len(s.Targets)) * float64(s.Targets[0].Slots) }

// callers returns the callers 1 to n.
func callers(n uint64) []uint64 {
	all := make([]uint64, n)
	for i := range all {
		all[i] = uint64(i + 1)
	}
	return all
}

// sum adds up the counts of the seconds from first to before last.
func sum(counts []int, first, last int) int {
	n := 0
	for _, c := range counts[first:last] {
		n += c
	}
	return n
}

// TestImbalance guards against an uneven use of the targets at 80% load. Each target
// accepts everything and queues what exceeds its slots. Two ratios to the mean use
// are bounded: the highest use of a target at one time and its highest average use.
func TestImbalance(t *testing.T) {
	forEachPoolShape(t, func(t *testing.T, s Service, hosts int) {
		for _, name := range []string{"pimentospread", "random", "least reported load"} {
			sim := newSimulation(s, hosts, variants(s, hosts)[name])
			for _, target := range sim.targets {
				target.queues = true
			}
			sim.run(120, 1, stream{urgent, callers(100), 0.8 * capacity(s) / 0.1, 0, 120})
			highest := 0.0
			for _, target := range sim.targets {
				highest = max(highest, target.use)
			}
			peak, average := sim.maxUse/sim.meanUse, highest/sim.meanUse
			t.Logf("%-20s peak imbalance %.3f, average imbalance %.3f, mean use %.3f, served %.4f", name, peak, average,
				sim.meanUse/sim.samples, float64(sum(sim.done[urgent], 0, 120))/float64(sum(sim.offered[urgent], 0, 120)))
			if name == "pimentospread" && (peak > 1.25 || average > 1.25) {
				t.Errorf("imbalance %.3f at peak and %.3f on average, want at most 1.25", peak, average)
			}
		}
	})
}

// TestFloodOfLeastUrgent guards against a flood of the least urgent class that slows
// down the urgent class, and against slots that the urgent class leaves unused and
// the flood does not get. The flood lasts 5 s longer than the urgent work, so that
// all urgent requests have ended.
func TestFloodOfLeastUrgent(t *testing.T) {
	forEachPoolShape(t, func(t *testing.T, s Service, hosts int) {
		reports := stream{urgent, callers(100), 0.3 * capacity(s) / 0.1, 0, 60}
		maps := stream{low, callers(100), 10 * capacity(s) / 0.3, 0, 65}
		for _, name := range []string{"pimentospread", "FIFO"} {
			alone, flooded := newSimulation(s, hosts, variants(s, hosts)[name]), newSimulation(s, hosts, variants(s, hosts)[name])
			alone.run(65, 2, reports)
			flooded.run(65, 2, reports, maps)
			kept := float64(sum(flooded.done[urgent], 0, 65)) / float64(sum(alone.done[urgent], 0, 65))
			used := flooded.slotTime[low] / (65*capacity(s) - flooded.slotTime[urgent])
			t.Logf("%-13s urgent class keeps %.4f of its requests done, flood gets %.4f of the remaining slot time, %d attempts shed", name, kept, used, flooded.results[pimentospread.ResultShed])
			if name == "pimentospread" && (kept < 0.99 || used < 0.9) {
				t.Errorf("urgent class keeps %.4f of its requests done, want at least 0.99; flood gets %.4f of the remaining slot time, want at least 0.9", kept, used)
			}
		}
	})
}

// TestUrgentFloodAfterLowFlood guards against a backlog of the low class that delays a
// flood of urgent work, and against an urgent flood that starves the low class. The
// rates are summed over several runs, because one second of one run varies by several
// percent.
func TestUrgentFloodAfterLowFlood(t *testing.T) {
	forEachPoolShape(t, func(t *testing.T, s Service, hosts int) {
		runs := uint64(20 * 8 / capacity(s))
		for _, name := range []string{"pimentospread", "FIFO"} {
			early, steady, lowDone := 0, 0, 0
			for seed := range runs {
				sim := newSimulation(s, hosts, variants(s, hosts)[name])
				sim.run(20, seed, stream{low, callers(100), 10 * capacity(s) / 0.3, 0, 20}, stream{urgent, callers(100), 10 * capacity(s) / 0.1, 5, 20})
				early += sum(sim.done[urgent], 6, 7)
				steady += sum(sim.done[urgent], 8, 20)
				lowDone += sum(sim.done[low], 8, 20)
			}
			rate := 12 * float64(early) / float64(steady)
			t.Logf("%-13s urgent rate after 1 s is %.4f of the steady rate, low class gets %.4f of the turns", name, rate, float64(lowDone)/float64(steady+lowDone))
			if name == "pimentospread" && (rate < 0.95 || float64(lowDone) < 0.04*float64(steady)) {
				t.Errorf("urgent rate after 1 s is %.4f of the steady rate, want at least 0.95; low class finished %d requests, want at least 4%% of those of the urgent class", rate, lowDone)
			}
		}
	})
}

// TestFairnessOfCallers guards against a caller that sends ten times as much as each
// of nine others and takes their share. Each of the others sends twice an equal share
// of the capacity, so that all callers always have waiting requests and should get
// equal shares.
func TestFairnessOfCallers(t *testing.T) {
	forEachPoolShape(t, func(t *testing.T, s Service, hosts int) {
		share := capacity(s) / 0.1 / 10
		for _, name := range []string{"pimentospread", "FIFO"} {
			sim := newSimulation(s, hosts, variants(s, hosts)[name])
			sim.run(60, 3, stream{urgent, callers(9), 18 * share, 0, 60}, stream{urgent, []uint64{10}, 20 * share, 0, 60})
			least, total, squares := sim.byCaller[1], 0, 0
			for _, n := range sim.byCaller {
				least, total, squares = min(least, n), total+n, squares+n*n
			}
			kept := 10 * float64(least) / float64(total)
			t.Logf("%-13s least served caller gets %.4f of an equal share, Jain index %.4f", name, kept, float64(total)*float64(total)/float64(10*squares))
			if name == "pimentospread" && kept < 0.95 {
				t.Errorf("least served caller gets %.4f of an equal share, want at least 0.95", kept)
			}
		}
	})
}

// TestMisleadingTargets guards against targets that attract work because they report
// idle while they never answer or fail at once. The load is 0.4 of the capacity.
func TestMisleadingTargets(t *testing.T) {
	forEachPoolShape(t, func(t *testing.T, s Service, hosts int) {
		lost := map[string]float64{}
		for _, name := range []string{"pimentospread", "random", "least reported load"} {
			sim := newSimulation(s, hosts, variants(s, hosts)[name])
			sim.targets[0].silent, sim.targets[1].failed = true, true
			sim.run(60, 4, stream{urgent, callers(100), 0.4 * capacity(s) / 0.1, 0, 60})
			lost[name] = 1 - float64(sum(sim.done[urgent], 0, 60))/float64(sum(sim.offered[urgent], 0, 60))
			t.Logf("%-20s %d timeouts, %d failures, %d attempts shed, %.4f of the requests not done", name,
				sim.results[pimentospread.ResultTimeout], sim.results[pimentospread.ResultFailed], sim.results[pimentospread.ResultShed], lost[name])
		}
		if lost["pimentospread"] > lost["random"] || lost["pimentospread"] > lost["least reported load"] {
			t.Errorf("pimentospread leaves a larger share of requests not done than a baseline: %v", lost)
		}
	})
}
