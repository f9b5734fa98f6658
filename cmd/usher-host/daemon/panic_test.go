package daemon_test

import (
	"context"
	"net"
	"net/http"
	"net/netip"
	"sync/atomic"
	"testing"
	"time"

	"github.com/samphireusher/samphireusher/pkg/ushercall"
	"github.com/samphireusher/samphireusher/pkg/ushercatalog"
	"github.com/samphireusher/samphireusher/platform/usherstandin"
	"github.com/samphireusher/samphireusher/service/usherhost"
)

type (
	// faultyStore, faultyEngines, faultyCodec and faultyNetwork panic while armed is set, as code would that has a fault and
	// takes input from outside.
	faultyStore struct {
		usherhost.Store
		armed *atomic.Bool
	}

	faultyEngines struct {
		usherhost.Engines
		armed *atomic.Bool
	}

	faultyCodec struct {
		usherhost.Codec
		armed *atomic.Bool
	}

	faultyNetwork struct {
		usherhost.Network
		armed *atomic.Bool
	}

	faultyPacketConn struct {
		net.PacketConn
		armed *atomic.Bool
	}
)

func panicIf(armed *atomic.Bool) {
	if armed.Load() {
		panic("fault in the code")
	}
}

func (s faultyStore) Watch(ctx context.Context, after uint64, wait time.Duration) ([]ushercatalog.Entry, uint64, []error, error) {
	panicIf(s.armed)
	return s.Store.Watch(ctx, after, wait)
}

func (e faultyEngines) Copy(ctx context.Context, source netip.AddrPort, attempt string, to netip.AddrPort) (ushercall.Copy, ushercall.Notice, error) {
	panicIf(e.armed)
	return e.Engines.Copy(ctx, source, attempt, to)
}

func (e faultyEngines) Stop(ctx context.Context, source netip.AddrPort, attempt string, to netip.AddrPort) (ushercall.StoppedRun, ushercall.Notice, error) {
	panicIf(e.armed)
	return e.Engines.Stop(ctx, source, attempt, to)
}

func (e faultyEngines) Leaving(ctx context.Context, at netip.AddrPort) (bool, ushercall.Notice, error) {
	panicIf(e.armed)
	return e.Engines.Leaving(ctx, at)
}

func (c faultyCodec) DecodeResponse(status int, h http.Header) ushercall.ResponseInfo {
	panicIf(c.armed)
	return c.Codec.DecodeResponse(status, h)
}

func (n faultyNetwork) ListenPacket(address netip.AddrPort) (net.PacketConn, error) {
	conn, err := n.Network.ListenPacket(address)
	return faultyPacketConn{conn, n.armed}, err
}

func (c faultyPacketConn) ReadFrom(b []byte) (int, net.Addr, error) {
	panicIf(c.armed)
	return c.PacketConn.ReadFrom(b)
}

func (c faultyPacketConn) WriteTo(b []byte, to net.Addr) (int, error) {
	panicIf(c.armed)
	return c.PacketConn.WriteTo(b, to)
}

// A panic outside the HTTP handlers ended the process, and with the same belief or message all hosts. Each goroutine that takes
// input from outside panics here for a while; the hosts must live on and do their duties again afterwards.
func TestPanicEndsNoHost(t *testing.T) {
	for _, c := range []struct {
		name string
		edit func(p *usherhost.Platform, armed *atomic.Bool)
		// provoke makes the goroutine use the faulty code.
		provoke func(b *testbed)
	}{
		{"reading the store", func(p *usherhost.Platform, armed *atomic.Bool) { p.Store = faultyStore{p.Store, armed} }, func(*testbed) {}},
		{"datagrams of peers", func(p *usherhost.Platform, armed *atomic.Bool) { p.Network = faultyNetwork{p.Network, armed} }, func(*testbed) {}},
		{"response to a call", func(p *usherhost.Platform, armed *atomic.Bool) { p.Codec = faultyCodec{p.Codec, armed} }, func(b *testbed) {
			if got := b.post(b.hosts[0], "/allotment/x"); got.status != http.StatusBadGateway {
				b.t.Errorf("status %d, error %v; want 502, as the call may have run", got.status, got.err)
			}
		}},
		{"copy", func(p *usherhost.Platform, armed *atomic.Bool) { p.Engines = faultyEngines{p.Engines, armed} }, func(b *testbed) {
			attempt, _ := b.startStream(b.hosts[0], "/appraisal/100")
			time.Sleep(500 * time.Millisecond)
			b.publish(b.currentEngine(attempt), "draining")
		}},
		{"order to end a run", func(p *usherhost.Platform, armed *atomic.Bool) { p.Engines = faultyEngines{p.Engines, armed} }, func(b *testbed) {
			b.startStream(b.hosts[0], "/appraisal/200")
			time.Sleep(500 * time.Millisecond)
			b.silence(b.hosts[0], 0)
			time.Sleep(4 * time.Second)
		}},
		{"poll of a target", func(p *usherhost.Platform, armed *atomic.Bool) { p.Engines = faultyEngines{p.Engines, armed} }, func(b *testbed) {
			b.startStream(b.hosts[0], "/appraisal/200")
			b.store.SetMode("", usherstandin.Unresponsive)
			time.Sleep(4 * time.Second)
			b.store.SetMode("", usherstandin.Serving)
		}},
	} {
		t.Run(c.name, func(t *testing.T) {
			armed := new(atomic.Bool)
			o := options{hosts: 3, engines: 4, plainTargets: 3, wantPanics: true, editDeclarations: withoutBackupCopiesIf(c.name == "copy"), editPlatform: func(p *usherhost.Platform) { c.edit(p, armed) }}
			withTestbed(t, o, func(t *testing.T, b *testbed) {
				armed.Store(true)
				c.provoke(b)
				time.Sleep(3 * time.Second)
				armed.Store(false)
				if b.logBuffer.count(`"panic contained"`) == 0 {
					t.Error("nothing panicked, so the test shows nothing")
				}
				time.Sleep(3 * time.Second)
				b.declare(7, func(d map[string]any) {
					d["routes"].([]any)[3].(map[string]any)["prefix"] = "/moved/"
				})
				time.Sleep(2 * time.Second)
				for _, h := range b.hosts {
					if got := b.get(h, "/moved/x"); got.status != http.StatusOK {
						t.Errorf("%s: status %d, error %v", h.name, got.status, got.err)
					}
				}
			})
		})
	}
}

func withoutBackupCopiesIf(without bool) func(d map[string]any) {
	if without {
		return withoutBackupCopies
	}
	return nil
}
