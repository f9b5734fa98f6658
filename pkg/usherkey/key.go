// Package usherkey loads and makes the keys by which the fleet's processes know each other.
//
// Each process has a certificate whose common name is the process's name and whose only subject alternative name is
// FleetName; the fleet's authority signs it. A Ring holds the current certificate and the authorities that are
// trusted, and can be loaded anew while connections stay open: to rotate the authority, first trust the new one
// beside the old one everywhere, then replace the certificates, then drop the old one.
//
// # Usage
//
//	ring, err := usherkey.Load(usherkey.Files{Certificate: "gateway.pem", Key: "gateway.key", Authorities: "fleet.pem"})
//	if err != nil {
//		return err
//	}
//	err = ring.Reload() // after the files were replaced
package usherkey

import (
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/tls"
	"crypto/x509"
	"crypto/x509/pkix"
	"encoding/pem"
	"math/big"
	"os"
	"sync/atomic"
	"time"

	"github.com/joomcode/errorx"
)

const (
	// FleetName is the subject alternative name of every process of the fleet.
	FleetName = "fleet.samphireusher.internal"

	serialBits = 120
)

var (
	// Errors is the namespace of this package's errors.
	Errors = errorx.NewNamespace("usher_key")
	// ErrFile says that a key file cannot be read or holds something else.
	ErrFile = Errors.NewType("file")
	// ErrIssue says that a certificate could not be made.
	ErrIssue = Errors.NewType("issue")
)

type (
	// Files names the key files of a process, all in PEM. Authorities may hold several certificates.
	Files struct {
		Certificate string
		Key         string
		Authorities string
	}

	// Credentials holds a process's keys.
	Credentials struct {
		files   Files
		current atomic.Pointer[keys]
	}

	// KeyPair is a certificate and its private key in PEM.
	KeyPair struct {
		Certificate []byte
		Key         []byte
	}

	keys struct {
		certificate tls.Certificate
		authorities *x509.CertPool
	}
)

// Load reads the files; an error names the file that is wrong.
func Load(files Files) (*Credentials, error) {
	r := &Credentials{files: files}
	if err := r.Reload(); err != nil {
		return nil, err
	}
	return r, nil
}

// Reload reads the files again. On an error the keys in force stay.
func (r *Credentials) Reload() error {
	certificate, err := tls.LoadX509KeyPair(r.files.Certificate, r.files.Key)
	if err != nil {
		return ErrFile.Wrap(err, "certificate %s with key %s", r.files.Certificate, r.files.Key)
	}
	pool, err := LoadAuthorities(r.files.Authorities)
	if err != nil {
		return err
	}
	r.current.Store(&keys{certificate: certificate, authorities: pool})
	return nil
}

// Name returns the name of the process that the certificate gives.
func (r *Credentials) Name() string {
	leaf := r.current.Load().certificate.Leaf
	return leaf.Subject.CommonName
}

// ServerTLS returns settings that demand a certificate of the fleet. Each handshake uses the keys in force then.
func (r *Credentials) ServerTLS() *tls.Config {
	return &tls.Config{
		MinVersion: tls.VersionTLS13,
		GetConfigForClient: func(hello *tls.ClientHelloInfo) (*tls.Config, error) {
			k := r.current.Load()
			return &tls.Config{
				MinVersion:   tls.VersionTLS13,
				Certificates: []tls.Certificate{k.certificate},
				ClientAuth:   tls.RequireAndVerifyClientCert,
				ClientCAs:    k.authorities,
				NextProtos:   hello.SupportedProtos,
			}, nil
		},
	}
}

// ClientTLS returns settings that demand a certificate of the fleet from the server.
func (r *Credentials) ClientTLS() *tls.Config {
	k := r.current.Load()
	return &tls.Config{
		MinVersion:   tls.VersionTLS13,
		Certificates: []tls.Certificate{k.certificate},
		RootCAs:      k.authorities,
		ServerName:   FleetName,
	}
}

// LoadAuthorities reads the authorities in a file.
func LoadAuthorities(path string) (*x509.CertPool, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return nil, ErrFile.Wrap(err, "authorities %s", path)
	}
	pool := x509.NewCertPool()
	if !pool.AppendCertsFromPEM(data) {
		return nil, ErrFile.New("authorities %s: no certificate in PEM", path)
	}
	return pool, nil
}

// NewAuthority makes a certificate that signs the fleet's processes.
func NewAuthority(now time.Time, validity time.Duration) (KeyPair, error) {
	template := &x509.Certificate{
		Subject:               pkix.Name{CommonName: "samphireusher fleet authority"},
		NotBefore:             now.Add(-time.Minute),
		NotAfter:              now.Add(validity),
		IsCA:                  true,
		BasicConstraintsValid: true,
		KeyUsage:              x509.KeyUsageCertSign,
	}
	return issue(template, nil, nil)
}

// Issue makes the certificate of the process called name.
func (p KeyPair) Issue(name string, now time.Time, validity time.Duration) (KeyPair, error) {
	authority, err := tls.X509KeyPair(p.Certificate, p.Key)
	if err != nil {
		return KeyPair{}, ErrIssue.Wrap(err, "authority")
	}
	template := &x509.Certificate{
		Subject:     pkix.Name{CommonName: name},
		DNSNames:    []string{FleetName},
		NotBefore:   now.Add(-time.Minute),
		NotAfter:    now.Add(validity),
		KeyUsage:    x509.KeyUsageDigitalSignature,
		ExtKeyUsage: []x509.ExtKeyUsage{x509.ExtKeyUsageServerAuth, x509.ExtKeyUsageClientAuth},
	}
	return issue(template, authority.Leaf, authority.PrivateKey)
}

// issue signs template with the parent's key, or with its own where parent is nil.
func issue(template, parent *x509.Certificate, signer any) (KeyPair, error) {
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		return KeyPair{}, ErrIssue.Wrap(err, "key")
	}
	serial, err := rand.Int(rand.Reader, new(big.Int).Lsh(big.NewInt(1), serialBits))
	if err != nil {
		return KeyPair{}, ErrIssue.Wrap(err, "serial number")
	}
	template.SerialNumber = serial
	if parent == nil {
		parent, signer = template, key
	}
	der, err := x509.CreateCertificate(rand.Reader, template, parent, &key.PublicKey, signer)
	if err != nil {
		return KeyPair{}, ErrIssue.Wrap(err, "certificate %q", template.Subject.CommonName)
	}
	private, err := x509.MarshalPKCS8PrivateKey(key)
	if err != nil {
		return KeyPair{}, ErrIssue.Wrap(err, "key")
	}
	return KeyPair{
		Certificate: pem.EncodeToMemory(&pem.Block{Type: "CERTIFICATE", Bytes: der}),
		Key:         pem.EncodeToMemory(&pem.Block{Type: "PRIVATE KEY", Bytes: private}),
	}, nil
}
