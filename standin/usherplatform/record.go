package usherplatform

import (
	"slices"
	"strings"
	"time"
)

// maxRecordSeconds is the number of seconds that the record keeps.
const maxRecordSeconds = 3600

type (
	// Record holds the call counts of all readers.
	Record struct {
		Seconds []SecondRecord `json:"seconds"`
		// Calls is the number of calls since the start, PeakCalls the number in the busiest second.
		Calls     int `json:"calls"`
		Refused   int `json:"refused"`
		PeakCalls int `json:"peak_calls"`
	}

	// SecondRecord holds the call counts of one second. Calls includes the refused ones.
	SecondRecord struct {
		Second  int64 `json:"second"`
		Calls   int   `json:"calls"`
		Values  int   `json:"values"`
		Watches int   `json:"watches"`
		Hosts   int   `json:"hosts"`
		Refused int   `json:"refused"`
	}

	// callCounter collects a Record. It is protected by the lock of the platform.
	callCounter struct {
		Record
	}
)

// Record returns a copy of the call counts.
func (p *Platform) Record() Record {
	p.mu.Lock()
	defer p.mu.Unlock()
	record := p.counts.Record
	record.Seconds = append([]SecondRecord{}, record.Seconds...)
	return record
}

// count counts a call and reports whether it is within the limit per second.
func (c *callCounter) count(now time.Time, path string, limit int) bool {
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

func (c *callCounter) second(unix int64) *SecondRecord {
	last := len(c.Seconds) - 1
	if last >= 0 && c.Seconds[last].Second >= unix {
		return &c.Seconds[last]
	}
	c.Seconds = append(c.Seconds, SecondRecord{Second: unix})
	if len(c.Seconds) > maxRecordSeconds {
		c.Seconds = slices.Delete(c.Seconds, 0, 1)
	}
	return &c.Seconds[len(c.Seconds)-1]
}
