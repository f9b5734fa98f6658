package usherplatform

import (
	"net/http"
	"slices"
	"time"

	"github.com/joomcode/errorx"

	"github.com/samphireusher/samphireusher/standin/internal/usherhttp"
)

// Roles and states of a host.
const (
	RoleGateway   = "gateway"
	RoleScheduler = "scheduler"
	RoleTarget    = "target"
	StateLive     = "live"
	StateLeaving  = "leaving"
)

type (
	// Host is an entry of the host list.
	Host struct {
		Name       string `json:"name"`
		Address    string `json:"address"`
		DataCentre string `json:"data_centre"`
		Role       string `json:"role"`
		State      string `json:"state"`
	}

	hostList struct {
		version     int64
		publishedAt time.Time
		hosts       []Host
	}

	// hostHistory holds the lists that are visible to readers now or will be later, oldest first.
	hostHistory struct {
		version int64
		lists   []hostList
	}

	hostsRequest struct {
		Hosts []Host `json:"hosts"`
	}

	hostsResponse struct {
		Version int64  `json:"version"`
		Hosts   []Host `json:"hosts"`
	}
)

// SetHosts replaces the host list. Readers see the new list after the host lag.
func (p *Platform) SetHosts(hosts []Host) (version int64, err error) {
	for _, host := range hosts {
		if err := host.check(); err != nil {
			return 0, err
		}
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	now := time.Now()
	p.hosts.prune(now.Add(-p.hostLag()))
	p.hosts.version++
	p.hosts.lists = append(p.hosts.lists, hostList{p.hosts.version, now, slices.Clone(hosts)})
	return p.hosts.version, nil
}

func (h Host) check() error {
	if h.Name == "" || h.Address == "" || h.DataCentre == "" {
		return errorx.IllegalArgument.New("host %q lacks a name, an address or a data centre", h.Name)
	}
	if h.Role != RoleGateway && h.Role != RoleScheduler && h.Role != RoleTarget {
		return errorx.IllegalArgument.New("host %q has the unknown role %q", h.Name, h.Role)
	}
	if h.State != StateLive && h.State != StateLeaving {
		return errorx.IllegalArgument.New("host %q has the unknown state %q", h.Name, h.State)
	}
	return nil
}

func (p *Platform) hostLag() time.Duration {
	if p.faults.HostLagMS > 0 {
		return time.Duration(p.faults.HostLagMS) * time.Millisecond
	}
	return p.config.HostLag
}

// prune drops the lists that a newer one had replaced by the cutoff.
func (l *hostHistory) prune(cutoff time.Time) {
	for len(l.lists) > 1 && !l.lists[1].publishedAt.After(cutoff) {
		l.lists = l.lists[1:]
	}
}

// visibleAt returns the newest list that was published at or before t.
func (l *hostHistory) visibleAt(t time.Time) hostsResponse {
	visible := hostsResponse{Hosts: []Host{}}
	for _, list := range l.lists {
		if !list.publishedAt.After(t) {
			visible = hostsResponse{list.version, list.hosts}
		}
	}
	return visible
}

func (p *Platform) serveHosts(w http.ResponseWriter, _ *http.Request) {
	p.mu.Lock()
	response := p.hosts.visibleAt(time.Now().Add(-p.hostLag()))
	p.mu.Unlock()
	usherhttp.Reply(w, http.StatusOK, response)
}

func (p *Platform) servePutHosts(w http.ResponseWriter, r *http.Request) {
	var body hostsRequest
	if err := usherhttp.Decode(w, r, &body); err != nil {
		usherhttp.Refuse(w, http.StatusBadRequest, err.Error())
		return
	}
	version, err := p.SetHosts(body.Hosts)
	if err != nil {
		usherhttp.Refuse(w, http.StatusBadRequest, err.Error())
		return
	}
	usherhttp.Reply(w, http.StatusOK, writeResponse{version})
}
