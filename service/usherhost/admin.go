package usherhost

import (
	"encoding/json"
	"net/http"
	"net/netip"
	"time"

	"github.com/justinas/alice"

	"github.com/samphireusher/samphireusher/pkg/ushercluster"
	"github.com/samphireusher/samphireusher/pkg/usherpool"
	"github.com/samphireusher/samphireusher/pkg/usherprefix"
	"github.com/samphireusher/samphireusher/pkg/ushershare"
)

const (
	// LocateLifetime is how long callers may cache a locate response: short enough that a host that is gone is rarely
	// named.
	LocateLifetime = 2 * time.Second
	// MetricsPath and DumpPath are served at the admin address.
	MetricsPath = "/metrics"
	DumpPath    = "/dump"
)

type (
	dumpWire struct {
		Process    string `json:"process"`
		DataCentre string `json:"data_centre"`
		State      string `json:"state"`
		Revision   uint64 `json:"revision"`
		Version    int64  `json:"version"`
		Reading    bool   `json:"reads_store"`
		InProgress int64  `json:"in_progress"`
		// Cores and LinkMbps are what this host names as its capacity, Pressure is its level of pressure, and Signs what that was
		// last derived from.
		Cores    float64          `json:"cores,omitempty"`
		LinkMbps uint32           `json:"link_mbps,omitempty"`
		Pressure int              `json:"pressure"`
		Signs    ushershare.Signs `json:"pressure_signs"`
		// Connections are those of callers.
		Connections connCounts          `json:"connections"`
		Hosts       []hostWire          `json:"hosts"`
		Targets     []usherpool.Summary `json:"targets"`
		// KeptParts is what targets are believed to keep of prompts.
		KeptParts usherprefix.Summary `json:"kept_parts"`
		// Suspects is the number of requests that were in progress on crashed targets, as far as they are remembered. Blamed
		// is what crashes are attributed to, each as the fingerprints of what a request must have.
		Suspects int      `json:"suspects"`
		Blamed   []string `json:"blamed"`
		// Waiting are the requests that wait for room, if this host is the placer.
		Waiting []waitingRequestWire `json:"waiting"`
	}

	hostWire struct {
		Name        string             `json:"name"`
		DataCentre  string             `json:"data_centre"`
		State       ushercluster.State `json:"state"`
		Incarnation int64              `json:"incarnation"`
		Revision    uint64             `json:"revision,omitempty"`
		// Cores and LinkMbps are what the host names as its capacity.
		Cores    float64 `json:"cores,omitempty"`
		LinkMbps uint32  `json:"link_mbps,omitempty"`
		// Pressure is the level that the host has named lately.
		Pressure uint8 `json:"pressure,omitempty"`
	}
)

// locate tells a caller which hosts to use, those of its data centre first and strong ones more often than weak ones.
func (h *Host) locate(w http.ResponseWriter, r *http.Request) {
	if h.peers.checkStandstill(); !h.peers.standstill.isSettled() {
		// Callers ask another host.
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	var addresses []string
	dataCentre := h.codec.DecodeLocate(r)
	// The zero address of a caller that has none stands for one more caller.
	caller, _ := netip.ParseAddrPort(r.RemoteAddr)
	for _, chosen := range ushershare.Choose(h.state.servingHosts(), dataCentre, ushershare.Seed(caller.Addr(), dataCentre, time.Now())) {
		addresses = append(addresses, chosen.Address.String())
	}
	if len(addresses) == 0 {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	body, err := h.codec.EncodeLocate(addresses, LocateLifetime)
	if err != nil {
		h.log.Error("failed to encode locate response", "error", errorText(err))
		w.WriteHeader(http.StatusInternalServerError)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	if _, err := w.Write(body); err != nil {
		h.log.Debug("failed to send locate response", "error", errorText(err))
	}
}

// ready tells the platform whether this host takes requests.
func (h *Host) ready(w http.ResponseWriter, _ *http.Request) {
	if h.state.self().State != ushercluster.Serving {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	w.WriteHeader(http.StatusOK)
}

func (h *Host) adminRoutes() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET "+MetricsPath, h.metrics.serve)
	mux.HandleFunc("GET "+DumpPath, h.dump)
	mux.HandleFunc("POST "+ExplainPath, h.explain)
	return alice.New(noStore).Then(mux)
}

func (h *Host) dump(w http.ResponseWriter, _ *http.Request) {
	data, err := json.MarshalIndent(h.snapshot(), "", "  ")
	if err != nil {
		http.Error(w, err.Error(), http.StatusInternalServerError)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	if _, err := w.Write(append(data, '\n')); err != nil {
		h.log.Debug("failed to send dump", "error", errorText(err))
	}
}

func (h *Host) snapshot() dumpWire {
	// The waiting room takes the lock of the state.
	waiting := h.peers.placement.room.list()
	level, signs := h.pressure.current()
	s := h.state
	s.mu.Lock()
	defer s.mu.Unlock()
	now := time.Now()
	self := describeHost(s.cluster.Self())
	d := dumpWire{
		Waiting: waiting,
		Cores:   self.Cores, LinkMbps: self.LinkMbps, Pressure: level, Signs: signs,
		Process: s.cluster.Self().Name, DataCentre: s.cluster.Self().DataCentre, State: h.lifecycle.Current(), Revision: s.catalog.Revision(),
		InProgress: h.inProgress.Load(), Connections: h.conns.counts(), Targets: s.pool.Summaries(now), KeptParts: s.pool.KeptParts(now),
		Suspects: s.suspicion.tracker.Len(), Blamed: s.suspicion.describeBlamed(now),
	}
	if t := s.catalog.Table(); t != nil {
		d.Version = t.Version()
	}
	fleetTime := s.clock.now()
	for _, m := range s.cluster.Alive(fleetTime) {
		host := describeHost(m)
		host.Revision, host.Pressure = s.peerStatuses[m.Name].revision, s.cluster.Pressure(fleetTime, m.Name)
		d.Hosts = append(d.Hosts, host)
	}
	return d
}

func noStore(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set("Cache-Control", "no-store")
		next.ServeHTTP(w, r)
	})
}
