package usherplatform

import (
	"slices"
	"strings"
	"time"
)

// maxSeconds bounds how many seconds the record goes back.
const maxSeconds = 3600

type (
	// Record counts the calls of all readers.
	Record struct {
		Seconds []SecondRecord `json:"seconds"`
		// Calls has all calls since the start, PeakCalls those of the busiest second.
		Calls     int `json:"calls"`
		Refused   int `json:"refused"`
		PeakCalls int `json:"peak_calls"`
	}

	// SecondRecord counts the calls of one second, the refused ones included.
	SecondRecord struct {
		Second  int64 `json:"second"`
		Calls   int   `json:"calls"`
		Values  int   `json:"values"`
		Watches int   `json:"watches"`
		Hosts   int   `json:"hosts"`
		Refused int   `json:"refused"`
	}

	// counter collects a Record under the lock of the platform.
	counter struct {
		Record
	}
)

// Record returns the counts of the calls.
func (p *Platform) Record() Record {
	p.mu.Lock()
	defer p.mu.Unlock()
	seen := p.counts.Record
	seen.Seconds = append([]SecondRecord{}, seen.Seconds...)
	return seen
}

// count counts a call and reports whether it is within the limit of its second.
func (c *counter) count(now time.Time, path string, limit int) bool {
	second := c.second(now.Unix())
	second.Calls++
	c.Calls++
	c.PeakCalls = max(c.PeakCalls, second.Calls)
	switch {
	case strings.HasPrefix(path, "/v1/values/"):
		second.Values++
	case path == "/v1/watch":
		second.Watches++
	case path == "/v1/hosts":
		second.Hosts++
	}
	if second.Calls <= limit {
		return true
	}
	second.Refused++
	c.Refused++
	return false
}

func (c *counter) second(unix int64) *SecondRecord {
	last := len(c.Seconds) - 1
	if last >= 0 && c.Seconds[last].Second >= unix {
		return &c.Seconds[last]
	}
	c.Seconds = append(c.Seconds, SecondRecord{Second: unix})
	if len(c.Seconds) > maxSeconds {
		c.Seconds = slices.Delete(c.Seconds, 0, 1)
	}
	return &c.Seconds[len(c.Seconds)-1]
}
