package usheroperation_test

import (
	"os"
	"path/filepath"
	"slices"
	"strconv"
	"strings"
	"testing"

	usheroperation "github.com/samphireusher/samphireusher/cmd/usherctl/operate"
	"github.com/samphireusher/samphireusher/standin/usherfleet"
	"github.com/samphireusher/samphireusher/standin/usherplain"
)

func TestRequests(t *testing.T) {
	fleet := startFleet(t, usherfleet.Config{Gateways: 2, Engines: 1, Services: 1})
	address, other := fleet.Gateways[0].Address(), fleet.Gateways[1].Address()

	t.Run("locate", func(t *testing.T) {
		wantAddresses := func(got []string) {
			t.Helper()
			slices.Sort(got)
			want := []string{address, other}
			slices.Sort(want)
			if !slices.Equal(got, want) {
				t.Errorf("located %v, want %v", got, want)
			}
		}
		wantAddresses(strings.Fields(run(t, "locate", address).out))
		wantAddresses(lastEvent(t, run(t, "locate", address, "--json")).Addresses)
		wantCode(t, run(t, "locate", address, "--key", "wrong"), usheroperation.ExitFailure)
	})

	t.Run("stream", func(t *testing.T) {
		entry := filepath.Join(t.TempDir(), "entry.txt")
		if err := os.WriteFile(entry, []byte("a sari; its border, tokens=30"), 0o600); err != nil {
			t.Fatal(err)
		}
		text := run(t, "send", address, "appraisal", "-p", "entry=@"+entry)
		wantCode(t, text, usheroperation.ExitOK)
		if len(strings.Fields(text.out)) != 30 || !strings.Contains(text.diagnostics, "completed: 30 tokens") {
			t.Errorf("stdout %q, stderr %q", text.out, text.diagnostics)
		}
		events := parseEvents(t, run(t, "send", address, "appraisal", "-p", "entry=@"+entry, "--events").out)
		if len(events) != 32 || events[0].Event != "started" || events[0].Handle == "" || events[31].Tokens != 30 {
			t.Fatalf("events %+v", events)
		}
		for i, e := range events[1:31] {
			if e.Event != "token" || e.Index != i {
				t.Errorf("event %+v, want token %d", e, i)
			}
		}
		answer := lastEvent(t, run(t, "send", address, "appraisal", "-p", "entry=@"+entry, "--json"))
		if len(strings.Fields(answer.Text)) != 30 || answer.Outcome != "completed" {
			t.Errorf("answer %+v", answer)
		}
	})

	t.Run("unstreamed", func(t *testing.T) {
		if got := run(t, "send", address, "plan", "-p", "entry=tokens=7"); len(strings.Fields(got.out)) != 7 {
			t.Errorf("printed %q", got.out)
		}
		if got := run(t, "send", address, "standing", "-p", "artisan=meera"); !strings.Contains(got.out, `"artisan":"meera"`) {
			t.Errorf("printed %q", got.out)
		}
	})

	t.Run("at most once", func(t *testing.T) {
		first := lastEvent(t, run(t, "send", address, "allotment", "-p", "artisan=anu", "--once", "--json"))
		second := lastEvent(t, run(t, "send", other, "allotment", "-p", "artisan=anu", "--id", first.RequestID, "--json"))
		if first.RequestID == "" || second.RequestID != first.RequestID || string(second.Result) != string(first.Result) {
			t.Errorf("answers %+v and %+v", first, second)
		}
		wantExecutions(t, fleet, "anu", 1)
		for range 2 {
			wantCode(t, run(t, "send", address, "allotment", "-p", "artisan=jose", "--idempotency-key", "stall-9"), usheroperation.ExitOK)
		}
		wantExecutions(t, fleet, "jose", 1)
		asked := run(t, "send", address, "allotment", "-p", "artisan=latha")
		wantCode(t, asked, usheroperation.ExitOK)
		if !strings.Contains(asked.diagnostics, "request id ") {
			t.Errorf("the request id is not in stderr: %q", asked.diagnostics)
		}
		wantExecutions(t, fleet, "latha", 1)
	})

	t.Run("status", func(t *testing.T) {
		sent := lastEvent(t, run(t, "send", address, "kept", "-p", "entry=tokens=5", "--json"))
		if got := run(t, "status", address, sent.RequestID); !strings.HasPrefix(got.out, "completed\n") || len(strings.Fields(got.out)) != 6 {
			t.Errorf("printed %q", got.out)
		}
		if got := lastEvent(t, run(t, "status", address, sent.RequestID, "--json")); got.State != "ended" || got.Tokens != 5 {
			t.Errorf("printed %+v", got)
		}
		wantCode(t, run(t, "status", other, sent.RequestID), usheroperation.ExitFailure)
	})

	t.Run("cancel", func(t *testing.T) {
		for _, form := range [][]string{nil, {"--json"}} {
			out, ended := &syncBuffer{}, make(chan result, 1)
			go func() { ended <- runInto(t, out, "send", address, "appraisal", "-p", "entry=tokens=4000", "--events") }()
			waitFor(t, "a first token", func() bool { return len(parseEvents(t, out.String())) > 1 })
			id := parseEvents(t, out.String())[0].RequestID
			if got := run(t, "status", address, id); got.out != "in_progress\n" {
				t.Errorf("printed %q", got.out)
			}
			got := run(t, append([]string{"cancel", address, id}, form...)...)
			wantCode(t, got, usheroperation.ExitOK)
			if !strings.Contains(got.out, "cancelling") {
				t.Errorf("printed %q", got.out)
			}
			r := <-ended
			wantCode(t, r, usheroperation.ExitRanInPart)
			if end := lastEvent(t, r); end.Event != "refused" || end.Outcome != "ran_in_part" || end.Reason != "cancelled" {
				t.Errorf("ended with %+v", end)
			}
		}
		wantCode(t, run(t, "cancel", address, "unknown"), usheroperation.ExitFailure)
	})

	t.Run("exit codes", func(t *testing.T) {
		tests := []struct {
			name      string
			code      int
			arguments []string
		}{
			{"parameter out of bounds", usheroperation.ExitNotRun, []string{"send", address, "appraisal", "-p", "entry="}},
			{"unknown template", usheroperation.ExitNotRun, []string{"send", address, "poem"}},
			{"wrong key", usheroperation.ExitNotRun, []string{"send", address, "standing", "-p", "artisan=anu", "--key", "wrong"}},
			{"connection refused", usheroperation.ExitNotRun, []string{"send", "127.0.0.1:1", "standing", "-p", "artisan=anu"}},
			{"foreign id", usheroperation.ExitUnknown, []string{"send", address, "allotment", "-p", "artisan=anu", "--id", "AAAA"}},
			{"missing parameter file", usheroperation.ExitFailure, []string{"send", address, "appraisal", "-p", "entry=@/nowhere"}},
			{"missing key file", usheroperation.ExitFailure, []string{"send", address, "appraisal", "--key-file", "/nowhere", "--key", ""}},
			{"negative index", usheroperation.ExitUsage, []string{"resume", address, "handle", "--from=-1"}},
			{"unknown flag", usheroperation.ExitUsage, []string{"send", address, "appraisal", "--twice"}},
			{"unknown command", usheroperation.ExitUsage, []string{"sent"}},
			{"missing address", usheroperation.ExitUsage, []string{"locate"}},
		}
		for _, test := range tests {
			t.Run(test.name, func(t *testing.T) { wantCode(t, run(t, test.arguments...), test.code) })
		}
	})

	t.Run("answer lost", func(t *testing.T) {
		fleet.Services[0].SetFaults(usherplain.Faults{LoseAnswers: true})
		got := run(t, "send", address, "allotment", "-p", "artisan=vinod", "--once", "--json")
		wantCode(t, got, usheroperation.ExitUnknown)
		if end := lastEvent(t, got); end.Outcome != "unknown" || end.RequestID == "" {
			t.Errorf("ended with %+v", end)
		}
		wantExecutions(t, fleet, "vinod", 1)
	})
}

