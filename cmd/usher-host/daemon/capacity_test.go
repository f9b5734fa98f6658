package daemon_test

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net/http"
	"net/netip"
	"strings"
	"testing"
	"time"

	"github.com/samphireusher/samphireusher/service/usherhost"
)

// strongEvery makes each n-th host, from the first given one, five times as strong as the others.
func strongEvery(n, first int) func(i int, s *usherhost.Settings) {
	return func(i int, s *usherhost.Settings) {
		s.Capacity.Processors, s.Capacity.ProcessorShare, s.Capacity.LinkMbps = 1, 0.16, 10
		if i%n == first {
			s.Capacity.ProcessorShare, s.Capacity.LinkMbps = 0.8, 50
		}
	}
}

// addressesFor returns the addresses that a host names to the caller with an IP address.
func (b *testbed) addressesFor(h *host, ip netip.Addr) []string {
	b.t.Helper()
	client := &http.Client{Transport: &http.Transport{DialContext: b.network.Dialer(ip), DisableKeepAlives: true}}
	response, err := client.Get(fmt.Sprintf("http://%s:%d/resolve?name=%s&zone=kochi", h.ip, locatePort, hostName))
	if err != nil {
		b.t.Fatal(err)
	}
	defer func() { _ = response.Body.Close() }()
	var body struct{ Addresses []string }
	if err := json.NewDecoder(response.Body).Decode(&body); err != nil {
		b.t.Fatal(err)
	}
	return body.Addresses
}

// A quarter of the hosts have five times the capacity of the others. They get five times the connections of callers, who ask
// different hosts.
func TestConnectionsFollowCapacityOfHosts(t *testing.T) {
	withTestbed(t, options{hosts: 32, plainTargets: 2, editSettings: strongEvery(4, 1)}, func(t *testing.T, b *testbed) {
		time.Sleep(2 * time.Second)
		const callers = 400
		connections, random := map[string]int{}, rand.New(rand.NewPCG(1, 1))
		for i := range callers {
			named := b.addressesFor(b.hosts[i%len(b.hosts)], netip.AddrFrom4([4]byte{10, 99, byte(1 + i>>8), byte(i)}))
			if len(named) < 8 {
				t.Errorf("caller %d is told of %d hosts, want at least 8", i, len(named))
			}
			for range 4 {
				ip, _, _ := strings.Cut(named[random.IntN(len(named))], ":")
				connections[ip]++
			}
		}
		strong, weak := 0, 0
		for i := range b.hosts {
			if i%4 == 1 {
				strong += connections[hostIP(i)]
			} else {
				weak += connections[hostIP(i)]
			}
		}
		if ratio := float64(strong) / 8 / (float64(weak) / 24); ratio < 4 || ratio > 6.2 {
			t.Errorf("a strong host gets %.1f times the connections of a weak one, want about 5: %d of 8 hosts, %d of 24", ratio, strong, weak)
		}
	})
}

// The placer has more work than other hosts: it is the strongest of the first data centre. It loses power, and streams begin
// without delay, as placed by the next strongest.
func TestStrongestHostPlacesAndItsLossHandsOver(t *testing.T) {
	o := options{hosts: 12, engines: 4, editSettings: func(i int, s *usherhost.Settings) {
		s.Capacity.Processors, s.Capacity.ProcessorShare = 1, map[int]float64{6: 0.8, 9: 0.48}[i]
	}}
	withTestbed(t, o, func(t *testing.T, b *testbed) {
		time.Sleep(2 * time.Second)
		placedBy := func(want string) {
			t.Helper()
			before := b.logBuffer.count(`"by":"` + want + `"`)
			if got := b.post(b.hosts[1], "/appraisal/1"); got.status != 200 || got.elapsed > 200*time.Millisecond {
				t.Errorf("status %d after %s, error %v", got.status, got.elapsed, got.err)
			}
			if b.logBuffer.count(`"by":"`+want+`"`) == before {
				t.Errorf("the stream was not placed by %s", want)
			}
		}
		placedBy("host-6")
		for i := range b.hosts {
			if i != 6 {
				b.network.Block(mustAddr(b.hosts[i].ip), mustAddr(b.hosts[6].ip))
				b.network.Block(mustAddr(b.hosts[6].ip), mustAddr(b.hosts[i].ip))
			}
		}
		b.post(b.hosts[1], "/appraisal/1")
		placedBy("host-9")
		time.Sleep(6 * time.Second)
		placedBy("host-9")
		b.network.Heal()
		time.Sleep(3 * time.Second)
		placedBy("host-6")
	})
}

// All callers behind one address translation use one host. It says that it is under pressure, refuses nothing, and other hosts
// name it to few callers, until its requests have ended.
func TestHostWithTooManyRequestsIsNamedLess(t *testing.T) {
	withTestbed(t, options{hosts: 12, engines: 6}, func(t *testing.T, b *testbed) {
		time.Sleep(2 * time.Second)
		namedTo := func() int {
			named := 0
			for i := range 80 {
				for _, address := range b.addressesFor(b.hosts[i%11], netip.AddrFrom4([4]byte{10, 99, 1, byte(i)})) {
					if address == fmt.Sprint(b.hosts[11].ip, ":", callerPort) {
						named++
					}
				}
			}
			return named
		}
		if n := namedTo(); n != 80 {
			t.Errorf("the host is named to %d of 80 callers without pressure, want all", n)
		}
		learned := b.logBuffer.count(`"msg":"hosts learned"`)
		var results []<-chan result
		for range 24 {
			_, done := b.startStream(b.hosts[11], "/appraisal/300")
			results = append(results, done)
		}
		time.Sleep(3 * time.Second)
		if n := namedTo(); n < 2 || n > 25 {
			t.Errorf("the host is named to %d of 80 callers at level 3, want about 10", n)
		}
		for _, done := range results {
			if got := <-done; got.err != nil || got.status != http.StatusOK {
				t.Errorf("stream at a host under pressure: status %d, error %v", got.status, got.err)
			}
		}
		time.Sleep(10 * time.Second)
		if n := namedTo(); n != 80 {
			t.Errorf("the host is named to %d of 80 callers after its requests have ended, want all", n)
		}
		if n := b.logBuffer.count(`"msg":"hosts learned"`) - learned; n != 0 {
			t.Errorf("%d log lines say that hosts have changed, want none for a change of pressure", n)
		}
		if up := b.logBuffer.count("pressure on this host changed"); up < 2 || up > 8 {
			t.Errorf("%d log lines about pressure, want one for each level up and down", up)
		}
	})
}
