package capacity_test

import (
	"runtime"
	"syscall"
	"testing"
	"time"

	"pimentospread"
)

// meter adds up the processor time of this process while it runs. Processor
// time does not grow when other processes use the machine, wall time does.
type meter struct {
	began, total time.Duration
}

func (m *meter) start() { m.began = processorTime() }

func (m *meter) stop() { m.total += processorTime() - m.began }

// report gives the processor time of one of n operations under the name.
func (m *meter) report(b *testing.B, name string, n int) {
	b.ReportMetric(float64(m.total.Nanoseconds())/float64(n), name)
}

func processorTime() time.Duration {
	var u syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &u); err != nil {
		panic(err)
	}
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}

// measure runs an operation for at least 50 ms of processor time and reports that of one.
func measure(b *testing.B, name string, operation func()) {
	var m meter
	n := 0
	for m.total < 50*time.Millisecond {
		m.start()
		operation()
		m.stop()
		n++
	}
	m.report(b, name, n)
}

// heap returns the live heap of the process.
func heap() pimentospread.Bytes {
	runtime.GC()
	runtime.GC()
	var s runtime.MemStats
	runtime.ReadMemStats(&s)
	return pimentospread.Bytes(s.HeapAlloc)
}

// memory reports the heap that one of n held items takes.
func memory(b *testing.B, name string, n int, hold func() any) {
	before := heap()
	held := hold()
	after := heap()
	runtime.KeepAlive(held)
	b.ReportMetric(float64(after-before)/float64(n), name)
}

// once keeps the framework from repeating a benchmark that does its own repetitions.
func once(b *testing.B, run func()) {
	for b.Loop() {
		run()
	}
	b.ReportMetric(0, "ns/op")
}
