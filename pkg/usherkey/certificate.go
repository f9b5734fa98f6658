package usherkey

import (
	"crypto/tls"
	"sync/atomic"
)

// Certificate is the certificate that a server shows to callers, who need none of their own. It can be loaded anew
// while connections stay open.
type Certificate struct {
	certificate string
	key         string
	current     atomic.Pointer[tls.Certificate]
}

// LoadCertificate reads the files of a certificate and its key, in PEM.
func LoadCertificate(certificate, key string) (*Certificate, error) {
	c := &Certificate{certificate: certificate, key: key}
	return c, c.Reload()
}

// Reload reads the files again. On an error the certificate in force stays.
func (c *Certificate) Reload() error {
	loaded, err := tls.LoadX509KeyPair(c.certificate, c.key)
	if err != nil {
		return ErrFile.Wrap(err, "certificate %s with key %s", c.certificate, c.key)
	}
	c.current.Store(&loaded)
	return nil
}

// TLS returns settings that show the certificate in force at each handshake.
func (c *Certificate) TLS() *tls.Config {
	return &tls.Config{
		MinVersion: tls.VersionTLS13,
		NextProtos: []string{"http/1.1"},
		GetCertificate: func(*tls.ClientHelloInfo) (*tls.Certificate, error) {
			return c.current.Load(), nil
		},
	}
}
