package daemon_test

import (
	"fmt"
	"math"
	"math/rand/v2"
	"net"
	"net/http"
	"net/netip"
	"strings"
	"testing"
	"time"

	"github.com/fxamacker/cbor/v2"

	"github.com/samphireusher/samphireusher/pkg/ushercatalog"
	"github.com/samphireusher/samphireusher/pkg/ushercluster"
	"github.com/samphireusher/samphireusher/pkg/usherroute"
)

const (
	strangeDatagrams = 3000
	strangeSeed      = 1
)

// fullDatagram returns a datagram with every field that peers send, as plain maps and lists.
func fullDatagram(t *testing.T, host int) map[any]any {
	t.Helper()
	fingerprint := [16]byte{1, 2, 3}
	member := ushercluster.Member{Name: "stranger", DataCentre: "kochi", Address: netip.MustParseAddrPort("10.1.0.77:7200"), CallerAddress: netip.MustParseAddrPort("10.1.0.77:8740"), Incarnation: 5, State: ushercluster.Serving}
	load := map[string]any{"engine-0": map[string]any{"Streams": 2, "Tokens": 4000}}
	data, err := cbor.Marshal(map[int]any{
		1: 1,
		2: ushercluster.Report{From: member, Peers: []ushercluster.PeerInfo{{Member: member, Age: time.Second}}, Digest: []byte{1, 2, 3, 4, 5, 6}, UnknownIDs: []uint32{1, 2}},
		3: 1 << 20, 4: int64(time.Second), 5: false, 6: "host-0", 7: int64(time.Second), 8: load, 9: load, 10: load, 11: 1,
		12: []ushercatalog.Entry{
			{Key: ushercatalog.Key{Kind: ushercatalog.TargetEntry, Name: "x"}, Revision: 9, Target: &ushercatalog.Target{ID: "x", Service: plainService, Address: netip.MustParseAddrPort("10.128.9.9:1"), Slots: 3}},
			{Key: ushercatalog.Key{Kind: ushercatalog.Declaration}, Revision: 9, Declarations: &ushercatalog.Declarations{Version: 1, Routes: []usherroute.Route{{Host: hostName, Prefix: "/odd/"}}}},
		},
		13: true, 17: int64(time.Second),
		16: []any{map[int]any{1: "engine-0", 2: 1, 3: int64(time.Second)}},
		19: []any{map[int]any{1: "engine-0", 2: 1, 3: netip.MustParseAddrPort("10.128.9.9:1"), 4: int64(time.Second)}},
		40: map[int]any{1: 7, 2: []any{map[int]any{1: "engine-0", 2: 1, 3: netip.MustParseAddrPort("10.128.9.9:1"), 4: 0.5}}},
		41: map[int]any{1: 1, 2: 1, 3: []any{map[int]any{1: "engine-0", 2: 1, 3: netip.MustParseAddrPort("10.128.9.9:1"), 4: int64(time.Second), 5: "host-0"}}},
		18: map[int]any{
			1: []any{map[int]any{1: fingerprint, 2: "engine-0", 3: 1, 4: int64(time.Second), 5: false, 6: []any{fingerprint}}},
			2: []any{map[int]any{1: fingerprint, 2: int64(time.Second)}}, 3: []any{map[int]any{1: fingerprint, 2: int64(time.Second)}},
		},
	})
	if err != nil {
		t.Fatal(err)
	}
	var out map[any]any
	if err := cbor.Unmarshal(data, &out); err != nil {
		t.Fatal(err)
	}
	switch host % 3 {
	case 1:
		out[uint64(14)] = map[any]any{uint64(1): uint64(7), uint64(2): map[any]any{uint64(1): engineService, uint64(2): 3000, uint64(3): 900, uint64(6): []any{"engine-0"}, uint64(7): int64(time.Second)}}
		if host%2 == 0 {
			out[uint64(14)].(map[any]any)[uint64(2)].(map[any]any)[uint64(15)] = map[any]any{
				uint64(1): fmt.Sprint("attempt-", host), uint64(2): 1, uint64(3): int64(time.Minute), uint64(4): int64(time.Second), uint64(5): uint64(7), uint64(6): host%5 == 0,
			}
		}
	case 2:
		out[uint64(15)] = map[any]any{uint64(1): uint64(1), uint64(2): "engine-0", uint64(3): int64(1), uint64(5): int64(1), uint64(7): 1, uint64(8): int64(1), uint64(9): int64(1)}
	}
	return out
}

// mutate replaces one value somewhere in v.
func mutate(random *rand.Rand, v any) any {
	strange := []any{nil, -1, 0, math.MaxInt64, math.MinInt64, uint64(math.MaxUint64), math.NaN(), math.Inf(1), "", strings.Repeat("x", 70_000), []byte{}, []any{}, map[any]any{}, true, []byte{255}}
	switch v := v.(type) {
	case map[any]any:
		if len(v) == 0 || random.IntN(8) == 0 {
			return strange[random.IntN(len(strange))]
		}
		keys := make([]any, 0, len(v))
		for key := range v {
			keys = append(keys, key)
		}
		key := keys[random.IntN(len(keys))]
		v[key] = mutate(random, v[key])
		return v
	case []any:
		if len(v) == 0 || random.IntN(8) == 0 {
			return strange[random.IntN(len(strange))]
		}
		i := random.IntN(len(v))
		v[i] = mutate(random, v[i])
		return v
	default:
		return strange[random.IntN(len(strange))]
	}
}

// Datagrams of any content come from a peer: with values beyond their types, missing or repeated parts, or cut off. None may end a
// host or make it panic, and calls are still served.
func TestDatagramsOfAnyContentDoNoHarm(t *testing.T) {
	withTestbed(t, options{hosts: 3, engines: 2, plainTargets: 2, editDeclarations: contended}, func(t *testing.T, b *testbed) {
		random := rand.New(rand.NewPCG(strangeSeed, 0))
		conn, err := b.network.ListenPacket(netip.MustParseAddrPort("10.1.0.77:7200"))
		if err != nil {
			t.Fatal(err)
		}
		defer func() { _ = conn.Close() }()
		for i := range strangeDatagrams {
			var v any = fullDatagram(t, i)
			for range random.IntN(4) {
				v = mutate(random, v)
			}
			data, err := cbor.Marshal(v)
			if err != nil {
				t.Fatal(err)
			}
			if random.IntN(10) == 0 {
				data = data[:random.IntN(len(data)+1)]
			}
			for _, h := range b.hosts {
				to := net.UDPAddrFromAddrPort(netip.AddrPortFrom(netip.MustParseAddr(h.ip), peerPort))
				if _, err := conn.WriteTo(data, to); err != nil {
					t.Fatal(err)
				}
			}
			time.Sleep(2 * time.Millisecond)
		}
		time.Sleep(3 * time.Second)
		for _, h := range b.hosts {
			select {
			case err := <-h.done:
				t.Errorf("%s has ended: %v", h.name, err)
				h.done <- err
			default:
			}
			if got := b.get(h, "/status/x"); got.err != nil || got.status >= http.StatusInternalServerError && got.status != http.StatusServiceUnavailable {
				t.Errorf("%s: status %d, error %v", h.name, got.status, got.err)
			}
		}
	})
}
