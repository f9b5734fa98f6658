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

// sample is the resource usage of this process since its start.
type sample struct {
	at          time.Time
	processor   time.Duration
	allocations uint64
}

func takeSample() sample {
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

// since returns the usage since an earlier sample.
func (s sample) since(earlier sample) (elapsed, processor time.Duration, allocations float64) {
	return s.at.Sub(earlier.at), s.processor - earlier.processor, float64(s.allocations - earlier.allocations)
}

// heapBytes returns the bytes of live objects and goroutine stacks, after garbage collection.
func heapBytes() float64 {
	runtime.GC()
	runtime.GC()
	var memory runtime.MemStats
	runtime.ReadMemStats(&memory)
	return float64(memory.HeapAlloc + memory.StackInuse)
}

// trimmedResidentBytes returns the resident memory after returning free memory to the operating system.
func trimmedResidentBytes() (float64, error) {
	debug.FreeOSMemory()
	return residentBytes()
}

// residentBytes returns the current resident memory.
func residentBytes() (float64, error) {
	data, err := os.ReadFile("/proc/self/statm")
	if err != nil {
		return 0, err
	}
	pages, err := strconv.ParseFloat(strings.Fields(string(data))[1], 64)
	return pages * float64(os.Getpagesize()), err
}
