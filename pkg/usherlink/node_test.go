package usherlink_test

import (
	"context"
	"log/slog"
	"net"
	"os"
	"path/filepath"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/joomcode/errorx"

	"github.com/samphireusher/samphireusher/pkg/usherkey"
	"github.com/samphireusher/samphireusher/pkg/usherlink"
)

type text struct {
	Text string `cbor:"t"`
}

var echo = usherlink.HandlerFunc(func(_ context.Context, from usherlink.Peer, kind string, body usherlink.Payload) (any, error) {
	var in text
	if err := body.Decode(&in); err != nil {
		return nil, err
	}
	return text{Text: from.Name + ":" + kind + ":" + in.Text}, nil
})

func newAuthority(t *testing.T) usherkey.KeyPair {
	t.Helper()
	authority, err := usherkey.NewAuthority(time.Now(), time.Hour)
	if err != nil {
		t.Fatal(err)
	}
	return authority
}

// newCredentials writes and loads the credentials of a process: a certificate signed by signer, and the trusted
// authorities.
func newCredentials(t *testing.T, dir, name string, signer usherkey.KeyPair, trusted ...usherkey.KeyPair) *usherkey.Credentials {
	t.Helper()
	pair, err := signer.Issue(name, time.Now(), time.Hour)
	if err != nil {
		t.Fatal(err)
	}
	files := usherkey.Files{
		Certificate: filepath.Join(dir, name+".pem"),
		Key:         filepath.Join(dir, name+".key"),
		Authorities: filepath.Join(dir, name+"-fleet.pem"),
	}
	pool := []byte{}
	for _, a := range trusted {
		pool = append(pool, a.Certificate...)
	}
	for path, data := range map[string][]byte{files.Certificate: pair.Certificate, files.Key: pair.Key, files.Authorities: pool} {
		if err := os.WriteFile(path, data, 0o600); err != nil {
			t.Fatal(err)
		}
	}
	creds, err := usherkey.Load(files)
	if err != nil {
		t.Fatal(err)
	}
	return creds
}

func listen(t *testing.T, creds *usherkey.Credentials) *usherlink.Node {
	t.Helper()
	node, err := usherlink.Listen("127.0.0.1:0", creds, echo, slog.New(slog.DiscardHandler))
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = node.Close() })
	return node
}

func call(t *testing.T, from, to *usherlink.Node, in string) (string, error) {
	t.Helper()
	ctx, cancel := context.WithTimeout(t.Context(), 5*time.Second)
	defer cancel()
	var out text
	err := from.Call(ctx, to.Address(), "echo", text{Text: in}, &out)
	return out.Text, err
}

func TestCallIdentifiesCaller(t *testing.T) {
	dir, authority := t.TempDir(), newAuthority(t)
	a := listen(t, newCredentials(t, dir, "gateway_1", authority, authority))
	b := listen(t, newCredentials(t, dir, "scheduler_1", authority, authority))
	got, err := call(t, a, b, "hello")
	if err != nil {
		t.Fatal(err)
	}
	if want := "gateway_1:echo:hello"; got != want {
		t.Fatalf("response %q, want %q", got, want)
	}
}

func TestUntrustedProcessIsRejected(t *testing.T) {
	dir, authority, foreignCA := t.TempDir(), newAuthority(t), newAuthority(t)
	untrusted := listen(t, newCredentials(t, dir, "untrusted", foreignCA, authority, foreignCA))
	member := listen(t, newCredentials(t, dir, "scheduler_1", authority, authority))
	if got, err := call(t, untrusted, member, "hello"); err == nil {
		t.Fatalf("a process with an untrusted certificate got response %q", got)
	}
	if got, err := call(t, member, untrusted, "hello"); !errorx.IsOfType(err, usherlink.ErrUnreachable) {
		t.Fatalf("call to a process with an untrusted certificate: response %q, error %v, want unreachable", got, err)
	}
}

func TestOversizeMessageKeepsConnection(t *testing.T) {
	dir, authority := t.TempDir(), newAuthority(t)
	a := listen(t, newCredentials(t, dir, "gateway_1", authority, authority))
	b := listen(t, newCredentials(t, dir, "scheduler_1", authority, authority))
	if _, err := call(t, a, b, strings.Repeat("x", usherlink.MaxMessageBytes)); !errorx.IsOfType(err, usherlink.ErrTooLarge) {
		t.Fatalf("error %v, want too_large", err)
	}
	if _, err := call(t, a, b, "hello"); err != nil {
		t.Fatalf("call after the oversize message: %v", err)
	}
}

// TestAuthorityRotationWithoutDowntime rotates the authority and the certificates in the three steps that operators
// follow, and checks old and new connections after each reload.
func TestAuthorityRotationWithoutDowntime(t *testing.T) {
	dir, oldCA, newCA := t.TempDir(), newAuthority(t), newAuthority(t)
	credsA := newCredentials(t, dir, "gateway_1", oldCA, oldCA)
	credsB := newCredentials(t, dir, "scheduler_1", oldCA, oldCA)
	a, b := listen(t, credsA), listen(t, credsB)
	steps := []struct {
		name    string
		signer  usherkey.KeyPair
		trusted []usherkey.KeyPair
	}{
		{"trust both", oldCA, []usherkey.KeyPair{oldCA, newCA}},
		{"replace certificates", newCA, []usherkey.KeyPair{oldCA, newCA}},
		{"drop the old authority", newCA, []usherkey.KeyPair{newCA}},
	}
	for _, step := range steps {
		for name, creds := range map[string]*usherkey.Credentials{"gateway_1": credsA, "scheduler_1": credsB} {
			newCredentials(t, dir, name, step.signer, step.trusted...)
			if err := creds.Reload(); err != nil {
				t.Fatal(err)
			}
			if _, err := call(t, a, b, "old connection"); err != nil {
				t.Fatalf("%s, %s reloaded: %v", step.name, name, err)
			}
			fresh := listen(t, creds)
			if _, err := call(t, fresh, b, "new connection"); err != nil {
				t.Fatalf("%s, new connection from %s: %v", step.name, name, err)
			}
		}
	}
}

