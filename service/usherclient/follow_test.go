package usherclient_test

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"slices"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/joomcode/errorx"

	"github.com/samphireusher/samphireusher/service/usherclient"
	"github.com/samphireusher/samphireusher/standin/usherfleet"
	"github.com/samphireusher/samphireusher/standin/ushernet"
)

// script defines how a fake gateway responds with a stream: the tokens that it sends, and the final event, if any.
type script struct {
	tokens []int
	final  string
}

const endEvent = "event: end\ndata: {\"request_id\":\"r1\",\"outcome\":\"completed\",\"tokens\":6}\n\n"

// newGateway starts a fake gateway that serves one script per request. It returns its address and the indexes from which
// it was asked to resume.
func newGateway(t *testing.T, scripts ...script) (string, *[]string) {
	t.Helper()
	resumedFrom := &[]string{}
	var mu sync.Mutex // after a caller cancels a request, its next one may be served concurrently
	next := func(from string) script {
		mu.Lock()
		defer mu.Unlock()
		*resumedFrom = append(*resumedFrom, from)
		if len(scripts) == 0 {
			panic(http.ErrAbortHandler)
		}
		s := scripts[0]
		scripts = scripts[1:]
		return s
	}
	serve := func(w http.ResponseWriter, r *http.Request) {
		s := next(r.URL.Query().Get("from"))
		w.Header().Set("Content-Type", "text/event-stream")
		fmt.Fprint(w, "event: started\ndata: {\"request_id\":\"r1\",\"handle\":\"h1\"}\n\n")
		for _, index := range s.tokens {
			fmt.Fprintf(w, "id: %d\nevent: token\ndata: {\"index\":%d,\"text\":\" w%d\"}\n\n", index, index, index)
		}
		fmt.Fprint(w, s.final)
	}
	mux := http.NewServeMux()
	mux.HandleFunc("POST /v1/requests", serve)
	mux.HandleFunc("GET /v1/resume", serve)
	server := httptest.NewServer(mux)
	t.Cleanup(server.Close)
	return server.Listener.Addr().String(), resumedFrom
}

func TestFailoverDeliversEachTokenOnce(t *testing.T) {
	all := []int{0, 1, 2, 3, 4, 5}
	tests := []struct {
		name          string
		first, second []script
		resumedFrom   []string
	}{
		{"unbroken", []script{{all, endEvent}}, nil, nil},
		{"broken", []script{{all[:3], ""}}, []script{{all[3:], endEvent}}, []string{"3"}},
		{"broken before the end", []script{{all, ""}}, []script{{nil, endEvent}}, []string{"6"}},
		{"duplicated token", []script{{[]int{0, 1, 1, 2}, ""}}, []script{{all[1:], endEvent}}, []string{"3"}},
		{"gap", []script{{[]int{0, 1, 4, 5}, endEvent}}, []script{{all[2:], endEvent}}, []string{"2"}},
		{"broken twice", []script{{all[:2], ""}, {all[4:], endEvent}}, []script{{all[2:4], ""}}, []string{"2"}},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			first, _ := newGateway(t, test.first...)
			second, resumedFrom := newGateway(t, test.second...)
			client := usherclient.New("kochi", "key")
			t.Cleanup(client.Close)
			received := []int{}
			callbacks := &usherclient.StreamCallbacks{Token: func(index int, _ string) { received = append(received, index) }}
			answer, err := client.SendWithFailover(t.Context(), []string{first, second}, usherclient.Request{}, callbacks)
			if err != nil {
				t.Fatal(err)
			}
			if !slices.Equal(received, all) || answer.Text != " w0 w1 w2 w3 w4 w5" || answer.Outcome != "completed" {
				t.Errorf("received tokens %v, answer %+v", received, answer)
			}
			if !slices.Equal(*resumedFrom, test.resumedFrom) {
				t.Errorf("the second gateway was asked to resume from %v, want %v", *resumedFrom, test.resumedFrom)
			}
		})
	}
}

func TestFailoverEndsWithError(t *testing.T) {
	refused := "event: refused\ndata: {\"outcome\":\"ran_in_part\",\"reason\":\"target_lost\"}\n\n"
	tests := []struct {
		name   string
		script script
		check  func(error) bool
	}{
		{"refused", script{[]int{0}, refused}, func(err error) bool {
			var refusal usherclient.Refusal
			return errors.As(err, &refusal) && refusal.Outcome == "ran_in_part"
		}},
		{"short", script{[]int{0}, endEvent}, func(err error) bool { return errorx.IsOfType(err, usherclient.ErrMalformed) }},
		{"timed out", script{[]int{0}, ""}, func(err error) bool { return errorx.IsOfType(err, usherclient.ErrConnection) }},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			address, _ := newGateway(t, test.script)
			client := usherclient.New("kochi", "key")
			t.Cleanup(client.Close)
			ctx, cancel := context.WithTimeout(t.Context(), time.Second)
			defer cancel()
			if _, err := client.SendWithFailover(ctx, []string{address}, usherclient.Request{}, nil); !test.check(err) {
				t.Errorf("error %v", err)
			}
		})
	}
}

