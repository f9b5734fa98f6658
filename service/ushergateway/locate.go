package ushergateway

import (
	"net/http"
	"time"

	"github.com/samphireusher/samphireusher/pkg/usherconfig"
)

// locateLifetime is how long a caller may keep the answer.
const locateLifetime = 30 * time.Second

type locateWire struct {
	Addresses []string `json:"addresses"`
	ValidMS   int64    `json:"valid_ms"`
}

// serveLocate tells a caller which gateways to use, the best first.
func (g *Gateway) serveLocate(w http.ResponseWriter, r *http.Request) error {
	wire := locateWire{ValidMS: locateLifetime.Milliseconds()}
	for _, host := range g.Config.Hosts(usherconfig.GatewayRole) {
		if host.InService {
			wire.Addresses = append(wire.Addresses, host.Address.String())
		}
	}
	writeJSON(w, http.StatusOK, wire)
	return nil
}

func (g *Gateway) otherGateway() (string, bool) {
	for _, host := range g.Config.Hosts(usherconfig.GatewayRole) {
		if host.InService && host.Name != g.Name {
			return host.Address.String(), true
		}
	}
	return "", false
}

func (g *Gateway) gatewayNamed(name string) (usherconfig.Host, bool) {
	for _, host := range g.Config.Hosts(usherconfig.GatewayRole) {
		if host.Name == name {
			return host, true
		}
	}
	return usherconfig.Host{}, false
}
