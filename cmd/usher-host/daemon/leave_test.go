package daemon_test

import (
	"bufio"
	"fmt"
	"io"
	"net/http"
	"net/netip"
	"testing"
	"time"

	"github.com/samphireusher/samphireusher/platform/usherstandin"
)

// A caller closes its sending side while a target works on its request, and reads on. The host took it for gone and sent nothing of
// its own, so the HTTP server sent an empty 200 that no target had given. Found by the review, drill leave. It gets the host's
// own answer.
func TestCallerThatStopsSendingGetsNoSuccess(t *testing.T) {
	for _, path := range []string{"/allotment/x", "/status/x", "/appraisal/50", "/eligibility/50"} {
		t.Run(path, func(t *testing.T) {
			withTestbed(t, options{hosts: 1, engines: 2, plainTargets: 2}, func(t *testing.T, b *testbed) {
				for _, target := range b.targets {
					target.SetFault(usherstandin.NeverResponds)
				}
				conn, err := b.network.Dialer(netip.MustParseAddr(callerIP))(t.Context(), "tcp", fmt.Sprintf("%s:%d", b.hosts[0].ip, callerPort))
				if err != nil {
					t.Fatal(err)
				}
				defer func() { _ = conn.Close() }()
				request := "POST " + path + " HTTP/1.1\r\nHost: " + hostName + "\r\nAttempt-Id: a1\r\nApi-Key: " + apiKey + "\r\nDeadline-Ms: 5000\r\nContent-Length: 1\r\n\r\nx"
				if _, err := io.WriteString(conn, request); err != nil {
					t.Fatal(err)
				}
				time.Sleep(100 * time.Millisecond)
				if err := conn.(interface{ CloseWrite() error }).CloseWrite(); err != nil {
					t.Fatal(err)
				}
				response, err := http.ReadResponse(bufio.NewReader(conn), nil)
				if err != nil || response.StatusCode != http.StatusGatewayTimeout {
					t.Errorf("response %+v, error %v; want 504", response, err)
				}
			})
		})
	}
}

// A call that may run once goes on after its caller has closed its sending side. If no target can be reached for a while, it must
// not be sent long after that, as the caller may have left.
func TestCallOfADepartedCallerIsNotSentLate(t *testing.T) {
	withTestbed(t, options{hosts: 1, plainTargets: 2}, func(t *testing.T, b *testbed) {
		h := b.hosts[0]
		for i := range 2 {
			b.network.Block(mustAddr(h.ip), netip.AddrFrom4([4]byte{10, 128, 2, byte(i + 1)}))
		}
		conn := b.connect(h)
		conn.send(t, head("POST", "/allotment/x", "a1", "5000")+chunkedBody)
		time.Sleep(5 * time.Millisecond)
		_ = conn.Close()
		time.Sleep(505 * time.Millisecond)
		b.network.Heal()
		time.Sleep(2 * time.Second)
		if runs := b.runsOf("a1"); len(runs) > 0 {
			t.Errorf("run by %v more than half a second after the caller had left", runs)
		}
	})
}
