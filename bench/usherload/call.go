package usherload

import (
	"bufio"
	"bytes"
	"errors"
	"fmt"
	"net/http"
	"strconv"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

const (
	longestMicros = 60_000_000
	digits        = 3
	tail          = 99
	median        = 50
)

type (
	// Calls are requests that run side by side.
	Calls struct {
		URL     string
		Body    string
		Headers []Header
		Streams int
		// Spread is the time over which the streams begin.
		Spread time.Duration
	}

	// Header is a header of a request.
	Header struct{ Name, Value string }

	// Seen is what the callers saw.
	Seen struct {
		Tokens int
		// First is the time from the request to the first token, Gap that between tokens, Delay that from an engine's sending to
		// the caller's receipt.
		First, Gap, Delay Quantiles
	}

	// Quantiles are of times in microseconds.
	Quantiles struct{ Median, Tail int64 }

	// caller collects what the streams of one measurement see.
	caller struct {
		mu                sync.Mutex
		tokens            int
		first, gap, delay *hdrhistogram.Histogram
	}

	timing struct {
		first       time.Duration
		gaps, delay []time.Duration
	}
)

// Call runs requests and returns what their callers saw.
func (s *service) Call(calls Calls, seen *Seen) error {
	c := &caller{first: newHistogram(), gap: newHistogram(), delay: newHistogram()}
	client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: calls.Streams, DisableCompression: true}}
	defer client.CloseIdleConnections()
	failures := make([]error, calls.Streams)
	var streams sync.WaitGroup
	for i := range calls.Streams {
		streams.Go(func() {
			time.Sleep(calls.Spread * time.Duration(i) / time.Duration(calls.Streams))
			failures[i] = c.call(client, calls)
		})
	}
	streams.Wait()
	*seen = Seen{Tokens: c.tokens, First: quantiles(c.first), Gap: quantiles(c.gap), Delay: quantiles(c.delay)}
	return errors.Join(failures...)
}

func (c *caller) call(client *http.Client, calls Calls) error {
	request, err := http.NewRequest(http.MethodPost, calls.URL, bytes.NewReader([]byte(calls.Body)))
	if err != nil {
		return err
	}
	for _, h := range calls.Headers {
		request.Header.Set(h.Name, h.Value)
	}
	began := time.Now()
	response, err := client.Do(request)
	if err != nil {
		return err
	}
	defer response.Body.Close()
	if response.StatusCode != http.StatusOK {
		return fmt.Errorf("%s: %s", calls.URL, response.Status)
	}
	t, err := read(bufio.NewScanner(response.Body), began)
	if err != nil {
		return err
	}
	c.take(t)
	return nil
}

// read reads events until the end of the stream.
func read(lines *bufio.Scanner, began time.Time) (timing, error) {
	var t timing
	var last time.Time
	for lines.Scan() {
		sent, ok := sentAt(lines.Bytes())
		if !ok {
			continue
		}
		now := time.Now()
		if last.IsZero() {
			t.first = now.Sub(began)
		} else {
			t.gaps = append(t.gaps, now.Sub(last))
		}
		t.delay = append(t.delay, now.Sub(sent))
		last = now
	}
	if last.IsZero() {
		return t, errors.New("a stream without a token")
	}
	return t, lines.Err()
}

// sentAt returns when the engine sent the token in a line.
func sentAt(line []byte) (time.Time, bool) {
	_, text, found := bytes.Cut(line, []byte(`"text":"`))
	if !found {
		return time.Time{}, false
	}
	number, _, _ := bytes.Cut(text, []byte(`"`))
	nanos, err := strconv.ParseInt(string(number), 10, 64)
	return time.Unix(0, nanos), err == nil
}

func (c *caller) take(t timing) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.tokens += len(t.delay)
	record(c.first, t.first)
	record(c.gap, t.gaps...)
	record(c.delay, t.delay...)
}

func newHistogram() *hdrhistogram.Histogram {
	return hdrhistogram.New(1, longestMicros, digits)
}

func record(h *hdrhistogram.Histogram, times ...time.Duration) {
	for _, d := range times {
		_ = h.RecordValue(max(d.Microseconds(), 1))
	}
}

func quantiles(h *hdrhistogram.Histogram) Quantiles {
	return Quantiles{Median: h.ValueAtPercentile(median), Tail: h.ValueAtPercentile(tail)}
}
