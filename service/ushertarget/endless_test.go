package ushertarget_test

import (
	"bufio"
	"bytes"
	"context"
	"net"
	"net/http"
	"net/netip"
	"runtime"
	"sync"
	"testing"
	"time"

	"github.com/samphireusher/samphireusher/service/ushertarget"
)

// smallestHostMemory is that of the smallest hosts that the users specify.
const smallestHostMemory = 88 << 20

// serveEndless responds to load reports, and to other requests, with the given beginnings. If endless is not empty, it follows the beginning
// until the caller closes the connection.
func serveEndless(t *testing.T, report, answer string, endlessReport bool, endless []byte) netip.AddrPort {
	t.Helper()
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = listener.Close() })
	respond := func(conn net.Conn) {
		defer conn.Close()
		reader := bufio.NewReader(conn)
		for {
			request, err := http.ReadRequest(reader)
			if err != nil {
				return
			}
			begin, ends := answer, false
			if request.URL.Path == "/v1/report" {
				begin, ends = report, !endlessReport
			}
			if _, err := conn.Write([]byte(begin)); err != nil {
				return
			}
			for !ends {
				if _, err := conn.Write(endless); err != nil {
					return
				}
			}
		}
	}
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go respond(conn)
		}
	}()
	return netip.MustParseAddrPort(listener.Addr().String())
}

// A target sends bytes that are no answer, without end. The head of a load report on a new connection was kept until the time for
// connecting was over, and took gigabytes of memory.
func TestEndlessResponsesStayWithinMemory(t *testing.T) {
	const (
		report = "HTTP/1.1 200 OK\r\nContent-Length: 17\r\n\r\n{\"incarnation\":7}"
		head   = "HTTP/1.1 200 OK\r\nUsher-Incarnation: 7\r\n"
	)
	for _, c := range []struct {
		name, report, answer string
		endlessReport        bool
		endless              string
	}{
		{"status line of a load report", "", "", true, "x"},
		{"header of a load report", head, "", true, "X-Filler: x\r\n"},
		{"interim responses before a load report", "", "", true, "HTTP/1.1 103 Early Hints\r\n\r\n"},
		{"body of a load report", head + "\r\n", "", true, " "},
		{"status line", report, "", false, "x"},
		{"header", report, head, false, "X-Filler: x\r\n"},
		{"interim responses", report, "", false, "HTTP/1.1 103 Early Hints\r\n\r\n"},
		{"body", report, head + "\r\n", false, " "},
		{"line of an event", report, head + "Content-Type: text/event-stream\r\n\r\nevent: token\ndata: ", false, "x"},
	} {
		t.Run(c.name, func(t *testing.T) {
			target := serveEndless(t, c.report, c.answer, c.endlessReport, bytes.Repeat([]byte(c.endless), 64<<10/len(c.endless)))
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
