package admission

import (
	"flag"
	"fmt"
	"os"
	"testing"
	"time"

	"pimentospread"
	"pimentospread/policy"
	"pimentospread/pool"
)

// TestMain sets the seed and the number of checks, so that every run tests the same cases.
func TestMain(m *testing.M) {
	flag.Parse()
	for name, value := range map[string]string{"rapid.seed": "1", "rapid.checks": "300", "rapid.nofailfile": "true"} {
		if err := flag.Set(name, value); err != nil {
			panic(err)
		}
	}
	os.Exit(m.Run())
}

var start = time.Unix(1_700_000_000, 0)

const (
	urgent pimentospread.Class = "report"
	low    pimentospread.Class = "map"
)

func rule(name pimentospread.Class, urgency pimentospread.Urgency, length int) policy.Class {
	return policy.Class{
		Name: name, Urgency: urgency, QueueLength: length, Floor: 0.05, Objective: 0.99,
		MaxWait: pimentospread.Duration{Duration: 5 * time.Second},
	}
}

// testService returns service 1 with the classes low and urgent and equal targets.
func testService(targets int, slots pimentospread.Slots) Service {
	s := Service{ID: 1, ColdStart: 10 * time.Second, Classes: []policy.Class{rule(low, 1, 64), rule(urgent, 9, 64)}}
	for i := range targets {
		s.Targets = append(s.Targets, pool.Target{ID: pimentospread.TargetID(i + 1), Slots: slots, State: pool.Active})
	}
	return s
}

func hostIDs(n int) []pimentospread.HostID {
	hosts := make([]pimentospread.HostID, n)
	for i := range hosts {
		hosts[i] = pimentospread.HostID(fmt.Sprintf("host-%d", i))
	}
	return hosts
}

func work(caller, sequence uint64, class pimentospread.Class, now time.Time) pimentospread.Work {
	return pimentospread.Work{
		Request: pimentospread.RequestID{Caller: pimentospread.CallerID(caller), Sequence: sequence},
		Caller:  pimentospread.CallerID(caller), Service: 1, Class: class,
		Arrived: now, Deadline: now.Add(10 * time.Second),
	}
}

// poolShapes are the pools of the two deployments on 8 hosts, and the smallest pool
// on 9 hosts, which has fewer slots than hosts.
var poolShapes = []struct {
	name    string
	targets int
	slots   pimentospread.Slots
	hosts   int
}{
	{"auction-desk 14x2", 14, 2, 8}, {"cert-office 4x2", 4, 2, 8}, {"watchdesk 14x3", 14, 3, 8}, {"mapstore 4x3", 4, 3, 8},
	{"cert-office 4x2 on 9 hosts", 4, 2, 9},
}
