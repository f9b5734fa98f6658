package ushertarget_test

import (
	"errors"
	"fmt"
	"io"
	"net/http"
	"sync/atomic"
	"testing"

	"github.com/joomcode/errorx"

	"github.com/samphireusher/samphireusher/service/ushertarget"
)

// A target breaks off its response, in the head or after it. Operators of similar systems saw empty successes.
func TestResponseThatBreaksOffIsNoAnswer(t *testing.T) {
	const (
		result = `{"call_id":"c","result":{"total":3}}`
		token  = "event: token\ndata: {\"generation_id\":\"g\",\"incarnation\":7,\"index\":0,\"text\":\"a\"}\n\n"
		end    = "event: end\ndata: {\"generation_id\":\"g\",\"incarnation\":7,\"tokens\":1,\"finish\":\"complete\"}"
	)
	client := ushertarget.NewClient()
	defer client.Close()
	for _, c := range []struct {
		name, status, body string
	}{
		{"result", "200 OK", result},
		{"events", "200 OK", token + end},
		{"refusal", "503 Service Unavailable", `{"error":"full","not_run":true}`},
	} {
		head := "HTTP/1.1 " + c.status + "\r\nUsher-Incarnation: 7\r\n"
		for framing, response := range map[string]string{
			"length":     fmt.Sprintf("%sContent-Length: %d\r\n\r\n%s", head, len(c.body), c.body),
			"chunks":     fmt.Sprintf("%sTransfer-Encoding: chunked\r\n\r\n%x\r\n%s", head, len(c.body), c.body),
			"connection": head + "\r\n" + c.body,
		} {
			t.Run(c.name+", "+framing, func(t *testing.T) {
				var sent atomic.Int64
				target := serve(t, func(w http.ResponseWriter, _ *http.Request) {
					conn, _, err := http.NewResponseController(w).Hijack()
					if err != nil {
						t.Error(err)
						return
					}
					defer conn.Close()
					// The client may have closed the connection.
					_, _ = io.WriteString(conn, response[:sent.Load()])
				})
				for after := range response {
					sent.Store(int64(after))
					answer, progress, err := client.Call(t.Context(), target, ushertarget.Call{ID: "c"}, allow)
					if err == nil || !progress.Written || progress.Refused {
						t.Errorf("after %q: result %s, sent %+v, error %v", response[:after], answer, progress, err)
					}
					stream, progress, err := client.Generate(t.Context(), target, ushertarget.Generation{ID: "g"}, allow)
					if !progress.Written || progress.Refused || err != nil && !errorx.IsOfType(err, ushertarget.ErrConnection) && !errorx.IsOfType(err, ushertarget.ErrRefused) {
						t.Errorf("after %q: sent %+v, error %v", response[:after], progress, err)
					}
					if err != nil {
						continue
					}
					checkNoEnd(t, stream, response[:after])
				}
			})
		}
	}
}

// checkNoEnd fails the test if a stream has an end, or more than the first token.
func checkNoEnd(t *testing.T, stream *ushertarget.Stream, response string) {
	t.Helper()
	defer stream.Close()
	for tokens := 0; ; tokens++ {
		event, err := stream.Next()
		if errors.Is(err, io.EOF) || errorx.IsOfType(err, ushertarget.ErrConnection) || errorx.IsOfType(err, ushertarget.ErrMalformed) {
			return
		}
		if err != nil || event.End || tokens > 0 {
			t.Errorf("after %q: event %+v, error %v", response, event, err)
			return
		}
	}
}