// TestBrokenStreamIsResumed kills the gateway of a stream: send must resume it at the other gateway without losing or
// repeating a token. It then resumes the same stream with the resume command.
func TestBrokenStreamIsResumed(t *testing.T) {
	fleet := startFleet(t, usherfleet.Config{Gateways: 2, Engines: 1})
	address, other := fleet.Gateways[0].Address(), fleet.Gateways[1].Address()
	address, drop := startProxy(t, address)
	out, ended := &syncBuffer{}, make(chan result, 1)
	go func() { ended <- runInto(t, out, "send", address, "appraisal", "-p", "entry=tokens=150", "--events") }()
	waitFor(t, "twenty tokens", func() bool { return len(parseEvents(t, out.String())) > 20 })
	handle := parseEvents(t, out.String())[0].Handle
	drop() // so that nothing the gateway sends while it stops reaches the client
	if err := fleet.Gateways[0].Kill(); err != nil {
		t.Fatal(err)
	}
	r := <-ended
	wantCode(t, r, usheroperation.ExitOK)
	next, resumed := 0, 0
	for _, e := range parseEvents(t, r.out) {
		switch e.Event {
		case "resumed":
			if e.Address != other || e.From != next {
				t.Errorf("resumed at %s from %d, want %s from %d", e.Address, e.From, other, next)
			}
			resumed++
		case "token":
			if e.Index != next {
				t.Errorf("received token %d, want %d", e.Index, next)
			}
			next++
		}
	}
	if next != 150 || resumed != 1 {
		t.Errorf("received %d tokens, want 150; resumed %d times, want once", next, resumed)
	}
	const from = 100
	again := run(t, "resume", other, handle, "--from", strconv.Itoa(from))
	wantCode(t, again, usheroperation.ExitOK)
	if got := len(strings.Fields(again.out)); got != 150-from {
		t.Errorf("resume returned %d tokens after %d", got, from)
	}
}

func wantExecutions(t *testing.T, fleet *usherfleet.Fleet, artisan string, want int) {
	t.Helper()
	count := 0
	for _, service := range fleet.Services {
		for _, operation := range service.Record().Operations {
			if operation.Operation == "allotment" && strings.Contains(string(operation.Parameters), `"`+artisan+`"`) {
				count += operation.Executions
			}
		}
	}
	if count != want {
		t.Errorf("executed %d times, want %d", count, want)
	}
}
