package usherresponse_test

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"log"
	"net"
	"net/http"
	"os"
	"strings"
	"sync/atomic"
	"testing"

	"github.com/joomcode/errorx"

	"github.com/samphireusher/samphireusher/pkg/usherresponse"
)

func TestCheckRefusesNamesThatAreNoTokens(t *testing.T) {
	for _, c := range []struct {
		name string
		want bool
	}{
		{"X", true}, {"Content-Length", true}, {"!#$%&'*+-.^_`|~09AZaz", true},
		{"", false}, {"X Y", false}, {"X ", false}, {" X", false}, {"X\t", false}, {"X\x00", false}, {"X\x7f", false}, {"X\xa0", false}, {"X(Y)", false}, {"X:", false}, {"é", false},
	} {
		err := usherresponse.Check(&http.Response{Header: http.Header{"Date": nil, c.name: {"v"}}})
		if (err == nil) != c.want || err != nil && !errorx.IsOfType(err, usherresponse.ErrMalformed) {
			t.Errorf("name %q: error %v, want one: %v", c.name, err, !c.want)
		}
	}
}

// A refused response is followed by bytes that look like the response to the next request on the connection.
func TestTransportDoesNotUseTheConnectionOfARefusedResponseAgain(t *testing.T) {
	// net/http logs the bytes that it finds on idle connections.
	log.SetOutput(io.Discard)
	defer log.SetOutput(os.Stderr)
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer listener.Close()
	const next = "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nother"
	var connections atomic.Int64
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			connections.Add(1)
			go func() {
				defer conn.Close()
				reader := bufio.NewReader(conn)
				for {
					request, err := http.ReadRequest(reader)
					if err != nil {
						return
					}
					response := "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nwhole"
					if request.URL.Path == "/broken" {
						response = fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Length : %d\r\nContent-Length: 0\r\n\r\n%s", len(next), next)
					}
					_, _ = io.WriteString(conn, response)
				}
			}()
		}
	}()
	client := &http.Client{Transport: usherresponse.Transport{Base: &http.Transport{}}}
	defer client.CloseIdleConnections()
	get := func(path string) (string, error) {
		response, err := client.Get("http://" + listener.Addr().String() + path)
		if err != nil {
			return "", err
		}
		body, err := io.ReadAll(response.Body)
		return string(body), errors.Join(err, response.Body.Close())
	}
	for range 20 {
		if body, err := get("/broken"); err == nil || !strings.Contains(err.Error(), `"Content-Length "`) {
			t.Errorf("body %q, error %v; want one that names the field", body, err)
		}
		if body, err := get("/"); err != nil || body != "whole" {
			t.Errorf("body %q, error %v; want the response to the request", body, err)
		}
	}
	if n := connections.Load(); n < 20 {
		t.Errorf("%d connections, want a new one after each refused response", n)
	}
}
