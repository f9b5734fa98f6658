package usherserver_test

import (
	"bufio"
	"context"
	"encoding/json"
	"io"
	"log/slog"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/samphireusher/samphireusher/standin/usherserver"
)

const settings = `
[platform p1]
address = 127.0.0.1:0
host_lag = 1s

[engine a1]
address = 127.0.0.1:0
memory_tokens = 2000
cold = true
report_lag = 50ms
texts = ../../_fixtures/texts

[plain r1]
address = 127.0.0.1:0

[weights w1]
address = 127.0.0.1:0
per_second = 0.5
`

func writeFile(t *testing.T, dir, name, text string) string {
	t.Helper()
	path := filepath.Join(dir, name)
	if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
	return path
}

func TestInvalidSettings(t *testing.T) {
	tests := []struct {
		name, text, want string
	}{
		{"unknown key", "[engine a1]\naddress = 127.0.0.1:0\nmemory = 5\n", "memory: unknown key"},
		{"unknown kind", "[juror a1]\naddress = 127.0.0.1:0\n", `unknown kind "juror"`},
		{"no name", "[engine]\naddress = 127.0.0.1:0\n", "needs a kind and a name"},
		{"no address", "[engine a1]\ncold = true\n", "address: missing"},
		{"not a number", "[engine a1]\naddress = 127.0.0.1:0\nmemory_tokens = many\n", "many"},
		{"duplicate section", "[engine a1]\naddress = 127.0.0.1:0\n[engine a1]\naddress = 127.0.0.1:0\n", "duplicate section [engine a1]"},
		{"outside of sections", "cold = true\n", "[DEFAULT]"},
		{"empty", "", "no stand-ins"},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			path := writeFile(t, t.TempDir(), "standins.ini", test.text)
			if _, err := usherserver.ReadSettings(path); err == nil || !strings.Contains(err.Error(), test.want) {
				t.Errorf("error %v, want one with %q", err, test.want)
			}
		})
	}
}

// serve starts the stand-ins in settings and returns their addresses by name.
func serve(t *testing.T) map[string]string {
	t.Helper()
	standins, err := usherserver.ReadSettings(writeFile(t, t.TempDir(), "standins.ini", settings))
	if err != nil {
		t.Fatal(err)
	}
	ctx, stop := context.WithCancel(t.Context())
	lines, log := io.Pipe()
	served := make(chan error, 1)
	go func() { served <- usherserver.Serve(ctx, slog.New(slog.NewJSONHandler(log, nil)), standins...) }()
	addresses := map[string]string{}
	scanner := bufio.NewScanner(lines)
	for len(addresses) < len(standins) && scanner.Scan() {
		var line struct{ Msg, Address, Name string }
		if err := json.Unmarshal(scanner.Bytes(), &line); err != nil || line.Msg != "listening" {
			t.Fatalf("log line %s: %v", scanner.Text(), err)
		}
		addresses[line.Name] = line.Address
	}
	go io.Copy(io.Discard, lines)
	t.Cleanup(func() {
		stop()
		if err := <-served; err != nil {
			t.Errorf("Serve ended with %v", err)
		}
	})
	return addresses
}

func TestServesAllStandins(t *testing.T) {
	addresses := serve(t)
	call := func(method, name, path, body, want string) {
		t.Helper()
		response, err := usherserver.Call(t.Context(), http.DefaultClient, method, addresses[name], path, []byte(body))
		if err != nil || !strings.Contains(string(response), want) {
			t.Errorf("%s %s: %q, error %v, want %q", name, path, response, err, want)
		}
	}
	call("GET", "a1", "/v1/report", "", `"memory_tokens":2000`)
	call("POST", "a1", "/v1/generations", `{"generation_id":"g1","prompt":"lookup tokens=4"}`, `"finish":"complete"`)
	call("POST", "r1", "/v1/calls", `{"call_id":"c1","operation":"checkout"}`, `"execution":1`)
	call("GET", "w1", "/v1/weights/appraiser-1", "", `"name":"appraiser-1"`)
	call("GET", "p1", "/v1/hosts", "", `"hosts":[]`)
	call("GET", "a1", "/record", "", `"tokens":4`)
}

func TestPublishSendsOneBatch(t *testing.T) {
	addresses := serve(t)
	dir := t.TempDir()
	writeFile(t, dir, "0001", "shard \x00\xff")
	writeFile(t, dir, "0002", "index")
	writeFile(t, dir, "manifest.json", `[{"key":"usher/shard/a","file":"0001"},{"key":"usher/index","file":"0002"}]`)
	response, err := usherserver.Publish(t.Context(), http.DefaultClient, addresses["p1"], dir)
	if err != nil || string(response) != "{\"version\":1}\n" {
		t.Fatalf("response %q, error %v", response, err)
	}
	value, err := usherserver.Call(t.Context(), http.DefaultClient, "GET", addresses["p1"], "/v1/values/usher/shard/a", nil)
	if err != nil || string(value) != "shard \x00\xff" {
		t.Errorf("value %q, error %v", value, err)
	}
}

func TestInvalidRenderedDirectory(t *testing.T) {
	tests := []struct {
		name, manifest, want string
	}{
		{"malformed", `[`, "malformed"},
		{"missing file", `[{"key":"a","file":"nowhere"}]`, `"a"`},
		{"file outside", `[{"key":"a","file":"../outside"}]`, "escapes"},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			dir := t.TempDir()
			writeFile(t, dir, "manifest.json", test.manifest)
			if _, err := usherserver.ReadRendered(dir); err == nil || !strings.Contains(err.Error(), test.want) {
				t.Errorf("error %v, want one with %q", err, test.want)
			}
		})
	}
}
