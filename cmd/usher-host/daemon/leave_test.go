package daemon_test

import (
	"fmt"
	"io"
	"net/netip"
	"testing"
	"time"

	"github.com/samphireusher/samphireusher/platform/usherstandin"
)

// A caller closes its sending side while a target works on its request, and reads on. The host takes it for gone and sent nothing of
// its own, so the HTTP server sent an empty 200 that no target had given. Found by the review, drill leave.
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
				response, err := io.ReadAll(conn)
				if err != nil || len(response) > 0 {
					t.Errorf("response %q, error %v; want a closed connection", response, err)
				}
			})
		})
	}
}
