package ushermeasure

import (
	"os"
	"runtime"
	"runtime/debug"
	"strconv"
	"strings"
	"syscall"
	"time"
)

// sample is what the process has used so far.
type sample struct {
	at          time.Time
	processor   time.Duration
	allocations uint64
}

// take returns what the process has used so far.
func take() sample {
	var usage syscall.Rusage
	_ = syscall.Getrusage(syscall.RUSAGE_SELF, &usage)
	var memory runtime.MemStats
	runtime.ReadMemStats(&memory)
	return sample{
		at:          time.Now(),
		processor:   time.Duration(usage.Utime.Nano() + usage.Stime.Nano()),
		allocations: memory.Mallocs,
	}
}

// since returns what was used after another sample.
func (s sample) since(earlier sample) (elapsed, processor time.Duration, allocations float64) {
	return s.at.Sub(earlier.at), s.processor - earlier.processor, float64(s.allocations - earlier.allocations)
}

// heapBytes returns the bytes of live objects and of goroutines' stacks.
func heapBytes() float64 {
	runtime.GC()
	runtime.GC()
	var memory runtime.MemStats
	runtime.ReadMemStats(&memory)
	return float64(memory.HeapAlloc + memory.StackInuse)
}

// residentBytes returns the resident memory once what is free has gone back to the system.
func residentBytes() (float64, error) {
	debug.FreeOSMemory()
	return resident()
}

// resident returns the resident memory as it is.
func resident() (float64, error) {
	data, err := os.ReadFile("/proc/self/statm")
	if err != nil {
		return 0, err
	}
	pages, err := strconv.ParseFloat(strings.Fields(string(data))[1], 64)
	return pages * float64(os.Getpagesize()), err
}