func TestFailoverFromUnreachableGateway(t *testing.T) {
	const unreachable = "127.0.0.1:1"
	address, _ := newGateway(t, script{[]int{0, 1, 2, 3, 4, 5}, endEvent})
	client := usherclient.New("kochi", "key")
	t.Cleanup(client.Close)
	if _, err := client.SendWithFailover(t.Context(), []string{unreachable, address}, usherclient.Request{}, nil); err != nil {
		t.Fatal(err)
	}
	if _, err := client.SendWithFailover(t.Context(), []string{unreachable}, usherclient.Request{}, nil); !errorx.IsOfType(err, usherclient.ErrUnreachable) {
		t.Fatalf("error %v", err)
	}
}

// callerNetwork dials from the caller's address in a fleet's network and records the connections.
type callerNetwork struct {
	network *ushernet.Network
	host    netip.Addr

	mu    sync.Mutex
	conns []net.Conn
}

func (n *callerNetwork) dial(ctx context.Context, network, address string) (net.Conn, error) {
	conn, err := n.network.Dialer(n.host)(ctx, network, address)
	if err == nil {
		n.mu.Lock()
		defer n.mu.Unlock()
		n.conns = append(n.conns, conn)
	}
	return conn, err
}

// closeAll closes every connection, so that nothing that a crashing gateway still sends reaches the caller.
func (n *callerNetwork) closeAll() {
	n.mu.Lock()
	defer n.mu.Unlock()
	for _, conn := range n.conns {
		_ = conn.Close()
	}
}

// TestStreamResumesAtAnotherGateway checks that after a gateway fails, the stream is resumed at another gateway of the
// fleet from the same generation, without a second one being started.
func TestStreamResumesAtAnotherGateway(t *testing.T) {
	tests := []struct {
		name string
		fail func(fleet *usherfleet.Fleet, caller *callerNetwork)
	}{
		{"gateway crashed", func(fleet *usherfleet.Fleet, caller *callerNetwork) {
			caller.closeAll()
			go func() { _ = fleet.Gateways[0].Kill() }()
		}},
		{"link stalled", func(fleet *usherfleet.Fleet, caller *callerNetwork) {
			gateway := netip.MustParseAddrPort(fleet.Gateways[0].Address()).Addr()
			fleet.Network.Partition([]netip.Addr{gateway}, []netip.Addr{caller.host})
		}},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) { testStreamResumes(t, test.fail) })
		})
	}
}

func testStreamResumes(t *testing.T, fail func(*usherfleet.Fleet, *callerNetwork)) {
	fleet, err := usherfleet.Start(t.Context(), usherfleet.Config{Gateways: 2, Engines: 2, Directory: t.TempDir()})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = fleet.Close() })
	caller := &callerNetwork{network: fleet.Network, host: netip.MustParseAddr("127.9.0.1")}
	client := usherclient.NewWith(usherfleet.Workspace, usherfleet.APIKey, caller.dial)
	t.Cleanup(client.Close)
	addresses := []string{fleet.Gateways[0].Address(), fleet.Gateways[1].Address()}
	request := usherclient.Request{Template: "appraisal", Parameters: map[string]string{"entry": "a sari, tokens=200"}}
	next, resumed := 0, 0
	callbacks := &usherclient.StreamCallbacks{
		Token: func(index int, _ string) {
			if index != next {
				t.Errorf("received token %d, want %d", index, next)
			}
			if next++; next == 20 {
				fail(fleet, caller)
			}
		},
		Resumed: func(address string, _ int) {
			if address == addresses[0] {
				t.Error("resumed at the failed gateway")
			}
			resumed++
		},
	}
	answer, err := sendWhenReady(t, client, addresses, request, callbacks)
	if err != nil {
		t.Fatal(err)
	}
	if answer.Tokens != 200 || next != 200 || resumed != 1 {
		t.Errorf("received %d of %d tokens, resumed %d times", next, answer.Tokens, resumed)
	}
	started := 0
	for _, engine := range fleet.Engines {
		for _, generation := range engine.Record().Generations {
			if strings.Contains(generation.Prompt, "tokens=200") {
				started++
			}
		}
	}
	if started != 1 {
		t.Errorf("%d generations were started, want 1", started)
	}
}

// sendWhenReady sends the request until the fleet is ready to accept it.
func sendWhenReady(t *testing.T, client *usherclient.Client, addresses []string, request usherclient.Request, callbacks *usherclient.StreamCallbacks) (usherclient.Answer, error) {
	t.Helper()
	for until := time.Now().Add(20 * time.Second); ; time.Sleep(50 * time.Millisecond) {
		answer, err := client.SendWithFailover(t.Context(), addresses, request, callbacks)
		var refusal usherclient.Refusal
		if !errors.As(err, &refusal) || refusal.Outcome != "not_run" || time.Now().After(until) {
			return answer, err
		}
	}
}
