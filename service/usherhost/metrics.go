package usherhost

import (
	"fmt"
	"net/http"
	"sort"
	"time"

	"github.com/rcrowley/go-metrics"

	"github.com/samphireusher/samphireusher/pkg/usherroute"
)

// sampleSize and sampleAlpha are the usual reservoir parameters, which weight the last five minutes.
const (
	sampleSize  = 1028
	sampleAlpha = 0.015
)

// hostMetrics are the counters and histograms of the request path. Histograms are in milliseconds.
type hostMetrics struct {
	registry metrics.Registry
	// forecastPercent has the times until the first events in percent of what was forecast, forecasts counts them, and forecastsRight
	// those that are within forecastTolerance.
	forecastPercent metrics.Histogram
	forecasts       metrics.Counter
	forecastsRight  metrics.Counter
	plainDuration   metrics.Histogram
	firstEvent      metrics.Histogram
	streamDuration  metrics.Histogram
	callersGone     metrics.Counter
	streamsCut      metrics.Counter
	streamsResumed  metrics.Counter
	copies          metrics.Counter
	copiesFailed    metrics.Counter
	// stops counts the runs that ended before their stream went on elsewhere, stopsRefused the orders to end one that a
	// target turned away.
	stops        metrics.Counter
	stopsRefused metrics.Counter
	// lostAnswers counts the runs that went on although their engine had closed the connection, and were ended then.
	lostAnswers metrics.Counter
	// abandonedLeft counts the runs that were left to their targets, as too many were being ended.
	abandonedLeft metrics.Counter
	retries       metrics.Counter
	// earlyEnds counts the requests whose target closed the connection before it began to answer, crashes those of them
	// whose target had crashed.
	earlyEnds metrics.Counter
	crashes   metrics.Counter
	// limits counts the responses that name a limit, heldOff the requests, polls and calls to engines that were not sent because
	// of one.
	limits  metrics.Counter
	heldOff metrics.Counter
	// departures and rests count what targets said of themselves, noticesIgnored what they said that means nothing, withdrawn
	// the requests that were not sent to the target chosen for them because of it.
	departures     metrics.Counter
	rests          metrics.Counter
	noticesIgnored metrics.Counter
	withdrawn      metrics.Counter
	// foreign counts the responses of targets that do not name the attempt they were sent for.
	foreign metrics.Counter
	// unframed counts the responses whose end only that of their connection shows.
	unframed metrics.Counter
	// probes counts the requests that were tried again although they were blamed for crashes.
	probes   metrics.Counter
	prefixes prefixMetrics
	// localBytes and remoteBytes count the bytes exchanged with targets in this host's data centre and in others.
	localBytes  metrics.Counter
	remoteBytes metrics.Counter
}

func newHostMetrics(r metrics.Registry) *hostMetrics {
	histogram := func(name string) metrics.Histogram {
		return metrics.NewRegisteredHistogram(name, r, metrics.NewExpDecaySample(sampleSize, sampleAlpha))
	}
	return &hostMetrics{
		registry: r, plainDuration: histogram("requests.plain_ms"), firstEvent: histogram("requests.first_event_ms"), streamDuration: histogram("requests.stream_ms"),
		callersGone: metrics.NewRegisteredCounter("requests.callers_gone", r), streamsCut: metrics.NewRegisteredCounter("streams.cut", r),
		streamsResumed: metrics.NewRegisteredCounter("streams.resumed", r), copies: metrics.NewRegisteredCounter("streams.copies", r),
		copiesFailed: metrics.NewRegisteredCounter("streams.copies_failed", r), retries: metrics.NewRegisteredCounter("requests.repeats", r),
		stops: metrics.NewRegisteredCounter("streams.stops", r), stopsRefused: metrics.NewRegisteredCounter("streams.stops_refused", r),
		lostAnswers: metrics.NewRegisteredCounter("streams.lost_answers", r), abandonedLeft: metrics.NewRegisteredCounter("streams.abandoned_left", r),
		earlyEnds: metrics.NewRegisteredCounter("targets.early_ends", r), crashes: metrics.NewRegisteredCounter("targets.crashes", r), probes: metrics.NewRegisteredCounter("requests.suspect_probes", r),
		departures: metrics.NewRegisteredCounter("targets.departures", r), rests: metrics.NewRegisteredCounter("targets.rests", r),
		noticesIgnored: metrics.NewRegisteredCounter("targets.notices_ignored", r), withdrawn: metrics.NewRegisteredCounter("requests.withdrawn", r),
		limits: metrics.NewRegisteredCounter("targets.limits", r), heldOff: metrics.NewRegisteredCounter("requests.held_off", r),
		prefixes: newPrefixMetrics(r),
		foreign:  metrics.NewRegisteredCounter("targets.foreign_responses", r), unframed: metrics.NewRegisteredCounter("targets.unframed_responses", r),
		forecastPercent: histogram("forecasts.seen_percent"), forecasts: metrics.NewRegisteredCounter("forecasts.compared", r), forecastsRight: metrics.NewRegisteredCounter("forecasts.right", r),
		localBytes: metrics.NewRegisteredCounter("targets.near_bytes", r), remoteBytes: metrics.NewRegisteredCounter("targets.far_bytes", r),
	}
}

func (m *hostMetrics) recordRefusal(r reason) {
	metrics.GetOrRegisterCounter("requests.refused."+string(r), m.registry).Inc(1)
}

func (m *hostMetrics) recordResponse(req *requestState, duration time.Duration) {
	if req.route.Kind == usherroute.Stream {
		m.streamDuration.Update(duration.Milliseconds())
		return
	}
	m.plainDuration.Update(duration.Milliseconds())
}

// serve writes all metrics as lines of text.
func (m *hostMetrics) serve(w http.ResponseWriter, _ *http.Request) {
	var lines []string
	m.registry.Each(func(name string, metric any) {
		switch v := metric.(type) {
		case metrics.Counter:
			lines = append(lines, fmt.Sprintf("%s %d", name, v.Count()))
		case metrics.Gauge:
			lines = append(lines, fmt.Sprintf("%s %d", name, v.Value()))
		case metrics.Histogram:
			s := v.Snapshot()
			p := s.Percentiles([]float64{0.5, 0.95, 0.99})
			lines = append(lines, fmt.Sprintf("%s.count %d", name, s.Count()), fmt.Sprintf("%s.p50 %.0f", name, p[0]),
				fmt.Sprintf("%s.p95 %.0f", name, p[1]), fmt.Sprintf("%s.p99 %.0f", name, p[2]), fmt.Sprintf("%s.max %d", name, s.Max()))
		}
	})
	sort.Strings(lines)
	w.Header().Set("Content-Type", "text/plain; charset=utf-8")
	for _, line := range lines {
		if _, err := fmt.Fprintln(w, line); err != nil {
			return
		}
	}
}
