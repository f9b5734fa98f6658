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
	maxMicroseconds   = 60_000_000
	significantDigits = 3
	tailPercentile    = 99
	medianPercentile  = 50
)

type (
	// StreamRequests are concurrent requests, one for each stream.
	StreamRequests struct {
		URL     string
		Body    string
		Headers []Header
		Streams int
		// Spread is the time over which the starts of the streams are spread evenly.
		Spread time.Duration
	}

	// Header is a header of a request.
	Header struct{ Name, Value string }

	// StreamStats are the statistics of the responses to StreamRequests.
	StreamStats struct {
		Tokens int
		// First is the time from the request to the first token, Gap the time between tokens, and Delay the time from when the
		// engine sends a token to when the caller receives it.
		First, Gap, Delay Quantiles
	}

	// Quantiles are the median and the 99th percentile of times in microseconds.
	Quantiles struct{ Median, Tail int64 }

	// collector collects the times of all streams of one measurement.
	collector struct {
		mu                sync.Mutex
		tokens            int
		first, gap, delay *hdrhistogram.Histogram
	}

	streamTiming struct {
		first       time.Duration
		gaps, delay []time.Duration
	}
)

// Call implements the RPC Load.Call.
func (s *service) Call(requests StreamRequests, stats *StreamStats) error {
	c := &collector{first: newHistogram(), gap: newHistogram(), delay: newHistogram()}
	client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: requests.Streams, DisableCompression: true}}
	defer client.CloseIdleConnections()
	failures := make([]error, requests.Streams)
	var streams sync.WaitGroup
	for i := range requests.Streams {
		streams.Go(func() {
			time.Sleep(requests.Spread * time.Duration(i) / time.Duration(requests.Streams))
			failures[i] = c.call(client, requests)
		})
	}
	streams.Wait()
	*stats = StreamStats{Tokens: c.tokens, First: quantiles(c.first), Gap: quantiles(c.gap), Delay: quantiles(c.delay)}
	return errors.Join(failures...)
}

func (c *collector) call(client *http.Client, requests StreamRequests) error {
	request, err := http.NewRequest(http.MethodPost, requests.URL, bytes.NewReader([]byte(requests.Body)))
	if err != nil {
		return err
	}
	for _, h := range requests.Headers {
		request.Header.Set(h.Name, h.Value)
	}
	began := time.Now()
	response, err := client.Do(request)
	if err != nil {
		return err
	}
	defer response.Body.Close()
	if response.StatusCode != http.StatusOK {
		return fmt.Errorf("%s: %s", requests.URL, response.Status)
	}
	t, err := read(bufio.NewScanner(response.Body), began)
	if err != nil {
		return err
	}
	c.add(t)
	return nil
}

// read reads the tokens of a stream until its end.
func read(lines *bufio.Scanner, began time.Time) (streamTiming, error) {
	var t streamTiming
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
		return t, errors.New("the stream ended without a token")
	}
	return t, lines.Err()
}

// sentAt returns the time at which the engine sent the token of an event line. The token's text is that time.
func sentAt(line []byte) (time.Time, bool) {
	_, text, found := bytes.Cut(line, []byte(`"text":"`))
	if !found {
		return time.Time{}, false
	}
	number, _, _ := bytes.Cut(text, []byte(`"`))
	nanos, err := strconv.ParseInt(string(number), 10, 64)
	return time.Unix(0, nanos), err == nil
}

func (c *collector) add(t streamTiming) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.tokens += len(t.delay)
	record(c.first, t.first)
	record(c.gap, t.gaps...)
	record(c.delay, t.delay...)
}

func newHistogram() *hdrhistogram.Histogram {
	return hdrhistogram.New(1, maxMicroseconds, significantDigits)
}

func record(h *hdrhistogram.Histogram, times ...time.Duration) {
	for _, d := range times {
		_ = h.RecordValue(max(d.Microseconds(), 1))
	}
}

func quantiles(h *hdrhistogram.Histogram) Quantiles {
	return Quantiles{Median: h.ValueAtPercentile(medianPercentile), Tail: h.ValueAtPercentile(tailPercentile)}
}
