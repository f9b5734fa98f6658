package ushergateway_test

import (
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/netip"
	"strings"
	"testing"
	"time"

	"github.com/samphireusher/samphireusher/service/usherclient"
	"github.com/samphireusher/samphireusher/standin/usherfleet"
)

// TestBadInput checks that each kind of invalid request is refused with a clear message and does not affect valid ones.
func TestBadInput(t *testing.T) {
	inBubble(t, testBadInput)
}

func testBadInput(t *testing.T) {
	fleet := startFleet(t, usherfleet.Config{Engines: 1, Services: 1})
	good := fleet.NewClient()
	long := appraisal(1)
	long.Parameters["entry"] = strings.Repeat("x", 20<<10)
	oversize := appraisal(1)
	oversize.Parameters["entry"] = strings.Repeat("x", 2<<20)
	unknown := appraisal(1)
	unknown.Parameters["colour"] = "red"
	id := newRequestID(t, good, fleet.Gateways[0].Address(), "")
	tests := []struct {
		name    string
		client  *usherclient.Client
		request usherclient.Request
		status  int
		message string
	}{
		{"no such workspace", fleet.NewClientOf("nowhere", "key"), appraisal(1), http.StatusUnauthorized, "key"},
		{"wrong key", fleet.NewClientOf(usherfleet.Workspace, "wrong"), appraisal(1), http.StatusUnauthorized, "key"},
		{"no such template", good, usherclient.Request{Template: "nothing"}, http.StatusNotFound, "nothing"},
		{"missing parameter", good, usherclient.Request{Template: "appraisal"}, http.StatusBadRequest, "entry"},
		{"unknown parameter", good, unknown, http.StatusBadRequest, "colour"},
		{"parameter out of bounds", good, long, http.StatusBadRequest, "entry"},
		{"oversize body", good, oversize, http.StatusBadRequest, "body"},
		{"not idempotent and without an id", good, allotment("meera", ""), http.StatusBadRequest, "request_id"},
		{"forged id", good, allotment("meera", id[:len(id)-4]+"AAAA"), http.StatusBadGateway, "forged"},
		{"id of another workspace", fleet.NewClientOf(usherfleet.OtherWorkspace, usherfleet.OtherAPIKey), allotment("meera", id), http.StatusBadGateway, "forged"},
	}
	for _, test := range tests {
		step(t, test.name, func(t *testing.T) {
			_, err := test.client.Send(t.Context(), fleet.Gateways[0].Address(), test.request, nil)
			var refusal usherclient.Refusal
			if !errors.As(err, &refusal) || refusal.Status != test.status || !strings.Contains(refusal.Error(), test.message) {
				t.Errorf("status %d: %v", refusal.Status, err)
			}
		})
	}
	if got := executions(fleet, "meera"); got != 0 {
		t.Errorf("ran %d times", got)
	}
	if _, err := good.Send(t.Context(), fleet.Gateways[0].Address(), appraisal(1), nil); err != nil {
		t.Errorf("valid request after the invalid ones: %v", err)
	}
}

// TestIncompleteRequestBody has a caller send only a part of its request body and keep the connection open: it must get
// status 400 by the body timeout, and other requests must be served meanwhile.
func TestIncompleteRequestBody(t *testing.T) {
	inBubble(t, testIncompleteRequestBody)
}

func testIncompleteRequestBody(t *testing.T) {
	fleet := startFleet(t, usherfleet.Config{Engines: 1})
	address := fleet.Gateways[0].Address()
	conn, err := fleet.Network.Dialer(netip.MustParseAddr("127.1.9.9"))(t.Context(), "tcp", address)
	if err != nil {
		t.Fatal(err)
	}
	defer conn.Close()
	_, err = fmt.Fprintf(conn, "POST /v1/requests HTTP/1.1\r\nHost: x\r\nAuthorization: Bearer %s\r\nUsher-Workspace: %s\r\nContent-Length: 100\r\n\r\n{\"template\":", usherfleet.APIKey, usherfleet.Workspace)
	if err != nil {
		t.Fatal(err)
	}
	sent := time.Now()
	if _, err := fleet.NewClient().Send(t.Context(), address, appraisal(1), nil); err != nil {
		t.Errorf("valid request during the incomplete one: %v", err)
	}
	response, err := io.ReadAll(conn)
	if err != nil || !strings.Contains(string(response), "400 Bad Request") {
		t.Errorf("response %q, %v", response, err)
	}
	if took := time.Since(sent); took > 11*time.Second {
		t.Errorf("refused only after %s", took)
	}
}

