package daemon_test

import (
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"testing"
	"time"
)

// stopRounds is the number of planned stops of TestNoRequestIsLostAroundAPlannedStop, each with its own seed.
const stopRounds = 12

// Requests cross a planned stop on connections that are held up at random, with late bodies and callers that close their sending side.
// Some ran and ended with a closed connection.
func TestNoRequestIsLostAroundAPlannedStop(t *testing.T) {
	for seed := range uint64(stopRounds) {
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) {
			var d delays
			serviceTime := time.Duration(15+seed%8*40) * time.Millisecond
			withTestbed(t, options{hosts: 2, plainTargets: 3, serviceTime: serviceTime, editPlatform: d.hold}, func(t *testing.T, b *testbed) {
				ends := time.Now().Add(10 * time.Second)
				// With few callers the host is idle when it closes its listener, with many it never is.
				callers := 2 + int(seed%3)*29
				done := make(chan struct{})
				for i := range callers {
					go func() {
						defer func() { done <- struct{}{} }()
						random := rand.New(rand.NewPCG(seed, uint64(i)))
						for number := 0; time.Now().Before(ends); {
							number = b.callUntilClosed(random, i, number)
						}
					}()
				}
				time.Sleep(2 * time.Second)
				b.stop(b.hosts[0])
				random := rand.New(rand.NewPCG(seed, uint64(callers)))
				for time.Now().Before(ends) {
					d.read.Store(random.Int64N(int64(100 * time.Millisecond)))
					d.write.Store(random.Int64N(int64(100 * time.Millisecond)))
					time.Sleep(50 * time.Millisecond)
				}
				for range callers {
					<-done
				}
			})
		})
	}
}

// callUntilClosed sends requests on one connection, until it is closed, and returns the number of the next request.
func (b *testbed) callUntilClosed(random *rand.Rand, caller, number int) int {
	conn, err := b.dial(b.hosts[0])
	if err != nil {
		time.Sleep(100 * time.Millisecond)
		return number
	}
	defer func() { _ = conn.Close() }()
	longestPause := time.Duration(1+3*(caller%2)) * time.Second
	for open := true; open; number++ {
		time.Sleep(time.Duration(random.Int64N(int64(longestPause))))
		open = b.callOnce(random, conn, fmt.Sprint("a", caller, "-", number))
	}
	return number
}

// callOnce sends one request and reports whether the connection may be used again.
func (b *testbed) callOnce(random *rand.Rand, conn callerConn, attempt string) bool {
	method, path := http.MethodPost, "/allotment/x"
	if random.IntN(3) == 0 {
		method, path = http.MethodGet, "/status/x"
	}
	text := head(method, path, attempt, "1000") + chunkedBody
	if random.IntN(3) == 0 {
		cut := random.IntN(len(text))
		// An error shows in the read that follows.
		_, _ = io.WriteString(conn, text[:cut])
		text = text[cut:]
		time.Sleep(time.Duration(random.Int64N(int64(300 * time.Millisecond))))
	}
	_, _ = io.WriteString(conn, text)
	stopsSending := random.IntN(4) == 0
	if stopsSending {
		_ = conn.Conn.(interface{ CloseWrite() error }).CloseWrite()
	}
	response, err := http.ReadResponse(conn.reader, nil)
	if err == nil {
		_, err = io.Copy(io.Discard, response.Body)
	}
	runs := b.runsOf(attempt)
	switch {
	case err != nil && len(runs) > 0:
		b.t.Errorf("%s %s, stops sending %t: no answer (%v), but run by %v", method, attempt, stopsSending, err, runs)
	case err == nil && response.StatusCode == http.StatusServiceUnavailable && method == http.MethodPost && len(runs) > 0:
		b.t.Errorf("%s %s: refused as not run, but run by %v", method, attempt, runs)
	}
	return err == nil && !response.Close && !stopsSending
}
