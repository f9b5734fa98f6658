package ushergateway

import (
	"net"
	"net/http"
	"strings"

	"github.com/samphireusher/samphireusher/pkg/usherconfig"
	"github.com/samphireusher/samphireusher/pkg/usherlocate"
	"github.com/samphireusher/samphireusher/pkg/usherrequest"
)

// locateAddresses is the number of gateways returned to a caller: the best one and a fallback.
const locateAddresses = 2

type locateWire struct {
	Addresses []string `json:"addresses"`
	ValidMS   int64    `json:"valid_ms"`
}

// serveLocate returns the addresses of the gateways that the caller should use, the best first. The query parameter
// near lists data centres by distance, the nearest first; it defaults to this gateway's data centre.
func (g *Gateway) serveLocate(w http.ResponseWriter, r *http.Request) error {
	caller := g.locateCaller(r)
	view := g.gatewayView()
	wire := locateWire{}
	for range locateAddresses {
		location, ok := view.Locate(caller)
		if !ok {
			break
		}
		if len(wire.Addresses) == 0 {
			wire.ValidMS = location.Lifetime.Milliseconds()
		}
		wire.Addresses = append(wire.Addresses, location.Address)
		view = view.Without(location.Gateway)
	}
	if len(wire.Addresses) == 0 {
		return usherrequest.Refuse(usherrequest.Evidence{}, usherrequest.ReasonOverloaded).WithRetryAfter(usherlocate.ShortLifetime)
	}
	writeJSON(w, http.StatusOK, wire)
	return nil
}

func (g *Gateway) locateCaller(r *http.Request) usherlocate.Caller {
	client, _, err := net.SplitHostPort(r.RemoteAddr)
	if err != nil {
		client = r.RemoteAddr
	}
	near := []string{g.DataCentre}
	if given := r.URL.Query().Get("near"); given != "" {
		near = strings.Split(given, ",")
	}
	return usherlocate.Caller{Workspace: workspaceOf(r), Client: client, Near: near}
}

// gatewayView returns the state of all gateways as known to this process.
func (g *Gateway) gatewayView() usherlocate.View {
	known := []usherlocate.Gateway{}
	for _, host := range g.Config.Hosts(usherconfig.GatewayRole) {
		known = append(known, usherlocate.Gateway{
			Name: host.Name, Address: host.Address.String(), DataCentre: host.DataCentre, State: g.stateOf(host),
		})
	}
	return usherlocate.NewView(known...)
}

func (g *Gateway) stateOf(host usherconfig.Host) usherlocate.State {
	switch {
	case host.Name == g.Name && g.stopping.Load(), g.Config.Leaving(host.Name):
		return usherlocate.Leaving
	case !g.Config.DataCentreInService(host.DataCentre):
		return usherlocate.OutOfService
	case host.Name == g.Name && g.active.len() >= g.Limits.Requests:
		return usherlocate.Overloaded
	default:
		return usherlocate.InService
	}
}

func (g *Gateway) gatewayByName(name string) (usherconfig.Host, bool) {
	for _, host := range g.Config.Hosts(usherconfig.GatewayRole) {
		if host.Name == name {
			return host, true
		}
	}
	return usherconfig.Host{}, false
}
