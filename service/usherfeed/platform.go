package usherfeed

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"net/netip"
	"strconv"
	"time"

	"github.com/joomcode/errorx"
)

const (
	versionHeader = "Usher-Version"
	maxValueBytes = 1 << 20
	readTimeout   = 2 * time.Second
	watchTimeout  = 35 * time.Second
)

var (
	// Errors is the namespace of this package's errors.
	Errors = errorx.NewNamespace("usher_feed")
	// ErrPlatform says that the platform did not answer as it should.
	ErrPlatform = Errors.NewType("platform", errorx.Temporary())
)

type (
	// Platform is the adapter of the users' configuration service and host list. It only reads.
	Platform struct {
		address netip.AddrPort
		http    *http.Client
	}

	// HostState is one entry of the platform's list of hosts, which lags.
	HostState struct {
		Name    string
		Leaving bool
	}

	// Change says what a watch saw.
	Change struct {
		Version uint64
		Keys    []string
	}

	changeWire struct {
		Version uint64   `json:"version"`
		Keys    []string `json:"keys"`
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

// NewPlatform returns the adapter of the platform at address.
func NewPlatform(address netip.AddrPort) *Platform {
	return &Platform{address: address, http: &http.Client{}}
}

// Value reads the value of key.
func (p *Platform) Value(ctx context.Context, key string) ([]byte, error) {
	ctx, cancel := context.WithTimeout(ctx, readTimeout)
	defer cancel()
	data, _, err := p.get(ctx, "/v1/values/"+key)
	return data, err
}

// Watch waits until something has changed after version.
func (p *Platform) Watch(ctx context.Context, version uint64) (Change, error) {
	ctx, cancel := context.WithTimeout(ctx, watchTimeout)
	defer cancel()
	data, _, err := p.get(ctx, "/v1/watch?after="+strconv.FormatUint(version, 10))
	if err != nil {
		return Change{}, err
	}
	var wire changeWire
	if err := json.Unmarshal(data, &wire); err != nil {
		return Change{}, ErrPlatform.Wrap(err, "watch")
	}
	return Change(wire), nil
}

// Hosts reads the list of hosts.
func (p *Platform) Hosts(ctx context.Context) ([]HostState, error) {
	ctx, cancel := context.WithTimeout(ctx, readTimeout)
	defer cancel()
	data, _, err := p.get(ctx, "/v1/hosts")
	if err != nil {
		return nil, err
	}
	var wire hostsWire
	if err := json.Unmarshal(data, &wire); err != nil {
		return nil, ErrPlatform.Wrap(err, "hosts")
	}
	hosts := make([]HostState, 0, len(wire.Hosts))
	for _, h := range wire.Hosts {
		hosts = append(hosts, HostState{Name: h.Name, Leaving: h.State == "leaving"})
	}
	return hosts, nil
}

func (p *Platform) get(ctx context.Context, path string) ([]byte, uint64, error) {
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+p.address.String()+path, nil)
	if err != nil {
		return nil, 0, ErrPlatform.Wrap(err, "%s", path)
	}
	response, err := p.http.Do(request)
	if err != nil {
		return nil, 0, ErrPlatform.Wrap(err, "%s", path)
	}
	defer response.Body.Close()
	if response.StatusCode != http.StatusOK {
		return nil, 0, ErrPlatform.New("%s: %s", path, response.Status)
	}
	data, err := io.ReadAll(io.LimitReader(response.Body, maxValueBytes+1))
	if err != nil {
		return nil, 0, ErrPlatform.Wrap(err, "%s", path)
	}
	if len(data) > maxValueBytes {
		return nil, 0, ErrPlatform.New("%s: value above %d bytes", path, maxValueBytes)
	}
	version, _ := strconv.ParseUint(response.Header.Get(versionHeader), 10, 64)
	return data, version, nil
}