func TestDatagramReachesConnectedPeer(t *testing.T) {
	dir, authority := t.TempDir(), newAuthority(t)
	got := make(chan string, 8)
	handler := usherlink.HandlerFunc(func(_ context.Context, from usherlink.Peer, _ string, body usherlink.Payload) (any, error) {
		got <- from.Name
		return nil, nil
	})
	a := listen(t, newCredentials(t, dir, "gateway_1", authority, authority))
	b, err := usherlink.Listen("127.0.0.1:0", newCredentials(t, dir, "scheduler_1", authority, authority), handler, slog.New(slog.DiscardHandler))
	if err != nil {
		t.Fatal(err)
	}
	defer b.Close()
	deadline := time.After(10 * time.Second)
	for {
		_ = a.SendDatagram(b.Address(), "heartbeat", text{})
		select {
		case name := <-got:
			if name != "gateway_1" {
				t.Fatalf("datagram from %q", name)
			}
			return
		case <-time.After(10 * time.Millisecond):
		case <-deadline:
			t.Fatal("no datagram arrived")
		}
	}
}

// TestRestartedPeerReachableOverItsConnection restarts a peer at the same address without the old process closing its
// connections. Calls to it must use the connection that the restarted peer opened, not the dead one.
func TestRestartedPeerReachableOverItsConnection(t *testing.T) {
	dir, authority := t.TempDir(), newAuthority(t)
	a := listen(t, newCredentials(t, dir, "gateway_1", authority, authority))
	creds := newCredentials(t, dir, "scheduler_1", authority, authority)
	socket, err := net.ListenPacket("udp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	lossy := &lossyConn{PacketConn: socket}
	b, err := usherlink.Open(lossy, creds, echo, slog.New(slog.DiscardHandler))
	if err != nil {
		t.Fatal(err)
	}
	if _, err := call(t, a, b, "before"); err != nil {
		t.Fatal(err)
	}
	address := b.Address()
	lossy.drop.Store(true)
	_ = b.Close()
	restarted, err := usherlink.Listen(address, creds, echo, slog.New(slog.DiscardHandler))
	if err != nil {
		t.Fatal(err)
	}
	defer restarted.Close()
	if _, err := call(t, restarted, a, "after restart"); err != nil {
		t.Fatal(err)
	}
	if _, err := call(t, a, restarted, "after"); err != nil {
		t.Fatalf("call to the restarted peer: %v", err)
	}
}

// lossyConn is a socket that silently drops outgoing packets once drop is set.
type lossyConn struct {
	net.PacketConn
	drop atomic.Bool
}

func (c *lossyConn) WriteTo(data []byte, to net.Addr) (int, error) {
	if c.drop.Load() {
		return len(data), nil
	}
	return c.PacketConn.WriteTo(data, to)
}

func FuzzDecodeEnvelope(f *testing.F) {
	good, err := usherlink.Encode([]any{usherlink.Version, "echo", text{Text: "x"}, ""})
	if err != nil {
		f.Fatal(err)
	}
	for _, seed := range [][]byte{good, {}, {0xff}, {0x84, 0x02}, good[:len(good)/2]} {
		f.Add(seed)
	}
	f.Fuzz(func(t *testing.T, data []byte) {
		kind, body, err := usherlink.DecodeEnvelope(data)
		if err == nil && len(kind)+len(body) > len(data) {
			t.Fatalf("decoded %d bytes from %d", len(kind)+len(body), len(data))
		}
	})
}

// A process listens before all its components have registered their handlers, and peers that already know its address
// send at once.
func TestMuxHandleDuringServe(t *testing.T) {
	const messages = 1000
	mux := &usherlink.Mux{}
	done := make(chan struct{})
	go func() {
		defer close(done)
		for range messages {
			_, _ = mux.ServeMessage(t.Context(), usherlink.Peer{}, "late", usherlink.Payload{})
		}
	}()
	for i := range messages {
		mux.Handle(strings.Repeat("k", 1+i%9), nil)
	}
	mux.Handle("late", func(context.Context, usherlink.Peer, usherlink.Payload) (any, error) { return nil, nil })
	<-done
	if _, err := mux.ServeMessage(t.Context(), usherlink.Peer{}, "late", usherlink.Payload{}); err != nil {
		t.Error(err)
	}
}

// A process that closes its node notifies its peers, so that they can call a new process at the same address at once
// instead of waiting for the idle timeout.
func TestCloseNotifiesPeers(t *testing.T) {
	authority := newAuthority(t)
	dir := t.TempDir()
	first := listen(t, newCredentials(t, dir, "first", authority, authority))
	second := listen(t, newCredentials(t, dir, "second", authority, authority))
	if _, err := call(t, first, second, "before"); err != nil {
		t.Fatal(err)
	}
	address := second.Address()
	if err := second.Close(); err != nil {
		t.Fatal(err)
	}
	next, err := usherlink.Listen(address, newCredentials(t, dir, "next", authority, authority), echo, slog.New(slog.DiscardHandler))
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = next.Close() })
	time.Sleep(100 * time.Millisecond)
	if got, err := call(t, first, next, "after"); err != nil {
		t.Errorf("call to the new process: response %q, error %v", got, err)
	}
}
