package ushertarget_test

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"runtime"
	"sync"
	"testing"
	"time"

	"github.com/samphireusher/samphireusher/service/ushertarget"
)

// smallestHostMemory is that of the smallest hosts that the users specify.
const smallestHostMemory = 88 << 20

// A target sends bytes that are no answer, without end. The head of a load report on a new connection was kept until the time for
// connecting was over, and took gigabytes of memory.
func TestEndlessResponsesStayWithinMemory(t *testing.T) {
	const head = "HTTP/1.1 200 OK\r\nUsher-Incarnation: 7\r\n"
	for _, c := range []struct {
		name     string
		inReport bool
		begin    string
		endless  string
	}{
		{"status line of a load report", true, "", "x"},
		{"header of a load report", true, head, "X-Filler: x\r\n"},
		{"interim responses before a load report", true, "", "HTTP/1.1 103 Early Hints\r\n\r\n"},
		{"body of a load report", true, head + "\r\n", " "},
		{"status line", false, "", "x"},
		{"header", false, head, "X-Filler: x\r\n"},
		{"interim responses", false, "", "HTTP/1.1 103 Early Hints\r\n\r\n"},
		{"body", false, head + "\r\n", " "},
		{"line of an event", false, head + "Content-Type: text/event-stream\r\n\r\nevent: token\ndata: ", "x"},
	} {
		t.Run(c.name, func(t *testing.T) {
			piece := bytes.Repeat([]byte(c.endless), 64<<10/len(c.endless))
			server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
				if r.URL.Path == "/v1/report" && !c.inReport {
					fmt.Fprint(w, `{"incarnation":7}`)
					return
				}
				hijack(t, w, func(conn net.Conn) {
					_, err := io.WriteString(conn, c.begin)
					for err == nil {
						_, err = conn.Write(piece)
					}
				})
			}))
			defer server.Close()
			target := netip.MustParseAddrPort(server.Listener.Addr().String())
			client := ushertarget.NewClient()
			defer client.Close()
			ctx, cancel := context.WithTimeout(t.Context(), time.Second)
			defer cancel()
			var calls sync.WaitGroup
			for range 8 {
				calls.Go(func() {
					if answer, _, err := client.Call(ctx, target, ushertarget.Call{ID: "c"}, allow); err == nil {
						t.Errorf("answer %s, want an error", answer)
					}
				})
				calls.Go(func() {
					stream, _, err := client.Generate(ctx, target, ushertarget.Generation{ID: "g"}, allow)
					if err != nil {
						return
					}
					defer stream.Close()
					if event, err := stream.Next(); err == nil {
						t.Errorf("event %+v, want an error", event)
					}
				})
			}
			ended := make(chan struct{})
			go func() {
				defer close(ended)
				calls.Wait()
			}()
			if peak := peakHeap(ended); peak > smallestHostMemory {
				t.Errorf("%d MB of heap in use, want at most %d MB", peak>>20, smallestHostMemory>>20)
			}
		})
	}
}

// peakHeap returns the largest heap in use until ended is closed.
func peakHeap(ended <-chan struct{}) (peak uint64) {
	for {
		var m runtime.MemStats
		runtime.ReadMemStats(&m)
		peak = max(peak, m.HeapAlloc)
		select {
		case <-ended:
			return peak
		case <-time.After(20 * time.Millisecond):
		}
	}
}
