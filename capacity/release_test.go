package capacity_test

import (
	"encoding/json"
	"fmt"
	"testing"

	"pimentospread/controlplane"
	"pimentospread/pool"
	"pimentospread/release"
)

// benchmarkTable reports the CPU time to build the table of a pool, and its memory.
func benchmarkTable(b *testing.B, r *release.Release) {
	p := r.Set.TargetPools[0]
	runOnce(b, func() {
		var m cpuMeter
		reportMemory(b, "B/table", 1, func() any {
			m.start()
			defer m.stop()
			return pool.NewTable(p, r.Seed)
		})
		m.report(b, "cpu-ns/table", 1)
	})
}

// BenchmarkTableTargets measures the table of a pool with one epoch.
func BenchmarkTableTargets(b *testing.B) {
	for _, n := range []int{8, 40, 160, 640} {
		b.Run(fmt.Sprintf("targets=%d", n), func(b *testing.B) {
			benchmarkTable(b, nextRelease(nil, newObjects(1, 1, n)))
		})
	}
}

// BenchmarkTableEpochs measures the table of a pool with 160 targets.
func BenchmarkTableEpochs(b *testing.B) {
	for _, n := range []int{1, 4, 16, 32} {
		b.Run(fmt.Sprintf("epochs=%d", n), func(b *testing.B) {
			benchmarkTable(b, releaseWithEpochs(newObjects(1, 1, 160), n))
		})
	}
}

// benchmarkRelease reports the size of a release and the CPU time to pack, unpack,
// decode, check and publish it.
func benchmarkRelease(b *testing.B, r *release.Release) {
	runOnce(b, func() {
		data, err := json.Marshal(r)
		if err != nil {
			b.Fatal(err)
		}
		content, err := controlplane.Pack(data, release.Decode)
		if err != nil {
			b.Fatal(err)
		}
		b.ReportMetric(float64(len(data)), "json-B")
		b.ReportMetric(float64(len(content.Packed)), "packed-B")
		reportCPUTime(b, "pack-cpu-ns", func() { _, _ = controlplane.Pack(data, release.Decode) })
		if len(data) <= 1<<20 {
			reportCPUTime(b, "unpack-cpu-ns", func() { _, _ = controlplane.Unpack(content.Packed, release.Decode) })
		}
		reportCPUTime(b, "decode-cpu-ns", func() { _, _ = release.Decode(data) })
		reportCPUTime(b, "check-cpu-ns", func() { r.Set.Check() })
		reportCPUTime(b, "next-cpu-ns", func() { nextRelease(r, r.SourceSet()) })
	})
}

// BenchmarkReleaseTargets measures releases with 21 services and 21 pools.
func BenchmarkReleaseTargets(b *testing.B) {
	for _, n := range []int{40, 160, 640, 2560} {
		b.Run(fmt.Sprintf("targets=%d", n), func(b *testing.B) {
			benchmarkRelease(b, nextRelease(nil, newObjects(21, 21, n)))
		})
	}
}

// BenchmarkReleaseServices measures releases with 160 targets and one pool for each
// service, up to 160 pools.
func BenchmarkReleaseServices(b *testing.B) {
	for _, n := range []int{5, 21, 84, 336} {
		b.Run(fmt.Sprintf("services=%d", n), func(b *testing.B) {
			benchmarkRelease(b, nextRelease(nil, newObjects(n, min(n, 160), 160)))
		})
	}
}

// BenchmarkReleaseEpochs measures releases with 160 targets in one pool.
func BenchmarkReleaseEpochs(b *testing.B) {
	for _, n := range []int{1, 8, 32, 128} {
		b.Run(fmt.Sprintf("epochs=%d", n), func(b *testing.B) {
			benchmarkRelease(b, releaseWithEpochs(newObjects(21, 1, 160), n))
		})
	}
}
