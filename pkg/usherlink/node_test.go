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

// newRing writes the keys of a process that signer vouches for and that trusts the given authorities.
func newRing(t *testing.T, dir, name string, signer usherkey.KeyPair, trusted ...usherkey.KeyPair) *usherkey.Credentials {
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
	ring, err := usherkey.Load(files)
	if err != nil {
		t.Fatal(err)
	}
	return ring
}

func listen(t *testing.T, ring *usherkey.Credentials) *usherlink.Node {
	t.Helper()
	node, err := usherlink.Listen("127.0.0.1:0", ring, echo, slog.New(slog.DiscardHandler))
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

func TestCallNamesTheCaller(t *testing.T) {
	dir, authority := t.TempDir(), newAuthority(t)
	a := listen(t, newRing(t, dir, "gateway_1", authority, authority))
	b := listen(t, newRing(t, dir, "scheduler_1", authority, authority))
	got, err := call(t, a, b, "hello")
	if err != nil {
		t.Fatal(err)
	}
	if want := "gateway_1:echo:hello"; got != want {
		t.Fatalf("answer %q, want %q", got, want)
	}
}

func TestForeignProcessIsRefused(t *testing.T) {
	dir, authority, foreign := t.TempDir(), newAuthority(t), newAuthority(t)
	stranger := listen(t, newRing(t, dir, "stranger", foreign, authority, foreign))
	member := listen(t, newRing(t, dir, "scheduler_1", authority, authority))
	if got, err := call(t, stranger, member, "hello"); err == nil {
		t.Fatalf("a process with a foreign certificate was answered %q", got)
	}
	if got, err := call(t, member, stranger, "hello"); !errorx.IsOfType(err, usherlink.ErrUnreachable) {
		t.Fatalf("a member spoke to a foreign process: %q, %v", got, err)
	}
}

func TestOversizeMessageLosesNoOther(t *testing.T) {
	dir, authority := t.TempDir(), newAuthority(t)
	a := listen(t, newRing(t, dir, "gateway_1", authority, authority))
	b := listen(t, newRing(t, dir, "scheduler_1", authority, authority))
	if _, err := call(t, a, b, strings.Repeat("x", usherlink.MaxMessageBytes)); !errorx.IsOfType(err, usherlink.ErrTooLarge) {
		t.Fatalf("error %v, want too_large", err)
	}
	if _, err := call(t, a, b, "hello"); err != nil {
		t.Fatalf("the message after it: %v", err)
	}
}

// TestAuthorityRotatesWithoutAStop replaces authority and certificates in the three steps of the operators' page.
func TestAuthorityRotatesWithoutAStop(t *testing.T) {
	dir, before, after := t.TempDir(), newAuthority(t), newAuthority(t)
	ringA := newRing(t, dir, "gateway_1", before, before)
	ringB := newRing(t, dir, "scheduler_1", before, before)
	a, b := listen(t, ringA), listen(t, ringB)
	steps := []struct {
		name    string
		signer  usherkey.KeyPair
		trusted []usherkey.KeyPair
	}{
		{"trust both", before, []usherkey.KeyPair{before, after}},
		{"replace certificates", after, []usherkey.KeyPair{before, after}},
		{"drop the old authority", after, []usherkey.KeyPair{after}},
	}
	for _, step := range steps {
		for name, ring := range map[string]*usherkey.Credentials{"gateway_1": ringA, "scheduler_1": ringB} {
			newRing(t, dir, name, step.signer, step.trusted...)
			if err := ring.Reload(); err != nil {
				t.Fatal(err)
			}
			if _, err := call(t, a, b, "old connection"); err != nil {
				t.Fatalf("%s, %s reloaded: %v", step.name, name, err)
			}
			fresh := listen(t, ring)
			if _, err := call(t, fresh, b, "new connection"); err != nil {
				t.Fatalf("%s, new connection from %s: %v", step.name, name, err)
			}
		}
	}
}

func TestPostReachesAConnectedPeer(t *testing.T) {
	dir, authority := t.TempDir(), newAuthority(t)
	got := make(chan string, 8)
	handler := usherlink.HandlerFunc(func(_ context.Context, from usherlink.Peer, _ string, body usherlink.Payload) (any, error) {
		got <- from.Name
		return nil, nil
	})
	a := listen(t, newRing(t, dir, "gateway_1", authority, authority))
	b, err := usherlink.Listen("127.0.0.1:0", newRing(t, dir, "scheduler_1", authority, authority), handler, slog.New(slog.DiscardHandler))
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

// TestRestartedPeerIsFoundByItsOwnConnection has a peer end without a word and come back at the same address: what it
// sends first opens the way back to it.
func TestRestartedPeerIsFoundByItsOwnConnection(t *testing.T) {
	dir, authority := t.TempDir(), newAuthority(t)
	a := listen(t, newRing(t, dir, "gateway_1", authority, authority))
	ring := newRing(t, dir, "scheduler_1", authority, authority)
	socket, err := net.ListenPacket("udp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	mute := &mutable{PacketConn: socket}
	b, err := usherlink.Open(mute, ring, echo, slog.New(slog.DiscardHandler))
	if err != nil {
		t.Fatal(err)
	}
	if _, err := call(t, a, b, "before"); err != nil {
		t.Fatal(err)
	}
	address := b.Address()
	mute.silent.Store(true)
	_ = b.Close()
	restarted, err := usherlink.Listen(address, ring, echo, slog.New(slog.DiscardHandler))
	if err != nil {
		t.Fatal(err)
	}
	defer restarted.Close()
	if _, err := call(t, restarted, a, "I am back"); err != nil {
		t.Fatal(err)
	}
	if _, err := call(t, a, restarted, "after"); err != nil {
		t.Fatalf("the way back: %v", err)
	}
}

// mutable is a socket whose packets can be lost from one moment on.
type mutable struct {
	net.PacketConn
	silent atomic.Bool
}

func (m *mutable) WriteTo(data []byte, to net.Addr) (int, error) {
	if m.silent.Load() {
		return len(data), nil
	}
	return m.PacketConn.WriteTo(data, to)
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

// A process listens before all its parts have added their kinds, and peers that knew it before send at once.
func TestMuxTakesKindsWhileMessagesCome(t *testing.T) {
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

// A process that closes its link tells its peers, so that they reach the next process at its address at once.
func TestPeersLearnOfTheEndOfALink(t *testing.T) {
	authority := newAuthority(t)
	dir := t.TempDir()
	first := listen(t, newRing(t, dir, "first", authority, authority))
	second := listen(t, newRing(t, dir, "second", authority, authority))
	if _, err := call(t, first, second, "before"); err != nil {
		t.Fatal(err)
	}
	address := second.Address()
	if err := second.Close(); err != nil {
		t.Fatal(err)
	}
	next, err := usherlink.Listen(address, newRing(t, dir, "next", authority, authority), echo, slog.New(slog.DiscardHandler))
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = next.Close() })
	time.Sleep(100 * time.Millisecond)
	if answer, err := call(t, first, next, "after"); err != nil {
		t.Errorf("%q, %v", answer, err)
	}
}
