// Package usherkey loads and creates the keys and certificates with which the fleet's processes authenticate each other.
//
// Each process has a certificate whose common name is the process's name and whose only subject alternative name is
// FleetName; the fleet's certificate authority signs it. Credentials holds the current certificate and the trusted
// authorities, and can be reloaded while connections stay open. To rotate the authority, first trust the new one in
// addition to the old one everywhere, then replace the certificates, then remove the old authority.
//
// # Usage
//
//	credentials, err := usherkey.Load(usherkey.Files{Certificate: "gateway.pem", Key: "gateway.key", Authorities: "fleet.pem"})
//	if err != nil {
//		return err
//	}
//	err = credentials.Reload() // after the files were replaced
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
	// ErrFile is the type of errors for key files that cannot be read or are invalid.
	ErrFile = Errors.NewType("file")
	// ErrIssuance is the type of errors for certificates that cannot be created.
	ErrIssuance = Errors.NewType("issue")
)

type (
	// Files holds the paths of a process's key files, all in PEM. Authorities may contain several certificates.
	Files struct {
		Certificate string
		Key         string
		Authorities string
	}

	// Credentials holds a process's certificate with its private key, and the authorities that it trusts.
	Credentials struct {
		files   Files
		current atomic.Pointer[loadedKeys]
	}

	// KeyPair is a certificate with its private key, both in PEM.
	KeyPair struct {
		Certificate []byte
		Key         []byte
	}

	loadedKeys struct {
		certificate tls.Certificate
		authorities *x509.CertPool
	}
)

// Load reads the files. An error names the file that is missing or invalid.
func Load(files Files) (*Credentials, error) {
	c := &Credentials{files: files}
	if err := c.Reload(); err != nil {
		return nil, err
	}
	return c, nil
}

// Reload reads the files again. If that fails, the current keys are kept.
func (c *Credentials) Reload() error {
	certificate, err := tls.LoadX509KeyPair(c.files.Certificate, c.files.Key)
	if err != nil {
		return ErrFile.Wrap(err, "load certificate %s with key %s", c.files.Certificate, c.files.Key)
	}
	pool, err := LoadAuthorities(c.files.Authorities)
	if err != nil {
		return err
	}
	c.current.Store(&loadedKeys{certificate: certificate, authorities: pool})
	return nil
}

// Name returns the name of the process from its certificate.
func (c *Credentials) Name() string {
	leaf := c.current.Load().certificate.Leaf
	return leaf.Subject.CommonName
}

// ServerTLS returns a server configuration that requires clients to present a certificate of the fleet. Each handshake uses
// the keys that are current at that time.
func (c *Credentials) ServerTLS() *tls.Config {
	return &tls.Config{
		MinVersion: tls.VersionTLS13,
		GetConfigForClient: func(hello *tls.ClientHelloInfo) (*tls.Config, error) {
			keys := c.current.Load()
			return &tls.Config{
				MinVersion:   tls.VersionTLS13,
				Certificates: []tls.Certificate{keys.certificate},
				ClientAuth:   tls.RequireAndVerifyClientCert,
				ClientCAs:    keys.authorities,
				NextProtos:   hello.SupportedProtos,
			}, nil
		},
	}
}

// ClientTLS returns a client configuration that requires the server to present a certificate of the fleet. It uses the keys
// that are current when ClientTLS is called.
func (c *Credentials) ClientTLS() *tls.Config {
	keys := c.current.Load()
	return &tls.Config{
		MinVersion:   tls.VersionTLS13,
		Certificates: []tls.Certificate{keys.certificate},
		RootCAs:      keys.authorities,
		ServerName:   FleetName,
	}
}

// LoadAuthorities reads the certificates of authorities from a PEM file.
func LoadAuthorities(path string) (*x509.CertPool, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return nil, ErrFile.Wrap(err, "read authorities %s", path)
	}
	pool := x509.NewCertPool()
	if !pool.AppendCertsFromPEM(data) {
		return nil, ErrFile.New("authorities %s: no PEM certificate found", path)
	}
	return pool, nil
}

// NewAuthority creates a self-signed certificate authority that can issue certificates for the fleet's processes.
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

// Issue creates a certificate for the process with the given name, signed by the authority p.
func (p KeyPair) Issue(name string, now time.Time, validity time.Duration) (KeyPair, error) {
	authority, err := tls.X509KeyPair(p.Certificate, p.Key)
	if err != nil {
		return KeyPair{}, ErrIssuance.Wrap(err, "load authority")
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

// issue creates a certificate from template with a new key. It is signed with signer, or self-signed if parent is nil.
func issue(template, parent *x509.Certificate, signer any) (KeyPair, error) {
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		return KeyPair{}, ErrIssuance.Wrap(err, "generate key")
	}
	serial, err := rand.Int(rand.Reader, new(big.Int).Lsh(big.NewInt(1), serialBits))
	if err != nil {
		return KeyPair{}, ErrIssuance.Wrap(err, "generate serial number")
	}
	template.SerialNumber = serial
	if parent == nil {
		parent, signer = template, key
	}
	der, err := x509.CreateCertificate(rand.Reader, template, parent, &key.PublicKey, signer)
	if err != nil {
		return KeyPair{}, ErrIssuance.Wrap(err, "create certificate %q", template.Subject.CommonName)
	}
	private, err := x509.MarshalPKCS8PrivateKey(key)
	if err != nil {
		return KeyPair{}, ErrIssuance.Wrap(err, "encode key")
	}
	return KeyPair{
		Certificate: pem.EncodeToMemory(&pem.Block{Type: "CERTIFICATE", Bytes: der}),
		Key:         pem.EncodeToMemory(&pem.Block{Type: "PRIVATE KEY", Bytes: private}),
	}, nil
}
