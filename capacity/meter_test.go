package capacity_test

import (
	"runtime"
	"syscall"
	"testing"
	"time"

	"pimentospread"
)

// cpuMeter adds up the processor time of this process while it runs. Processor
// time does not grow when other processes use the machine, wall time does.
type cpuMeter struct {
	began, total time.Duration
}

func (m *cpuMeter) start() { m.began = processorTime() }

func (m *cpuMeter) stop() { m.total += processorTime() - m.began }

// report gives the processor time of one of n operations under the name.
func (m *cpuMeter) report(b *testing.B, name string, n int) {
	b.ReportMetric(float64(m.total.Nanoseconds())/float64(n), name)
}

func processorTime() time.Duration {
	var u syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &u); err != nil {
		panic(err)
	}
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}

// reportCPUTime runs an operation for at least 50 ms of processor time and reports that of one.
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

// heapSize returns the live heapSize of the process.
func heapSize() pimentospread.Bytes {
	runtime.GC()
	runtime.GC()
	var s runtime.MemStats
	runtime.ReadMemStats(&s)
	return pimentospread.Bytes(s.HeapAlloc)
}

// reportMemory reports the heap that one of n held items takes.
func reportMemory(b *testing.B, name string, n int, hold func() any) {
	before := heapSize()
	held := hold()
	after := heapSize()
	runtime.KeepAlive(held)
	b.ReportMetric(float64(after-before)/float64(n), name)
}

// runOnce keeps the framework from repeating a benchmark that does its own repetitions.
func runOnce(b *testing.B, run func()) {
	for b.Loop() {
		run()
	}
	b.ReportMetric(0, "ns/op")
}
