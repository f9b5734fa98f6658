package usherkey

import (
	"crypto/tls"
	"sync/atomic"
)

// Certificate is the certificate that a server presents to callers, which need no certificate themselves. It can be
// reloaded while connections stay open.
type Certificate struct {
	certificate string
	key         string
	current     atomic.Pointer[tls.Certificate]
}

// LoadCertificate reads a certificate and its private key from PEM files.
func LoadCertificate(certificate, key string) (*Certificate, error) {
	c := &Certificate{certificate: certificate, key: key}
	return c, c.Reload()
}

// Reload reads the files again. If that fails, the current certificate is kept.
func (c *Certificate) Reload() error {
	loaded, err := tls.LoadX509KeyPair(c.certificate, c.key)
	if err != nil {
		return ErrFile.Wrap(err, "load certificate %s with key %s", c.certificate, c.key)
	}
	c.current.Store(&loaded)
	return nil
}

// TLS returns a server configuration that presents the current certificate in each handshake.
func (c *Certificate) TLS() *tls.Config {
	return &tls.Config{
		MinVersion: tls.VersionTLS13,
		NextProtos: []string{"http/1.1"},
		GetCertificate: func(*tls.ClientHelloInfo) (*tls.Certificate, error) {
			return c.current.Load(), nil
		},
	}
}
