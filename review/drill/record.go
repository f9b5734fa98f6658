package main

import (
	"fmt"
	"os"
	"strings"
	"sync"
	"time"
)

// record is the file with what was sent, answered and run. Each line begins with the time since the start in seconds.
type record struct {
	mu    sync.Mutex
	file  *os.File
	start time.Time
}

func newRecord(path string) (*record, error) {
	file, err := os.Create(path)
	if err != nil {
		return nil, err
	}
	return &record{file: file, start: time.Now()}, nil
}

// add writes one line.
func (r *record) add(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	line := strings.ReplaceAll(fmt.Sprintf(format, args...), "\n", " ")
	_, _ = fmt.Fprintf(r.file, "%8.3f  %s\n", time.Since(r.start).Seconds(), line)
}

func (r *record) close() { _ = r.file.Close() }
