package usherhost

import (
	"context"
	"math"
	"time"

	"github.com/samphireusher/samphireusher/pkg/usherpool"
	"github.com/samphireusher/samphireusher/pkg/usherspeed"
)

const (
	// maxOutcomeRecipients bounds the hosts that are told of an outcome: the placer and those that may take its place.
	maxOutcomeRecipients = 3
	// maxOutcomes bounds the outcomes that are read from one datagram.
	maxOutcomes = 16
	// earlyReportEvents is the number of events after which the time between events is reported first, long before most runs end.
	earlyReportEvents = 16
	// minGapEvents is the least number of events whose mean time is reported.
	minGapEvents = 8
	// hedgeQuantile is the share of a route's calls that are answered before they are sent to a second target.
	hedgeQuantile = 0.95
	// maxCallTails bounds the routes whose durations are remembered.
	maxCallTails = 1024
	// forecastTolerance is the deviation up to which a forecast counts as right, in percent of what was forecast.
	forecastTolerance = 25
)

type (
	// runTimes are the times of the events of one run.
	runTimes struct {
		last         time.Time
		longestPause time.Duration
		// reported is when the time between events was last reported, at the given number of events.
		reported       time.Time
		reportedEvents int
	}

	outcomeWire struct {
		Target          string        `cbor:"1,keyasint"`
		Incarnation     int64         `cbor:"2,keyasint,omitempty"`
		Base            time.Duration `cbor:"3,keyasint,omitempty"`
		FirstEvent      time.Duration `cbor:"4,keyasint,omitempty"`
		Events          int           `cbor:"5,keyasint,omitempty"`
		Gap             time.Duration `cbor:"6,keyasint,omitempty"`
		LongestPause    time.Duration `cbor:"7,keyasint,omitempty"`
		OutputTokens    int           `cbor:"8,keyasint,omitempty"`
		Service         string        `cbor:"9,keyasint,omitempty"`
		Route           string        `cbor:"10,keyasint,omitempty"`
		Workspace       string        `cbor:"11,keyasint,omitempty"`
		OutputHint      int           `cbor:"12,keyasint,omitempty"`
		MaxOutputTokens int           `cbor:"13,keyasint,omitempty"`

		Kept *usherpool.KeptOutcome `cbor:"14,keyasint,omitempty"`
	}
)

// observeEvent records the arrival of an event of the current run, and reports what it shows of the target.
func (g *generation) observeEvent(at time.Time) {
	t := &g.times
	switch {
	case g.runEvents == 1:
		t.reported, t.reportedEvents = at, 1
		g.reportFirstEvent(at.Sub(g.exchange.sentAt))
	case at.Sub(t.last) > t.longestPause:
		t.longestPause = at.Sub(t.last)
	}
	t.last = at
	if g.runEvents == earlyReportEvents {
		g.reportOutcome(g.gapOutcome())
	}
}

// reportFirstEvent reports the time until the first event of a run, if it was forecast: a run that is late waits behind others, and one that
// continues from a copy reads no prompt.
func (g *generation) reportFirstEvent(seen time.Duration) {
	f := g.source.Forecast
	if g.source.Late || f.Base <= 0 || f.FirstEvent <= 0 {
		return
	}
	g.host.metrics.recordForecast(f.FirstEvent, seen)
	o := g.outcome()
	o.Base, o.FirstEvent, o.Kept = f.Base, seen, g.keptOutcome()
	g.reportOutcome(o)
}

// reportRunEnd reports the times between the events of the current run and, if the stream is complete, its length.
func (g *generation) reportRunEnd(complete bool) {
	o := g.outcome()
	if g.runEvents > max(g.times.reportedEvents, 1) {
		o = g.gapOutcome()
		o.Events, o.LongestPause = g.runEvents, g.times.longestPause
	}
	if e := g.req.service.Engine; complete && e != nil {
		o.OutputTokens = g.req.events * e.EventTokens
		o.Service, o.Route, o.Workspace = g.req.service.Name, g.req.route.Name, g.req.workspace.Name
		o.OutputHint, o.MaxOutputTokens = g.req.OutputHint, g.req.MaxOutputTokens
	}
	if o != g.outcome() {
		g.reportOutcome(o)
	}
}

// gapOutcome returns the mean time between the events since the last report.
func (g *generation) gapOutcome() usherpool.Outcome {
	t := &g.times
	o := g.outcome()
	o.Events = g.runEvents - t.reportedEvents
	if o.Events >= minGapEvents {
		o.Gap = t.last.Sub(t.reported) / time.Duration(o.Events)
	}
	t.reported, t.reportedEvents = t.last, g.runEvents
	return o
}

func (g *generation) outcome() usherpool.Outcome {
	return usherpool.Outcome{Target: g.source.Target.ID, Incarnation: g.source.Target.Incarnation}
}

