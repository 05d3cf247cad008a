package steer_test

import (
	"fmt"
	"runtime"
	"testing"
	"time"

	"pimentospread"
	"pimentospread/inflight"
	"pimentospread/steer"
)

// Measures what one change of targets costs a host, by the number of targets.
func BenchmarkView(b *testing.B) {
	for _, targets := range []int{150, 1500, 15000} {
		b.Run(fmt.Sprint(targets), func(b *testing.B) {
			w, _ := benchmarkWorld(targets)
			b.ReportAllocs()
			for b.Loop() {
				w.steerer.SetView(steer.NewView(near, w.table, w.directory))
			}
		})
	}
}

// Measures the memory of a target that a host knows, and of a flow that it tracks.
func BenchmarkMemory(b *testing.B) {
	const targets, flows = 15000, 100000
	measure := func(build func() any) float64 {
		var before, after runtime.MemStats
		runtime.GC()
		runtime.ReadMemStats(&before)
		kept := build()
		runtime.GC()
		runtime.ReadMemStats(&after)
		runtime.KeepAlive(kept)
		return float64(after.HeapAlloc) - float64(before.HeapAlloc)
	}
	for b.Loop() {
		perTarget := measure(func() any { w, _ := benchmarkWorld(targets); return w })
		perFlow := measure(func() any {
			t := inflight.New(inflight.Config{MaxFlows: flows, AveragingWindow: time.Second, MaxRequestTime: time.Second, FlowLifetime: time.Minute})
			g := t.Target(1)
			for i := range flows {
				t.RecordOpen(start, pimentospread.FlowID(i), g)
			}
			return t
		})
		b.ReportMetric(perTarget/targets, "B/target")
		b.ReportMetric(perFlow/flows, "B/flow")
	}
}
