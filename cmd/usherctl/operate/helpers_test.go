package usheroperation_test

import (
	"bytes"
	"encoding/json"
	"errors"
	"io"
	"net"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/alecthomas/kong"

	usheroperation "github.com/samphireusher/samphireusher/cmd/usherctl/operate"
	"github.com/samphireusher/samphireusher/standin/usherfleet"
)

type (
	// commandLine is the command line under test.
	commandLine struct {
		JSON                    bool
		usheroperation.Commands `embed:""`
	}

	// result is the output, the error and the exit code of a command.
	result struct {
		out, diagnostics string
		err              error
		code             int
	}

	// syncBuffer is a buffer that may be read while a command writes to it.
	syncBuffer struct {
		mu   sync.Mutex
		text bytes.Buffer
	}

	// event is a line printed with --events, or the output of a command with --json.
	event struct {
		Event     string          `json:"event"`
		RequestID string          `json:"request_id"`
		Handle    string          `json:"handle"`
		Address   string          `json:"address"`
		Addresses []string        `json:"addresses"`
		From      int             `json:"from"`
		Index     int             `json:"index"`
		Text      string          `json:"text"`
		State     string          `json:"state"`
		Outcome   string          `json:"outcome"`
		Reason    string          `json:"reason"`
		Tokens    int             `json:"tokens"`
		Result    json.RawMessage `json:"result"`
	}
)

func (b *syncBuffer) Write(p []byte) (int, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.text.Write(p)
}

func (b *syncBuffer) String() string {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.text.String()
}

func parser(t *testing.T, grammar *commandLine, out, diagnostics *syncBuffer) *kong.Kong {
	t.Helper()
	parser, err := kong.New(grammar, kong.Name("usherctl"), kong.Writers(out, diagnostics), kong.Exit(func(int) {}))
	if err != nil {
		t.Fatal(err)
	}
	return parser
}

func run(t *testing.T, arguments ...string) result {
	t.Helper()
	out := &syncBuffer{}
	return runInto(t, out, arguments...)
}

func runInto(t *testing.T, out *syncBuffer, arguments ...string) result {
	t.Helper()
	diagnostics, grammar := &syncBuffer{}, &commandLine{}
	parsed, err := parser(t, grammar, out, diagnostics).Parse(arguments)
	if err == nil {
		err = parsed.Run(usheroperation.Format{JSON: grammar.JSON})
	}
	return result{out.String(), diagnostics.String(), err, usheroperation.ExitCode(err)}
}

// parseEvents parses the JSON lines of out. It ignores an incomplete last line, as the command may still be writing it.
func parseEvents(t *testing.T, out string) []event {
	t.Helper()
	events := []event{}
	for text := range strings.Lines(out) {
		if !strings.HasSuffix(text, "\n") {
			break
		}
		var e event
		if err := json.Unmarshal([]byte(text), &e); err != nil {
			t.Fatalf("%q: %v", text, err)
		}
		events = append(events, e)
	}
	return events
}

// lastEvent returns the last JSON line that a command printed.
func lastEvent(t *testing.T, r result) event {
	t.Helper()
	events := parseEvents(t, r.out)
	if len(events) == 0 {
		t.Fatalf("the command printed no JSON: %v", r.err)
	}
	return events[len(events)-1]
}

func wantCode(t *testing.T, r result, code int) {
	t.Helper()
	if r.code != code {
		t.Fatalf("exit code %d, want %d: %v\n%s", r.code, code, r.err, r.out)
	}
}

// startFleet starts a fleet, sets the credentials of its workspace in the environment and waits until each gateway has
// completed a request.
func startFleet(t *testing.T, config usherfleet.Config) *usherfleet.Fleet {
	t.Helper()
	config.Directory = t.TempDir()
	config.Loopback = true
	fleet, err := usherfleet.Start(t.Context(), config)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = fleet.Close() })
	t.Setenv("USHER_WORKSPACE", usherfleet.Workspace)
	t.Setenv("USHER_KEY", usherfleet.APIKey)
	for _, gateway := range fleet.Gateways {
		wantCode(t, run(t, "send", gateway.Address(), "appraisal", "-p", "entry=tokens=1", "--retry", "20s"), usheroperation.ExitOK)
	}
	return fleet
}

// startProxy starts a TCP proxy to a gateway and returns its address. drop closes the listener and all connections.
func startProxy(t *testing.T, gateway string) (address string, drop func()) {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	var mu sync.Mutex
	connections := []io.Closer{listener}
	drop = func() {
		mu.Lock()
		defer mu.Unlock()
		for _, c := range connections {
			_ = c.Close()
		}
	}
	t.Cleanup(drop)
	go func() {
		for {
			from, err := listener.Accept()
			if err != nil {
				return
			}
			to, err := net.Dial("tcp", gateway)
			if err != nil {
				_ = from.Close()
				continue
			}
			mu.Lock()
			connections = append(connections, from, to)
			mu.Unlock()
			go func() { _, _ = io.Copy(to, from) }()
			go func() { _, _ = io.Copy(from, to) }()
		}
	}()
	return listener.Addr().String(), drop
}

func waitFor(t *testing.T, what string, condition func() bool) {
	t.Helper()
	for deadline := time.Now().Add(10 * time.Second); !condition(); time.Sleep(5 * time.Millisecond) {
		if time.Now().After(deadline) {
			t.Fatal(errors.New("timed out waiting for: " + what))
		}
	}
}
