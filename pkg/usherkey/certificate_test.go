package usherkey_test

import (
	"crypto/tls"
	"crypto/x509"
	"os"
	"path/filepath"
	"testing"
	"time"

	"github.com/samphireusher/samphireusher/pkg/usherkey"
)

func write(t *testing.T, path string, data []byte) {
	t.Helper()
	if err := os.WriteFile(path, data, 0o600); err != nil {
		t.Fatal(err)
	}
}

// handshake performs a TLS handshake between a caller that trusts pool and a server that presents c. It uses a socket
// because net.Pipe is unbuffered: there, an alert from the rejecting side would block while the other side is writing.
func handshake(t *testing.T, c *usherkey.Certificate, pool *x509.CertPool) error {
	t.Helper()
	listener, err := tls.Listen("tcp", "127.0.0.1:0", c.TLS())
	if err != nil {
		t.Fatal(err)
	}
	defer listener.Close()
	go func() {
		if conn, err := listener.Accept(); err == nil {
			_ = conn.(*tls.Conn).Handshake()
			_ = conn.Close()
		}
	}()
	conn, err := tls.Dial("tcp", listener.Addr().String(), &tls.Config{MinVersion: tls.VersionTLS13, RootCAs: pool, ServerName: usherkey.FleetName})
	if err != nil {
		return err
	}
	return conn.Close()
}

// TestCertificateReload checks that a reload replaces the certificate presented to callers, and that a failed reload keeps
// the current one.
func TestCertificateReload(t *testing.T) {
	dir := t.TempDir()
	certificate, key := filepath.Join(dir, "callers.pem"), filepath.Join(dir, "callers.key")
	pools := []*x509.CertPool{}
	var loaded *usherkey.Certificate
	for round := range 2 {
		authority, err := usherkey.NewAuthority(time.Now(), time.Hour)
		if err != nil {
			t.Fatal(err)
		}
		pair, err := authority.Issue("gateway", time.Now(), time.Hour)
		if err != nil {
			t.Fatal(err)
		}
		write(t, certificate, pair.Certificate)
		write(t, key, pair.Key)
		write(t, filepath.Join(dir, "authority.pem"), authority.Certificate)
		pool, err := usherkey.LoadAuthorities(filepath.Join(dir, "authority.pem"))
		if err != nil {
			t.Fatal(err)
		}
		pools = append(pools, pool)
		if round == 0 {
			loaded, err = usherkey.LoadCertificate(certificate, key)
		} else {
			err = loaded.Reload()
		}
		if err != nil {
			t.Fatal(err)
		}
		if err := handshake(t, loaded, pool); err != nil {
			t.Fatalf("round %d: %v", round, err)
		}
	}
	if err := handshake(t, loaded, pools[0]); err == nil {
		t.Fatal("a caller that trusts only the old authority accepted the connection")
	}
	write(t, certificate, []byte("damaged"))
	if err := loaded.Reload(); err == nil {
		t.Fatal("an invalid file was loaded")
	}
	if err := handshake(t, loaded, pools[1]); err != nil {
		t.Fatalf("handshake after a failed reload: %v", err)
	}
}
