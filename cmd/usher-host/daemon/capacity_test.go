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
