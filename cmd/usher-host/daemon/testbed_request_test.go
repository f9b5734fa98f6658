package daemon_test

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"maps"
	"net"
	"net/http"
	"net/netip"
	"strings"
	"time"

	"github.com/fxamacker/cbor/v2"

	"github.com/samphireusher/samphireusher/pkg/ushercatalog"
	"github.com/samphireusher/samphireusher/pkg/ushercluster"
)

// request returns a caller's request to a host, with a unique attempt id.
func (b *testbed) request(ctx context.Context, h *host, method, path, body string) *http.Request {
	b.t.Helper()
	r, err := http.NewRequestWithContext(ctx, method, "http://"+h.ip+fmt.Sprint(":", callerPort)+path, strings.NewReader(body))
	if err != nil {
		b.t.Fatal(err)
	}
	r.Host = hostName
	r.Header.Set("Attempt-Id", fmt.Sprintf("%016x", b.calls.Add(1)))
	r.Header.Set("Deadline-Ms", "5000")
	r.Header.Set("Api-Key", apiKey)
	if strings.HasPrefix(path, "/appraisal/") || strings.HasPrefix(path, "/eligibility/") {
		r.Header.Set("Deadline-Ms", "39000")
		r.Header.Set("Model", "m")
		r.Header.Set("Token-Counts", "3000,900")
	}
	return r
}

type result struct {
	status  int
	header  http.Header
	body    string
	attempt string
	err     error
	elapsed time.Duration
	// announcesClose is set if the response has the header "Connection: close".
	announcesClose bool
}

func (b *testbed) do(r *http.Request) result { return doWith(b.client, r) }

// doWith sends a request and reads the response to its end.
func doWith(client *http.Client, r *http.Request) result {
	start := time.Now()
	response, err := client.Do(r)
	if err != nil {
		return result{err: err, attempt: r.Header.Get("Attempt-Id"), elapsed: time.Since(start)}
	}
	defer func() { _ = response.Body.Close() }()
	body, err := io.ReadAll(response.Body)
	return result{status: response.StatusCode, header: response.Header, body: string(body), attempt: r.Header.Get("Attempt-Id"), err: err, elapsed: time.Since(start), announcesClose: response.Close}
}

func (b *testbed) get(h *host, path string) result {
	b.t.Helper()
	return b.do(b.request(b.t.Context(), h, http.MethodGet, path, ""))
}

func (b *testbed) post(h *host, path string) result {
	b.t.Helper()
	return b.do(b.request(b.t.Context(), h, http.MethodPost, path, "a body"))
}

// sendRaw responds to a request with bytes that net/http would not send, and closes the connection after end.
func sendRaw(w http.ResponseWriter, response string, end func(conn net.Conn, request io.Reader)) {
	conn, buffered, err := http.NewResponseController(w).Hijack()
	if err != nil {
		panic(err)
	}
	defer conn.Close()
	// The other end may have closed the connection.
	_, _ = io.WriteString(conn, response)
	if end != nil {
		end(conn, buffered)
	}
}

// resolvedAddresses returns a host's response to a caller that asks for the addresses of hosts.
func (b *testbed) resolvedAddresses(h *host) string {
	return b.getAt(h, locatePort, "/resolve?name="+hostName+"&zone=kochi").body
}

// getAt sends a request to another port of a host than that for callers.
func (b *testbed) getAt(h *host, port int, path string) result {
	b.t.Helper()
	r, err := http.NewRequestWithContext(b.t.Context(), http.MethodGet, fmt.Sprintf("http://%s:%d%s", h.ip, port, path), nil)
	if err != nil {
		b.t.Fatal(err)
	}
	return b.do(r)
}

// events returns the ids of a stream's events.
func events(body string) []string {
	var ids []string
	scanner := bufio.NewScanner(strings.NewReader(body))
	for scanner.Scan() {
		if id, found := strings.CutPrefix(scanner.Text(), "id: "); found {
			ids = append(ids, id)
		}
	}
	return ids
}

// isComplete reports whether a body consists of the events 1 to n of one attempt, each once and in order.
func isComplete(body, attempt string, n int) bool {
	var want strings.Builder
	for id := 1; id <= n; id++ {
		fmt.Fprintf(&want, "id: %d\ndata: piece %d of %s\n\n", id, id, attempt)
	}
	return body == want.String()
}

// sendPeerChange sends a host a catalog change in the datagram format of peers.
func (b *testbed) sendPeerChange(ip string, revision uint64, change ushercatalog.Entry) {
	b.t.Helper()
	b.sendPeerReport(ip, elsewhere, map[int]any{3: revision, 11: revision - 1, 12: []ushercatalog.Entry{change}})
}

// sendPeerReport sends a host a peer's report, with fields of the datagram format by their numbers.
func (b *testbed) sendPeerReport(ip string, peer ushercluster.Member, fields map[int]any) {
	b.t.Helper()
	datagram := map[int]any{1: 1, 2: ushercluster.Report{From: peer}, 4: time.Hour}
	maps.Copy(datagram, fields)
	data, err := cbor.Marshal(datagram)
	if err != nil {
		b.t.Fatal(err)
	}
	conn, err := b.network.ListenPacket(peer.Address)
	if err != nil {
		b.t.Fatal(err)
	}
	defer func() { _ = conn.Close() }()
	if _, err := conn.WriteTo(data, net.UDPAddrFromAddrPort(netip.AddrPortFrom(netip.MustParseAddr(ip), peerPort))); err != nil {
		b.t.Fatal(err)
	}
	time.Sleep(5 * time.Millisecond)
}
