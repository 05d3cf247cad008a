package admission_test

import (
	"fmt"
	"time"

	"pimentospread"
	"pimentospread/admission"
	"pimentospread/policy"
)

// Next returns the most urgent work first.
func ExampleQueue_Next() {
	wait := pimentospread.Duration{Duration: time.Minute}
	queue := admission.NewQueue(admission.QueueDeps{})
	now := time.Unix(0, 0)
	queue.Configure(now, []admission.Service{{ID: 1, Classes: []policy.Class{
		{Name: "map", Urgency: 1, QueueLength: 8, MaxWait: wait},
		{Name: "report", Urgency: 9, QueueLength: 8, MaxWait: wait},
	}}}, []pimentospread.HostID{"neg-1"}, "neg-1")
	for i, class := range []pimentospread.Class{"map", "report"} {
		queue.Offer(now, pimentospread.Work{
			Request: pimentospread.RequestID{Sequence: uint64(i)}, Service: 1, Class: class,
			Arrived: now, Deadline: now.Add(time.Minute),
		})
	}
	work, _ := queue.Next(now, 1)
	fmt.Println(work.Class)
	// Output: report
}
