package usherhost

import (
	"net/netip"
	"time"

	"github.com/samphireusher/samphireusher/pkg/ushercluster"
	"github.com/samphireusher/samphireusher/pkg/usherpool"
)

// maxSharedServices bounds the services whose speeds are sent in one round of reports.
const maxSharedServices = 8

// speedsWire is what the collector of a data centre has learned of the targets of a plain service.
type speedsWire struct {
	Service string                  `cbor:"1,keyasint"`
	Speeds  []usherpool.SharedSpeed `cbor:"2,keyasint"`
}

// queueCallOutcome keeps an outcome for the next report to the collector. What does not fit in it is left out.
func (s *sharedState) queueCallOutcome(o usherpool.Outcome) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(s.callOutcomes) < maxOutcomes {
		s.callOutcomes = append(s.callOutcomes, outcomeWire(o))
	}
}

// callReports returns what this host tells of plain calls: its collector what it saw of them, or, if it is the collector, its data centre what
// it has learned.
func (s *sharedState) callReports(now time.Time, collector ushercluster.Member) (out []outgoingDatagram) {
	outcomes := s.callOutcomes
	s.callOutcomes = nil
	if collector.Name != s.cluster.Self().Name {
		if len(outcomes) > 0 {
			d := s.newOutcomeDatagram()
			d.Outcomes = outcomes
			out = append(out, outgoingDatagram{to: []netip.AddrPort{collector.Address}, datagram: d})
		}
		return out
	}
	to := addresses(s.cluster.LocalPeers(s.clock.now()))
	for service, speeds := range s.pool.SharedSpeeds(now) {
		if len(to) == 0 || len(out) == maxSharedServices {
			break
		}
		d := s.newOutcomeDatagram()
		d.Speeds = &speedsWire{Service: service, Speeds: speeds}
		out = append(out, outgoingDatagram{to: to, datagram: d})
	}
	return out
}

// adoptSpeeds adopts what the collector of this data centre has learned.
func (s *sharedState) adoptSpeeds(from string, w speedsWire) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.cluster.Collector(s.clock.now()).Name == from {
		s.pool.AdoptSpeeds(time.Now(), w.Service, w.Speeds)
	}
}
