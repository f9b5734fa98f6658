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

// script is what a fake gateway does with a stream: the tokens that it sends, and how it ends.
type script struct {
	tokens []int
	last   string
}

const whole = "event: end\ndata: {\"request_id\":\"r1\",\"outcome\":\"completed\",\"tokens\":6}\n\n"

// gateway serves the scripts in turn and returns its address and the indexes that it was asked to resume from.
func gateway(t *testing.T, scripts ...script) (string, *[]string) {
	t.Helper()
	asked := &[]string{}
	var mu sync.Mutex // a caller that gives up may have the next request served beside the last
	next := func(from string) script {
		mu.Lock()
		defer mu.Unlock()
		*asked = append(*asked, from)
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
		fmt.Fprint(w, s.last)
	}
	mux := http.NewServeMux()
	mux.HandleFunc("POST /v1/requests", serve)
	mux.HandleFunc("GET /v1/resume", serve)
	server := httptest.NewServer(mux)
	t.Cleanup(server.Close)
	return server.Listener.Addr().String(), asked
}

func TestFollowShowsEachTokenOnce(t *testing.T) {
	all := []int{0, 1, 2, 3, 4, 5}
	tests := []struct {
		name          string
		first, second []script
		asked         []string
	}{
		{"unbroken", []script{{all, whole}}, nil, nil},
		{"broken", []script{{all[:3], ""}}, []script{{all[3:], whole}}, []string{"3"}},
		{"broken before the end", []script{{all, ""}}, []script{{nil, whole}}, []string{"6"}},
		{"doubled", []script{{[]int{0, 1, 1, 2}, ""}}, []script{{all[1:], whole}}, []string{"3"}},
		{"gap", []script{{[]int{0, 1, 4, 5}, whole}}, []script{{all[2:], whole}}, []string{"2"}},
		{"broken twice", []script{{all[:2], ""}, {all[4:], whole}}, []script{{all[2:4], ""}}, []string{"2"}},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			first, _ := gateway(t, test.first...)
			second, asked := gateway(t, test.second...)
			client := usherclient.New("kochi", "key")
			t.Cleanup(client.Close)
			seen := []int{}
			watcher := &usherclient.StreamCallbacks{Token: func(index int, _ string) { seen = append(seen, index) }}
			answer, err := client.SendWithFailover(t.Context(), []string{first, second}, usherclient.Request{}, watcher)
			if err != nil {
				t.Fatal(err)
			}
			if !slices.Equal(seen, all) || answer.Text != " w0 w1 w2 w3 w4 w5" || answer.Outcome != "completed" {
				t.Errorf("saw %v, answer %+v", seen, answer)
			}
			if !slices.Equal(*asked, test.asked) {
				t.Errorf("the second gateway was asked to resume from %v, want %v", *asked, test.asked)
			}
		})
	}
}

func TestFollowEnds(t *testing.T) {
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
		{"short", script{[]int{0}, whole}, func(err error) bool { return errorx.IsOfType(err, usherclient.ErrMalformed) }},
		{"given up", script{[]int{0}, ""}, func(err error) bool { return errorx.IsOfType(err, usherclient.ErrConnection) }},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			address, _ := gateway(t, test.script)
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

func TestFollowTurnsToAnotherIfUnreachable(t *testing.T) {
	const nobody = "127.0.0.1:1"
	address, _ := gateway(t, script{[]int{0, 1, 2, 3, 4, 5}, whole})
	client := usherclient.New("kochi", "key")
	t.Cleanup(client.Close)
	if _, err := client.SendWithFailover(t.Context(), []string{nobody, address}, usherclient.Request{}, nil); err != nil {
		t.Fatal(err)
	}
	if _, err := client.SendWithFailover(t.Context(), []string{nobody}, usherclient.Request{}, nil); !errorx.IsOfType(err, usherclient.ErrUnreachable) {
		t.Fatalf("error %v", err)
	}
}

// wire is the caller's side of a fleet's network.
type wire struct {
	network *ushernet.Network
	host    netip.Addr

	mu    sync.Mutex
	conns []net.Conn
}

func (w *wire) dial(ctx context.Context, network, address string) (net.Conn, error) {
	conn, err := w.network.Dialer(w.host)(ctx, network, address)
	if err == nil {
		w.mu.Lock()
		defer w.mu.Unlock()
		w.conns = append(w.conns, conn)
	}
	return conn, err
}

// drop breaks every connection: what a dying gateway still says reaches nobody.
func (w *wire) drop() {
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, conn := range w.conns {
		_ = conn.Close()
	}
}

// TestStreamGoesOnAtAnotherGateway resumes at another gateway of a fleet, with the generation that is under way.
func TestStreamGoesOnAtAnotherGateway(t *testing.T) {
	tests := []struct {
		name string
		fail func(fleet *usherfleet.Fleet, caller *wire)
	}{
		{"gateway died", func(fleet *usherfleet.Fleet, caller *wire) {
			caller.drop()
			go func() { _ = fleet.Gateways[0].Kill() }()
		}},
		{"link stalled", func(fleet *usherfleet.Fleet, caller *wire) {
			gateway := netip.MustParseAddrPort(fleet.Gateways[0].Address()).Addr()
			fleet.Network.Partition([]netip.Addr{gateway}, []netip.Addr{caller.host})
		}},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) { testStreamGoesOn(t, test.fail) })
		})
	}
}

func testStreamGoesOn(t *testing.T, fail func(*usherfleet.Fleet, *wire)) {
	fleet, err := usherfleet.Start(t.Context(), usherfleet.Config{Gateways: 2, Engines: 2, Directory: t.TempDir()})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = fleet.Close() })
	caller := &wire{network: fleet.Network, host: netip.MustParseAddr("127.9.0.1")}
	client := usherclient.NewWith(usherfleet.Workspace, usherfleet.Key, caller.dial)
	t.Cleanup(client.Close)
	addresses := []string{fleet.Gateways[0].Address(), fleet.Gateways[1].Address()}
	request := usherclient.Request{Template: "appraisal", Parameters: map[string]string{"entry": "a sari, tokens=200"}}
	next, resumed := 0, 0
	watcher := &usherclient.StreamCallbacks{
		Token: func(index int, _ string) {
			if index != next {
				t.Errorf("token %d came, want %d", index, next)
			}
			if next++; next == 20 {
				fail(fleet, caller)
			}
		},
		Resumed: func(address string, _ int) {
			if address == addresses[0] {
				t.Error("resumed at the gateway that failed")
			}
			resumed++
		},
	}
	answer, err := follow(t, client, addresses, request, watcher)
	if err != nil {
		t.Fatal(err)
	}
	if answer.Tokens != 200 || next != 200 || resumed != 1 {
		t.Errorf("%d tokens came of %d, resumed %d times", next, answer.Tokens, resumed)
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
		t.Errorf("%d generations, want the one that was under way", started)
	}
}

// follow sends until the fleet is ready.
func follow(t *testing.T, client *usherclient.Client, addresses []string, request usherclient.Request, watcher *usherclient.StreamCallbacks) (usherclient.Answer, error) {
	t.Helper()
	for until := time.Now().Add(20 * time.Second); ; time.Sleep(50 * time.Millisecond) {
		answer, err := client.SendWithFailover(t.Context(), addresses, request, watcher)
		var refusal usherclient.Refusal
		if !errors.As(err, &refusal) || refusal.Outcome != "not_run" || time.Now().After(until) {
			return answer, err
		}
	}
}