// TestWorkspacesAreIsolated has one workspace query, cancel and resume a request of another one, which must fail.
func TestWorkspacesAreIsolated(t *testing.T) {
	inBubble(t, testWorkspacesAreIsolated)
}

func testWorkspacesAreIsolated(t *testing.T) {
	fleet := startFleet(t, usherfleet.Config{Engines: 1})
	address := fleet.Gateways[0].Address()
	r := newReader(t, 5)
	done := make(chan error, 1)
	go func() {
		_, err := fleet.NewClient().Send(t.Context(), address, appraisal(100), r.callbacks())
		done <- err
	}()
	<-r.reached
	other := fleet.NewClientOf(usherfleet.OtherWorkspace, usherfleet.OtherAPIKey)
	_, statusErr := other.Status(t.Context(), address, r.request)
	_, resumeErr := other.Resume(t.Context(), address, r.handle, 0, nil)
	for name, err := range map[string]error{"status": statusErr, "cancel": other.Cancel(t.Context(), address, r.request), "resume": resumeErr} {
		if err == nil {
			t.Errorf("%s of another workspace's request succeeded", name)
		}
	}
	if err := <-done; err != nil || r.next != 100 {
		t.Errorf("the request ended after %d tokens: %v", r.next, err)
	}
}

// TestWorkspaceRateIsEnforced has one workspace exceed its rate through three gateways: about as many requests as the
// rate allows must be accepted, the others refused with a retry time, and another workspace must not be affected.
func TestWorkspaceRateIsEnforced(t *testing.T) {
	inBubble(t, testWorkspaceRateIsEnforced)
}

func testWorkspaceRateIsEnforced(t *testing.T) {
	fleet := startFleet(t, usherfleet.Config{Gateways: 3, Services: 2, Engines: 1})
	w, _ := fleet.Snapshot().Workspace(usherfleet.Workspace)
	if err := fleet.Publish(fleet.Snapshot().WithWorkspace(w.WithQuota(6, 6))); err != nil {
		t.Fatal(err)
	}
	eventually(t, updateBound, "change in effect", func() bool { return allUpToDate(fleet) })
	client := fleet.NewClient()
	const span = 30
	accepted, refused := 0, 0
	for i := range span * 10 {
		request := usherclient.Request{Template: "standing", Parameters: map[string]string{"artisan": fmt.Sprint(i)}}
		_, err := client.Send(t.Context(), fleet.Gateways[i%10/4].Address(), request, nil)
		var refusal usherclient.Refusal
		switch {
		case err == nil:
			accepted++
		case errors.As(err, &refusal) && refusal.Reason == "quota" && refusal.RetryAfter > 0:
			refused++
		default:
			t.Fatal(err)
		}
		time.Sleep(time.Second / 10)
	}
	if most, least := span*6*9/8+6+6, span*6*8/10; accepted > most || accepted < least || refused == 0 {
		t.Errorf("accepted %d in %d s at a rate of 6, refused %d", accepted, span, refused)
	}
	other := fleet.NewClientOf(usherfleet.OtherWorkspace, usherfleet.OtherAPIKey)
	if _, err := other.Send(t.Context(), fleet.Gateways[0].Address(), usherclient.Request{Template: "standing", Parameters: map[string]string{"artisan": "x"}}, nil); err != nil {
		t.Errorf("another workspace: %v", err)
	}
}
