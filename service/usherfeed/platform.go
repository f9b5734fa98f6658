package usherfeed

import (
	"context"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"net/netip"
	"time"

	"github.com/joomcode/errorx"

	"github.com/samphireusher/samphireusher/pkg/usherconn"
	"github.com/samphireusher/samphireusher/pkg/usherresponse"
)

const (
	maxValueBytes = 1 << 20
	// maxHeaderBytes bounds the header of a response of the platform.
	maxHeaderBytes = 64 << 10
	readTimeout    = 2 * time.Second
)

var (
	// Errors is the namespace of this package's errors.
	Errors = errorx.NewNamespace("usher_feed")
	// ErrPlatform is the type of errors for requests to the platform that fail or whose response is invalid.
	ErrPlatform = Errors.NewType("platform", errorx.Temporary())
	// ErrSenderMismatch is the type of errors for messages that name a process other than their sender as their origin.
	ErrSenderMismatch = Errors.NewType("foreign")
)

type (
	// Dial opens a connection to the platform.
	Dial func(ctx context.Context, network, address string) (net.Conn, error)

	// Platform is a read-only client for the platform's configuration service and host list.
	Platform struct {
		address netip.AddrPort
		http    *http.Client
	}

	// HostState is an entry of the platform's list of hosts, which may be out of date.
	HostState struct {
		Name    string
		Leaving bool
	}

	hostsWire struct {
		Version uint64     `json:"version"`
		Hosts   []hostWire `json:"hosts"`
	}

	hostWire struct {
		Name  string `json:"name"`
		State string `json:"state"`
	}
)

// NewPlatform returns a client for the platform at address.
func NewPlatform(address netip.AddrPort) *Platform {
	dialer := &net.Dialer{Timeout: readTimeout}
	return NewPlatformWith(address, dialer.DialContext)
}

// NewPlatformWith returns a client for the platform at address that opens connections with dial.
func NewPlatformWith(address netip.AddrPort, dial Dial) *Platform {
	return &Platform{address: address, http: &http.Client{Transport: usherresponse.Transport{
		Base: &http.Transport{DialContext: usherconn.Dialer(dial), MaxResponseHeaderBytes: maxHeaderBytes},
	}}}
}

// Close closes idle connections.
func (p *Platform) Close() {
	p.http.CloseIdleConnections()
}

// Value reads the value of a key.
func (p *Platform) Value(ctx context.Context, key string) ([]byte, error) {
	ctx, cancel := context.WithTimeout(ctx, readTimeout)
	defer cancel()
	return p.get(ctx, "/v1/values/"+key)
}

// Hosts reads the list of hosts.
func (p *Platform) Hosts(ctx context.Context) ([]HostState, error) {
	ctx, cancel := context.WithTimeout(ctx, readTimeout)
	defer cancel()
	data, err := p.get(ctx, "/v1/hosts")
	if err != nil {
		return nil, err
	}
	var wire hostsWire
	if err := json.Unmarshal(data, &wire); err != nil {
		return nil, ErrPlatform.Wrap(err, "decode host list")
	}
	hosts := make([]HostState, 0, len(wire.Hosts))
	for _, h := range wire.Hosts {
		hosts = append(hosts, HostState{Name: h.Name, Leaving: h.State == "leaving"})
	}
	return hosts, nil
}

func (p *Platform) get(ctx context.Context, path string) ([]byte, error) {
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+p.address.String()+path, nil)
	if err != nil {
		return nil, ErrPlatform.Wrap(err, "%s", path)
	}
	response, err := p.http.Do(request)
	if err != nil {
		return nil, ErrPlatform.Wrap(err, "%s", path)
	}
	defer response.Body.Close()
	if response.StatusCode != http.StatusOK {
		return nil, ErrPlatform.New("%s: %s", path, response.Status)
	}
	data, err := io.ReadAll(io.LimitReader(response.Body, maxValueBytes+1))
	if err != nil {
		return nil, ErrPlatform.Wrap(err, "%s", path)
	}
	if len(data) > maxValueBytes {
		return nil, ErrPlatform.New("%s: value exceeds %d bytes", path, maxValueBytes)
	}
	return data, nil
}
