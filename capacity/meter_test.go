package capacity_test

import (
	"runtime"
	"syscall"
	"testing"
	"time"

	"pimentospread"
)

// cpuMeter sums the CPU time of this process between start and stop. Unlike wall
// time, CPU time does not grow when other processes use the machine.
type cpuMeter struct {
	startedAt, total time.Duration
}

func (m *cpuMeter) start() { m.startedAt = cpuTime() }

func (m *cpuMeter) stop() { m.total += cpuTime() - m.startedAt }

// report reports the CPU time per operation of n operations.
func (m *cpuMeter) report(b *testing.B, name string, n int) {
	b.ReportMetric(float64(m.total.Nanoseconds())/float64(n), name)
}

func cpuTime() time.Duration {
	var u syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &u); err != nil {
		panic(err)
	}
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}

// reportCPUTime repeats an operation for at least 50 ms of CPU time and reports the
// CPU time of one operation.
func reportCPUTime(b *testing.B, name string, operation func()) {
	var m cpuMeter
	n := 0
	for m.total < 50*time.Millisecond {
		m.start()
		operation()
		m.stop()
		n++
	}
	m.report(b, name, n)
}

// heapSize returns the size of the live heap of the process.
func heapSize() pimentospread.Bytes {
	runtime.GC()
	runtime.GC()
	var s runtime.MemStats
	runtime.ReadMemStats(&s)
	return pimentospread.Bytes(s.HeapAlloc)
}

// reportMemory reports the heap memory per item of the n items that allocate
// returns.
func reportMemory(b *testing.B, name string, n int, allocate func() any) {
	before := heapSize()
	items := allocate()
	after := heapSize()
	runtime.KeepAlive(items)
	b.ReportMetric(float64(after-before)/float64(n), name)
}

// runOnce runs a benchmark that does its own repetitions, and suppresses the ns/op
// metric.
func runOnce(b *testing.B, run func()) {
	for b.Loop() {
		run()
	}
	b.ReportMetric(0, "ns/op")
}
