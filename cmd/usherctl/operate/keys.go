package usheroperation

import (
	"crypto/rand"
	"encoding/base64"
	"errors"
	"fmt"
	"io/fs"
	"os"
	"path/filepath"
	"time"

	"github.com/alecthomas/kong"

	"github.com/samphireusher/samphireusher/pkg/usherkey"
)

const (
	authorityCertificate = "authority.pem"
	authorityKey         = "authority.key"
	secretBytes          = 32
	fileMode             = 0o600
	directoryMode        = 0o700
)

type (
	keysCommand struct {
		Authority authorityCommand `cmd:"" help:"Make the authority that signs the fleet's certificates."`
		Issue     issueCommand     `cmd:"" help:"Make the certificate of a process, signed by the authority."`
		Secret    secretCommand    `cmd:"" help:"Make a fleet secret, which signs request ids and handles."`
	}

	authorityCommand struct {
		Out      string        `help:"Directory for authority.pem and authority.key." required:"" type:"path"`
		Validity time.Duration `help:"How long the certificate is valid." default:"43800h"`
		Force    bool          `help:"Write over files that exist."`
	}

	issueCommand struct {
		Name      string        `arg:"" help:"Name of the process, as its settings have it."`
		Authority string        `help:"Directory with authority.pem and authority.key." required:"" type:"existingdir"`
		Out       string        `help:"Directory for NAME.pem and NAME.key." required:"" type:"path"`
		Validity  time.Duration `help:"How long the certificate is valid." default:"8760h"`
		Force     bool          `help:"Write over files that exist."`
	}

	secretCommand struct {
		Out   string `help:"File for the secret." required:"" type:"path"`
		Force bool   `help:"Write over a file that exists."`
	}

	// privateFile is a file that is readable and writable by its owner only.
	privateFile struct {
		path string
		data []byte
	}
)

// Run creates the authority's key and certificate.
func (c *authorityCommand) Run(k *kong.Context) error {
	pair, err := usherkey.NewAuthority(time.Now(), c.Validity)
	if err != nil {
		return err
	}
	return writeFiles(k, c.Force,
		privateFile{filepath.Join(c.Out, authorityCertificate), pair.Certificate},
		privateFile{filepath.Join(c.Out, authorityKey), pair.Key})
}

// Run creates a process's key and a certificate signed by the authority.
func (c *issueCommand) Run(k *kong.Context) error {
	if c.Name != filepath.Base(c.Name) {
		return ErrUsage.New("invalid process name %q: must be a file name without a directory", c.Name)
	}
	authority, err := c.readAuthority()
	if err != nil {
		return err
	}
	pair, err := authority.Issue(c.Name, time.Now(), c.Validity)
	if err != nil {
		return err
	}
	return writeFiles(k, c.Force,
		privateFile{filepath.Join(c.Out, c.Name+".pem"), pair.Certificate},
		privateFile{filepath.Join(c.Out, c.Name+".key"), pair.Key})
}

func (c *issueCommand) readAuthority() (usherkey.KeyPair, error) {
	certificate, err := os.ReadFile(filepath.Join(c.Authority, authorityCertificate))
	if err != nil {
		return usherkey.KeyPair{}, ErrFile.Wrap(err, "cannot read the authority")
	}
	key, err := os.ReadFile(filepath.Join(c.Authority, authorityKey))
	if err != nil {
		return usherkey.KeyPair{}, ErrFile.Wrap(err, "cannot read the authority")
	}
	return usherkey.KeyPair{Certificate: certificate, Key: key}, nil
}

// Run creates a fleet secret.
func (c *secretCommand) Run(k *kong.Context) error {
	secret := make([]byte, secretBytes)
	if _, err := rand.Read(secret); err != nil {
		return ErrFile.Wrap(err, "cannot read random bytes")
	}
	text := base64.RawURLEncoding.EncodeToString(secret) + "\n"
	return writeFiles(k, c.Force, privateFile{c.Out, []byte(text)})
}

// writeFiles writes the files and prints their paths. Without force it writes none if any of them exists.
func writeFiles(k *kong.Context, force bool, files ...privateFile) error {
	for _, f := range files {
		if _, err := os.Lstat(f.path); !force && !errors.Is(err, fs.ErrNotExist) {
			return ErrFile.New("%s exists; use --force to overwrite it", f.path)
		}
	}
	for _, f := range files {
		if err := f.write(); err != nil {
			return err
		}
		fmt.Fprintln(k.Stdout, f.path)
	}
	return nil
}

// write replaces the file atomically by a rename, so that a process that reloads its keys never reads a partial file.
func (f privateFile) write() error {
	if err := os.MkdirAll(filepath.Dir(f.path), directoryMode); err != nil {
		return ErrFile.Wrap(err, "cannot create the directory")
	}
	file, err := os.CreateTemp(filepath.Dir(f.path), ".usherctl-*") // created with fileMode
	if err != nil {
		return ErrFile.Wrap(err, "cannot write %s", f.path)
	}
	_, err = file.Write(f.data)
	err = errors.Join(err, file.Chmod(fileMode), file.Close())
	if err == nil {
		err = os.Rename(file.Name(), f.path)
	}
	if err != nil {
		return ErrFile.Wrap(errors.Join(err, os.Remove(file.Name())), "cannot write %s", f.path)
	}
	return nil
}