// observeCall records the answer of a plain call.
func (h *Host) observeCall(req *requestState, choice usherpool.Choice, seen time.Duration) {
	h.state.recordCall(req.route.Name, seen)
	h.recordCallOutcome(callOutcome(choice, seen))
}

// observeAbandonedCall records a plain call that was given up because another target was faster, if it had taken longer than expected: what is
// not answered shows as much.
func (h *Host) observeAbandonedCall(ctx context.Context, choice usherpool.Choice, x *exchange) {
	if seen := time.Since(x.sentAt); ctx.Err() != nil && seen > choice.Forecast.FirstEvent {
		h.recordCallOutcome(callOutcome(choice, seen))
	}
}

func (h *Host) recordCallOutcome(o usherpool.Outcome) {
	h.state.recordOutcome(h.state.self().Name, o)
	h.state.queueCallOutcome(o)
}

func callOutcome(choice usherpool.Choice, seen time.Duration) usherpool.Outcome {
	return usherpool.Outcome{Target: choice.Target.ID, Incarnation: choice.Target.Incarnation, Base: choice.Forecast.Base, FirstEvent: seen}
}

// recordCall records the duration of a route's call.
func (s *sharedState) recordCall(route string, d time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	tail, known := s.callTails[route]
	if !known && len(s.callTails) < maxCallTails {
		tail = &usherspeed.Tail{}
		s.callTails[route] = tail
	}
	if tail != nil {
		tail.Add(d)
	}
}

// callTail returns how long all but a few of the route's calls take, if the targets of the service differ in speed, or else the longest time
// given. The few are those for which the retry budget has room.
func (s *sharedState) callTail(req *requestState, longest time.Duration) time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	tail, known := s.callTails[req.route.Name]
	if !known || !s.pool.Uneven(time.Now(), req.service.Name) {
		return longest
	}
	if d, known := tail.Quantile(max(hedgeQuantile, 1-s.retryDefaults.Ratio/2)); known {
		return min(d, longest)
	}
	return longest
}

// reportOutcome records an outcome in this host and tells the placers of it. It is not repeated.
func (g *generation) reportOutcome(o usherpool.Outcome) {
	if wrongParts := g.host.state.recordOutcome(g.host.state.self().Name, o); wrongParts {
		g.host.metrics.prefixes.wrong.Inc(1)
	}
	g.host.peers.sendOutcome(outcomeWire(o))
}

func (p *peers) sendOutcome(o outcomeWire) {
	placers, self := p.state.placers()
	d := p.state.outcomeDatagram()
	d.Outcomes = []outcomeWire{o}
	sent := 0
	for _, m := range placers {
		if m.Name != self && sent < maxOutcomeRecipients {
			sent++
			p.send(d, m.Address)
		}
	}
}

// handleOutcomes records what another host saw.
func (p *peers) handleOutcomes(from string, outcomes []outcomeWire) {
	for _, o := range outcomes[:min(len(outcomes), maxOutcomes)] {
		p.state.recordOutcome(from, usherpool.Outcome(o))
	}
}

// outcomeDatagram returns a datagram for outcomes. Hosts that do not know of them take it for a short report, so what it says of this host
// has to be right.
func (s *sharedState) outcomeDatagram() datagramWire {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.newOutcomeDatagram()
}

func (s *sharedState) newOutcomeDatagram() datagramWire {
	now := s.clock.now()
	return datagramWire{
		Version: protocolVersion, Report: s.cluster.Status(now), Revision: s.catalog.Revision(),
		StoreAge: now.Sub(s.lastStoreResponse), StoreFailing: s.storeFailing,
	}
}

func (s *sharedState) recordOutcome(host string, o usherpool.Outcome) (wrongParts bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.pool.RecordOutcome(time.Now(), host, o)
}

// forecastLog is a forecast as it is logged.
type forecastLog struct {
	Factor         float64 `json:"factor"`
	Error          float64 `json:"error"`
	AgeMs          int64   `json:"age_ms"`
	LongestPauseMs int64   `json:"longest_pause_ms"`
	FreeTokens     int     `json:"free_tokens"`
}

func describeForecast(f usherpool.Forecast) forecastLog {
	return forecastLog{
		Factor: roundHundredths(f.Factor), Error: roundHundredths(f.Error), AgeMs: f.Age.Milliseconds(), LongestPauseMs: f.LongestPause.Milliseconds(), FreeTokens: f.FreeTokens,
	}
}

func roundHundredths(x float64) float64 { return math.Round(100*x) / 100 }

// recordForecast compares a forecast with what was seen.
func (m *hostMetrics) recordForecast(forecast, seen time.Duration) {
	percent := int64(100 * float64(seen) / float64(forecast))
	m.forecastPercent.Update(percent)
	m.forecasts.Inc(1)
	if percent >= 100-forecastTolerance && percent <= 100+forecastTolerance {
		m.forecastsRight.Inc(1)
	}
}
