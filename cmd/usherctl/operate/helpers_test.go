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
	// line is the command line under test.
	line struct {
		JSON                    bool
		usheroperation.Commands `embed:""`
	}

	// result is what a command printed and how it ended.
	result struct {
		out, notes string
		err        error
		code       int
	}

	// buffer may be read while a command writes to it.
	buffer struct {
		mu   sync.Mutex
		text bytes.Buffer
	}

	// event is one line of --events, or the JSON that a command prints.
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

func (b *buffer) Write(p []byte) (int, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.text.Write(p)
}

func (b *buffer) String() string {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.text.String()
}

func parser(t *testing.T, grammar *line, out, notes *buffer) *kong.Kong {
	t.Helper()
	parser, err := kong.New(grammar, kong.Name("usherctl"), kong.Writers(out, notes), kong.Exit(func(int) {}))
	if err != nil {
		t.Fatal(err)
	}
	return parser
}

// run runs usherctl with the arguments.
func run(t *testing.T, arguments ...string) result {
	t.Helper()
	out := &buffer{}
	return runInto(t, out, arguments...)
}

func runInto(t *testing.T, out *buffer, arguments ...string) result {
	t.Helper()
	notes, grammar := &buffer{}, &line{}
	parsed, err := parser(t, grammar, out, notes).Parse(arguments)
	if err == nil {
		err = parsed.Run(usheroperation.Format{JSON: grammar.JSON})
	}
	return result{out.String(), notes.String(), err, usheroperation.ExitCode(err)}
}

// eventsOf reads the JSON lines of out; a line that is still being written is left out.
func eventsOf(t *testing.T, out string) []event {
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

// last returns the last JSON line of a command.
func last(t *testing.T, r result) event {
	t.Helper()
	events := eventsOf(t, r.out)
	if len(events) == 0 {
		t.Fatalf("nothing was printed: %v", r.err)
	}
	return events[len(events)-1]
}

func wantCode(t *testing.T, r result, code int) {
	t.Helper()
	if r.code != code {
		t.Fatalf("exit code %d, want %d: %v\n%s", r.code, code, r.err, r.out)
	}
}

// start brings up a fleet that serves, with the credentials of its workspace in the environment.
func start(t *testing.T, config usherfleet.Config) *usherfleet.Fleet {
	t.Helper()
	config.Directory = t.TempDir()
	config.Loopback = true
	fleet, err := usherfleet.Start(t.Context(), config)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = fleet.Close() })
	t.Setenv("USHER_WORKSPACE", usherfleet.Workspace)
	t.Setenv("USHER_KEY", usherfleet.Key)
	for _, gateway := range fleet.Gateways {
		wantCode(t, run(t, "send", gateway.Address(), "appraisal", "-p", "entry=tokens=1", "--retry", "20s"), usheroperation.ExitCompleted)
	}
	return fleet
}

// forward forwards connections to a gateway until drop breaks them all, and returns where.
func forward(t *testing.T, gateway string) (address string, drop func()) {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	var mu sync.Mutex
	broken := []io.Closer{listener}
	drop = func() {
		mu.Lock()
		defer mu.Unlock()
		for _, c := range broken {
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
			broken = append(broken, from, to)
			mu.Unlock()
			go func() { _, _ = io.Copy(to, from) }()
			go func() { _, _ = io.Copy(from, to) }()
		}
	}()
	return listener.Addr().String(), drop
}

func eventually(t *testing.T, what string, true func() bool) {
	t.Helper()
	for until := time.Now().Add(10 * time.Second); !true(); time.Sleep(5 * time.Millisecond) {
		if time.Now().After(until) {
			t.Fatal(errors.New("in vain: " + what))
		}
	}
}
