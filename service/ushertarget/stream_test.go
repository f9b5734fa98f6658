package ushertarget_test

import (
	"encoding/json"
	"io"
	"strconv"
	"strings"
	"testing"

	"github.com/samphireusher/samphireusher/service/ushertarget"
)

// wireEvent is a token event as decoded by encoding/json.
type wireEvent struct {
	Generation  string          `json:"generation_id"`
	Incarnation uint64          `json:"incarnation"`
	Index       int             `json:"index"`
	Text        json.RawMessage `json:"text"`
}

const usualEvent = `{"generation_id":"g/1/2","incarnation":7,"index":3,"text":"so"}`

var secondEvents = []string{
	usualEvent,
	`{"generation_id":"g/1/2","incarnation":7,"index":4,"text":"a \"quoted\", }brace"}`,
	`{"generation_id":"g/1/2","incarnation":7,"index":4,"text":"\u00e9"}`,
	`{"generation_id":"g/1/2","incarnation":7,"index":4,"text":""}`,
	`{"generation_id":"g/1/2","incarnation":7,"index":4,"text": "x" }`,
	`{"generation_id":"g/1/2","incarnation":7,"index":4,"text":"x","text":"y"}`,
	`{"generation_id":"g/1/2","incarnation":7,"index":4,"text":"x","index":5}`,
	`{"generation_id":"g/1/2","incarnation":7,"index":4,"text":"x","generation_id":"other"}`,
	`{"generation_id":"g/1/2","incarnation":7,"index":4,"tokens":9,"text":"x"}`,
	`{"generation_id":"g/1/2","incarnation":7,"index":4,"text":5}`,
	`{"generation_id":"g/1/2","incarnation":7,"index":4,"text":null}`,
	`{"generation_id":"g/1/2","incarnation":7,"index":4,"text":"x"`,
	`{"generation_id":"g/1/2","incarnation":7,"index":4,"text":"x}`,
	`{"generation_id":"g/1/2","incarnation":7,"index":4,"text":"x"}}`,
	`{"generation_id":"g/1/2","incarnation":7,"index":04,"text":"x"}`,
	`{"generation_id":"g/1/2","incarnation":7,"index":-4,"text":"x"}`,
	`{"generation_id":"g/1/2","incarnation":7,"index":4.5,"text":"x"}`,
	`{"generation_id":"g/1/2","incarnation":7,"index":4e1,"text":"x"}`,
	`{"generation_id":"g/1/2","incarnation":7,"index":,"text":"x"}`,
	`{"generation_id":"g/1/2","incarnation":7,"index":99999999999999999999,"text":"x"}`,
	`{"generation_id":"g/1/2","incarnation":8,"index":4,"text":"x"}`,
	`{"generation_id":"other","incarnation":7,"index":4,"text":"x"}`,
	`{"index":4,"text":"x"}`,
	`{}`,
}

// TestRepeatedEvents checks that an event which follows a token event in the usual format is decoded as by encoding/json,
// whether or not the fast path applies.
func TestRepeatedEvents(t *testing.T) {
	for _, second := range secondEvents {
		t.Run(second, func(t *testing.T) { checkSecond(t, second) })
	}
}

func FuzzRepeatedEvents(f *testing.F) {
	for _, second := range secondEvents {
		f.Add(second)
	}
	f.Fuzz(func(t *testing.T, second string) {
		if strings.ContainsAny(second, "\r\n") || strings.TrimSpace(second) != second {
			t.Skip("not a single line of data")
		}
		checkSecond(t, second)
	})
}

func checkSecond(t *testing.T, second string) {
	t.Helper()
	stream := newStream(usualEvent, second)
	if _, err := stream.Next(); err != nil {
		t.Fatal(err)
	}
	var want wireEvent
	wantErr := json.Unmarshal([]byte(second), &want)
	got, err := stream.Next()
	if (err != nil) != (wantErr != nil) {
		t.Fatalf("error %v, encoding/json returns %v", err, wantErr)
	}
	if err != nil {
		return
	}
	if got.Generation != want.Generation || got.Incarnation != want.Incarnation || got.Index != want.Index || string(got.Text) != string(want.Text) {
		t.Fatalf("decoded %+v, want %+v", got, want)
	}
}

// TestTokensDoNotAllocate checks that decoding a token event on the hot path does not allocate.
func TestTokensDoNotAllocate(t *testing.T) {
	const tokens = 1000
	events := make([]string, tokens)
	for i := range events {
		events[i] = `{"generation_id":"g/1/2","incarnation":7,"index":` + strconv.Itoa(i) + `,"text":" word"}`
	}
	stream := newStream(events...)
	if _, err := stream.Next(); err != nil {
		t.Fatal(err)
	}
	allocations := testing.AllocsPerRun(tokens-2, func() {
		if _, err := stream.Next(); err != nil {
			t.Fatal(err)
		}
	})
	if allocations != 0 {
		t.Fatalf("%v allocations per token, want 0", allocations)
	}
}

func newStream(events ...string) *ushertarget.Stream {
	var body strings.Builder
	for _, e := range events {
		body.WriteString("event: token\ndata: " + e + "\n\n")
	}
	return ushertarget.NewStream(io.NopCloser(strings.NewReader(body.String())))
}
