package usherevent_test

import (
	"bytes"
	"errors"
	"io"
	"strings"
	"testing"

	"github.com/samphireusher/samphireusher/pkg/usherevent"
)

func TestNextReturnsOnlyCompleteEvents(t *testing.T) {
	for _, c := range []struct {
		name, body string
		ids        []string
		end        error
	}{
		{"empty", "", nil, io.EOF},
		{"two events", "id: 1\ndata: a\n\nid: 2\ndata: b\n\n", []string{"1", "2"}, io.EOF},
		{"carriage returns", "id:1\r\ndata: a\r\n\r\n", []string{"1"}, io.EOF},
		{"a field before the id", "weights: 3\nid: 7\ndata: a\n\n", []string{"7"}, io.EOF},
		{"no id", "data: a\n\n", []string{""}, io.EOF},
		{"cut within an event", "id: 1\ndata: a\n\nid: 2\ndata: b\n", []string{"1"}, io.ErrUnexpectedEOF},
		{"cut within a line", "id: 1\ndata: a\n\nid", []string{"1"}, io.ErrUnexpectedEOF},
		{"a long event", "id: 1\ndata: " + strings.Repeat("x", 20000) + "\n\n", []string{"1"}, io.EOF},
	} {
		reader := usherevent.NewReader(strings.NewReader(c.body))
		var ids []string
		var raw bytes.Buffer
		var err error
		for {
			var e usherevent.Event
			if e, err = reader.Next(); err != nil {
				break
			}
			ids = append(ids, e.ID)
			raw.Write(e.Raw)
		}
		if strings.Join(ids, ",") != strings.Join(c.ids, ",") || !errors.Is(err, c.end) {
			t.Errorf("%s: ids %v, end %v; want %v, %v", c.name, ids, err, c.ids, c.end)
		}
		if !strings.HasPrefix(c.body, raw.String()) {
			t.Errorf("%s: the bytes of the events were changed", c.name)
		}
	}
}

func TestEventSizeIsBounded(t *testing.T) {
	reader := usherevent.NewReader(strings.NewReader(strings.Repeat("data: x\n", usherevent.MaxBytes/8+1)))
	if _, err := reader.Next(); err == nil || errors.Is(err, io.ErrUnexpectedEOF) {
		t.Errorf("an endless event: error %v, want ErrTooLarge", err)
	}
}

func FuzzReader(f *testing.F) {
	f.Add([]byte("id: 1\ndata: a\n\n"))
	f.Fuzz(func(t *testing.T, body []byte) {
		reader := usherevent.NewReader(bytes.NewReader(body))
		read := 0
		for {
			e, err := reader.Next()
			if err != nil {
				break
			}
			read += len(e.Raw)
		}
		if read > len(body) {
			t.Errorf("%d bytes of events from a body of %d bytes", read, len(body))
		}
	})
}
