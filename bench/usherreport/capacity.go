package usherreport

import (
	_ "embed"
	"fmt"
	"io"
	"math"
	"strings"
	"text/template"

	m "github.com/samphireusher/samphireusher/bench/ushermeasure"
)

// Sizes from the users' requirements, and their division into cells.
const (
	requiredWorkspaces  = 47_000
	requiredTargets     = 1200.0
	requiredDataCentres = 13.0
	requiredRequestRate = 8100.0      // 1/s
	requiredTokenRate   = 2_600_000.0 // 1/s
	requiredChangeRate  = 4500.0      // 1/day
	requiredStartRate   = 252.0       // 1/day
	secondsPerDay       = 86_400.0

	cellSchedulers        = 9.0
	cellGateways          = 18.0
	cellTargets           = requiredTargets / requiredDataCentres
	daemons               = requiredDataCentres * (cellSchedulers + cellGateways)
	tokenTime             = gapTarget / 1e3                                                 // s
	streams               = requiredTokenRate * tokenTime                                   // at once
	gatewayStreams        = streams / (requiredDataCentres * cellGateways)                  // at once
	itemsPerProgress      = streams / (requiredDataCentres * cellGateways * cellSchedulers) // attempts of a gateway at one scheduler's targets
	requestsPerDataCentre = requiredRequestRate / requiredDataCentres                       // 1/s, of a data centre
	advertsPerSecond      = 1.0
	reportsPerSecond      = 5.0 // per scheduler, whatever the number of its targets
	progressPerSecond     = 1.0
	platformRate          = 2000.0 // 1/s
	mega, micro           = 1e6, 1e-6
)

//go:embed capacity.md.tmpl
var pageTemplate string

type (
	// capacityReport computes the tables and figures of the capacity report from the records.
	capacityReport struct {
		Data
		notes string
	}

	// costItem is one contribution to the processor time, traffic and memory of a daemon.
	costItem struct {
		name, mechanism, benchmark string
		processor, bytes, memory   float64
	}
)

// Capacity writes the capacity report. The notes describe the machine and the run.
func (d Data) Capacity(w io.Writer, notes string) error {
	a := capacityReport{d, strings.TrimSpace(notes)}
	parsed, err := template.New("capacity").Funcs(template.FuncMap{
		"slopes": a.slopeTable, "scheduler": a.schedulerTable, "gateway": a.gatewayTable, "reader": a.readerTable, "data": a.dataPathTable, "bounds": a.boundTable,
		"medians": a.medianTable, "notes": func() string { return a.notes }, "figure": a.figureByName,
	}).Parse(pageTemplate)
	if err != nil {
		return err
	}
	return parsed.Execute(w, nil)
}

func fewWorkspaces(p m.Point) bool { return p.Workspaces == 10 }
func twelveTargets(p m.Point) bool { return fewWorkspaces(p) && p.Targets == 12 }
func ninePeers(p m.Point) bool     { return fewWorkspaces(p) && p.Peers == 9 }

func (a capacityReport) byPeers(measure string) Fit {
	return a.fit(series{m.Member, measure, "", twelveTargets}, peers)
}

func (a capacityReport) byTargets(measure string) Fit {
	return a.fit(series{m.Member, measure, "", ninePeers}, targets)
}

func (a capacityReport) byGateways(measure string) Fit {
	return a.fit(series{m.Adverts, measure, "", twelveTargets}, gateways)
}

func (a capacityReport) byItems(kind, measure string) Fit {
	return a.fit(series{m.Message, measure, kind, nil}, items)
}

func (a capacityReport) byFeeds(measure string) Fit {
	return a.fit(series{m.Feed, measure, "", fewWorkspaces}, peers)
}

func (a capacityReport) byStreams(measure string) Fit {
	return a.fit(series{m.Streams, measure, m.Paced, nil}, func(p m.Point) float64 { return float64(p.Streams) })
}

func (a capacityReport) view(measure string) Fit {
	return a.fit(series{m.View, measure, "", nil}, workspaces)
}

func (a capacityReport) message(kind, measure string) float64 {
	return a.median(series{m.Message, measure, kind, nil}).Value
}

func (a capacityReport) traffic(by func(string) Fit) Fit {
	return by("sent").plus(by("received"))
}

// feedCost returns the cost of the configuration to a daemon.
func (a capacityReport) feedCost() costItem {
	peersOfDataCentre := cellSchedulers + cellGateways - 1
	changed := a.median(series{m.View, "change_bytes", "", func(p m.Point) bool { return p.Workspaces == requiredWorkspaces }}).Value
	return costItem{
		"configuration: feed, 47,000 workspaces", "versions spread between peers, shards by digest, workspaces kept encoded",
		"feed by peers; view by workspaces; change_bytes", a.byFeeds("processor").at(peersOfDataCentre),
		a.traffic(a.byFeeds).at(peersOfDataCentre) + changed*requiredChangeRate/secondsPerDay, a.view("heap").at(requiredWorkspaces),
	}
}

// schedulerCosts returns the costs of a scheduler.
func (a capacityReport) schedulerCosts() []costItem {
	adverts, traffic := a.byGateways("processor"), a.traffic(a.byGateways)
	progress := cellGateways * progressPerSecond
	requestsPerScheduler := requestsPerDataCentre / cellSchedulers
	return []costItem{
		{
			"process and loop, heartbeats to 8 peers, 92 targets", "one datagram a peer and second with bitmaps over the list; the core sleeps until something is due",
			"member by peers and by targets", a.byPeers("processor").at(cellSchedulers-1) + a.byTargets("processor").Slope*(cellTargets-12),
			a.traffic(a.byPeers).at(cellSchedulers - 1), a.byPeers("resident").at(cellSchedulers - 1),
		},
		{
			"advertisements to the 18 gateways of the cell", "one datagram a gateway and second, held targets by keys of 4 bytes", "adverts by gateways",
			adverts.Slope * cellGateways, traffic.Slope * cellGateways, a.byGateways("resident").Slope * cellGateways,
		},
		{
			fmt.Sprintf("progress from 18 gateways, %.0f attempts each", itemsPerProgress), "one message a gateway and second with all that runs, two numbers each", "message/progress by items",
			a.byItems("progress", "receiver_processor").at(itemsPerProgress) * progress * micro, a.byItems("progress", "receiver_bytes").at(itemsPerProgress) * progress, 0,
		},
		{
			fmt.Sprintf("load reports, %.0f a second", reportsPerSecond), "HTTP on a kept connection, by who holds a vote; warm targets share that rate", "report",
			a.median(series{m.Report, "reader_processor", "", nil}).Value * reportsPerSecond * micro, a.median(series{m.Report, "reader_bytes", "", nil}).Value * reportsPerSecond, 0,
		},
		a.feedCost(),
		{
			fmt.Sprintf("admission of %.0f requests a second (per request, not control)", requestsPerScheduler), "acquire and finish, a stream each; decision over the cell's targets",
			"message/acquire, message/finish, decision by targets",
			(a.message("acquire", "receiver_processor") + a.message("finish", "receiver_processor") +
				a.fit(series{m.Decision, "processor", "", nil}, targets).at(cellTargets)) * requestsPerScheduler * micro,
			(a.message("acquire", "receiver_bytes") + a.message("finish", "receiver_bytes")) * requestsPerScheduler, 0,
		},
	}
}

// gatewayCosts returns the costs of a gateway without those of relaying tokens.
func (a capacityReport) gatewayCosts() []costItem {
	held := cellTargets / cellSchedulers
	advertsReceived := cellSchedulers * advertsPerSecond
	adverts := a.byItems("advertise", "receiver_processor").at(held) * micro
	bytes := a.byItems("advertise", "receiver_bytes").at(held)
	progress := cellSchedulers * progressPerSecond
	requestsPerGateway := requestsPerDataCentre / cellGateways
	return []costItem{
		{
			"process with connections to 26 peers", "QUIC, a connection each way; its processor time is in the feed's", "feed by peers",
			0, 0, a.byFeeds("resident").at(cellSchedulers + cellGateways - 1),
		},
		{"advertisements of the 9 schedulers of the cell", "one datagram a scheduler and second", "message/advertise by items", adverts * advertsReceived, bytes * advertsReceived, 0},
		{
			fmt.Sprintf("progress to 9 schedulers, %.0f attempts each", itemsPerProgress), "one message a scheduler and second with all that runs, two numbers each", "message/progress by items",
			a.byItems("progress", "sender_processor").at(itemsPerProgress) * progress * micro, a.byItems("progress", "sender_bytes").at(itemsPerProgress) * progress, 0,
		},
		a.feedCost(),
		{
			fmt.Sprintf("admission of %.0f requests a second (per request, not control)", requestsPerGateway), "acquire and finish, a stream each", "message/acquire, message/finish",
			(a.message("acquire", "sender_processor") + a.message("finish", "sender_processor")) * requestsPerGateway * micro,
			(a.message("acquire", "sender_bytes") + a.message("finish", "sender_bytes")) * requestsPerGateway, 0,
		},
	}
}

func (a capacityReport) schedulerTable() string { return costTable(a.schedulerCosts()) }
func (a capacityReport) gatewayTable() string   { return costTable(a.gatewayCosts()) }

func costTable(items []costItem) string {
	var b strings.Builder
	b.WriteString("| what | mechanism | benchmark | of a core | KB/s both ways | MB |\n|---|---|---|---|---|---|\n")
	sum := costItem{}
	for _, p := range items {
		fmt.Fprintf(&b, "| %s | %s | %s | %s | %s | %s |\n", p.name, p.mechanism, p.benchmark, formatPercent(p.processor), formatKB(p.bytes), formatNumber(p.memory))
		if strings.Contains(p.name, "not control") {
			continue
		}
		sum.add(p)
	}
	fmt.Fprintf(&b, "| **control** | | | **%s** | **%s** | **%s** |\n", formatPercent(sum.processor), formatKB(sum.bytes), formatNumber(sum.memory))
	fmt.Fprintf(&b, "| target | | | %s | %s | %s |\n", formatPercent(processorTarget), formatKB(bytesTarget), formatNumber(memoryTarget))
	return b.String()
}

func (p *costItem) add(other costItem) {
	p.processor += other.processor
	p.bytes += other.bytes
	p.memory += other.memory
}

// readerTable returns the table on the platform's readers.
func (a capacityReport) readerTable() string {
	at := func(p m.Point) bool { return p.Workspaces == requiredWorkspaces }
	calls := a.median(series{m.Feed, "platform_calls", "", at}).Value
	values := a.median(series{m.View, "values", "", at}).Value
	bytes := a.median(series{m.View, "start_bytes", "", at}).Value
	start := a.median(series{m.View, "start_time", "", at}).Value
	force := a.median(series{m.Feed, "change_in_force", "", at})
	var b strings.Builder
	b.WriteString("| what | figure | limit |\n|---|---|---|\n")
	fmt.Fprintf(&b, "| calls a second of a data centre of 27 at rest | %s | |\n", formatNumber(calls))
	fmt.Fprintf(&b, "| calls a second of 13 data centres at rest | %s | %s |\n", formatNumber(calls*requiredDataCentres), formatNumber(platformRate))
	fmt.Fprintf(&b, "| values of 47,000 workspaces | %s | |\n", formatNumber(values))
	fmt.Fprintf(&b, "| bytes of a start from nothing | %s MB | |\n", formatNumber(bytes/mega))
	fmt.Fprintf(&b, "| of these, a second, %s starts a day over the fleet | %s KB/s | |\n", formatNumber(requiredStartRate), formatKB(bytes*requiredStartRate/secondsPerDay))
	fmt.Fprintf(&b, "| assembling a start from nothing | %s ms | |\n", formatNumber(start))
	fmt.Fprintf(&b, "| a change in force on all 27 feeds | %s s (%s to %s, %d changes) | %s s |\n", formatNumber(force.Value), formatNumber(force.Min), formatNumber(force.Max), force.Count, formatNumber(changeTarget))
	return b.String()
}

// dataPathTable returns the table on relaying tokens, which does not count as control traffic.
func (a capacityReport) dataPathTable() string {
	token := a.median(series{m.Relay, "relay_processor", m.Paced, nil})
	plain := a.median(series{m.Relay, "copy_processor", m.Paced, nil})
	gateways := cellGateways * requiredDataCentres
	var b strings.Builder
	b.WriteString("| what | figure |\n|---|---|\n")
	fmt.Fprintf(&b, "| processor time of a token, 36 ms apart, 200 streams | %s us (%s to %s, %d runs); a bare copy %s us |\n",
		formatNumber(token.Value), formatNumber(token.Min), formatNumber(token.Max), token.Count, formatNumber(plain.Value))
	fmt.Fprintf(&b, "| streams at once, at 36 ms a token | %s, %s a gateway |\n", formatNumber(streams), formatNumber(gatewayStreams))
	fmt.Fprintf(&b, "| memory of %s streams | %s MB of heap |\n", formatNumber(gatewayStreams), formatNumber(a.byStreams("heap").Slope*gatewayStreams))
	fmt.Fprintf(&b, "| cores of the fleet for 2.6 million tokens a second | %s |\n", formatNumber(requiredTokenRate*token.Value*micro))
	fmt.Fprintf(&b, "| cores of each of %.0f gateways | %s |\n", gateways, formatNumber(requiredTokenRate*token.Value*micro/gateways))
	return b.String()
}

// slopeTable returns the table of regression lines.
func (a capacityReport) slopeTable() string {
	var b strings.Builder
	b.WriteString("| benchmark | over | unit | at nothing | each | sizes | repetitions | noise |\n|---|---|---|---|---|---|---|---|\n")
	row := func(name, over, unit string, f Fit) {
		fmt.Fprintf(&b, "| %s | %s | %s | %s | %s | %v | %d | %s |\n", name, over, unit, formatNumber(f.Intercept), formatNumber(f.Slope), f.Sizes, f.Count, formatNumber(f.Noise))
	}
	row("member, sent and received", "peers", "B/s", a.traffic(a.byPeers))
	row("member, processor", "peers", "core", a.byPeers("processor"))
	row("member, heap", "peers", "MB", a.byPeers("heap"))
	row("member, resident", "peers", "MB", a.byPeers("resident"))
	row("member, sent and received", "targets", "B/s", a.traffic(a.byTargets))
	row("member, processor", "targets", "core", a.byTargets("processor"))
	row("member, heap", "targets", "MB", a.byTargets("heap"))
	row("adverts, sent and received", "gateways", "B/s", a.traffic(a.byGateways))
	row("adverts, processor", "gateways", "core", a.byGateways("processor"))
	row("adverts, resident", "gateways", "MB", a.byGateways("resident"))
	row("message/advertise, bytes", "targets held", "B", a.byItems("advertise", "receiver_bytes"))
	row("message/advertise, receiver", "targets held", "us", a.byItems("advertise", "receiver_processor"))
	row("message/progress, bytes", "attempts", "B", a.byItems("progress", "sender_bytes"))
	row("message/progress, sender", "attempts", "us", a.byItems("progress", "sender_processor"))
	row("message/progress, receiver", "attempts", "us", a.byItems("progress", "receiver_processor"))
	row("feed, sent and received", "peers", "B/s", a.traffic(a.byFeeds))
	row("feed, processor", "peers", "core", a.byFeeds("processor"))
	row("feed, resident", "peers", "MB", a.byFeeds("resident"))
	row("streams, heap", "streams", "MB", a.byStreams("heap"))
	row("view, heap", "workspaces", "MB", a.view("heap"))
	row("view, start", "workspaces", "ms", a.view("start_time"))
	row("view, processor of a change", "workspaces", "ms", a.view("change_processor"))
	row("decision, processor", "targets", "us", a.fit(series{m.Decision, "processor", "", nil}, targets))
	return b.String()
}

// medianTable returns the table of the measures that have no regression line.
func (a capacityReport) medianTable() string {
	var b strings.Builder
	b.WriteString("| benchmark | figure | median | least to most | repetitions |\n|---|---|---|---|---|\n")
	row := func(s series, unit string) {
		v := a.median(s)
		name := string(s.benchmark)
		if s.variant != "" {
			name += "/" + s.variant
		}
		fmt.Fprintf(&b, "| %s | %s, %s | %s | %s to %s | %d |\n", name, s.measure, unit, formatNumber(v.Value), formatNumber(v.Min), formatNumber(v.Max), v.Count)
	}
	for _, kind := range []string{"acquire", "finish"} {
		for _, side := range []string{"sender", "receiver"} {
			row(series{m.Message, side + "_processor", kind, nil}, "us a message")
		}
		row(series{m.Message, "sender_bytes", kind, nil}, "B a message and its answer")
	}
	row(series{m.Report, "reader_processor", "", nil}, "us a report")
	row(series{m.Report, "reader_bytes", "", nil}, "B a report")
	for _, variant := range []string{m.Fast, m.Paced} {
		for _, measure := range []string{"copy_processor", "relay_processor"} {
			row(series{m.Relay, measure, variant, nil}, "us a token")
		}
		row(series{m.Relay, "processor_ratio", variant, nil}, "times")
		row(series{m.Relay, "extra_allocations", variant, nil}, "a token")
	}
	for _, measure := range []string{"direct_first_p99", "relay_first_p99", "direct_gap_p99", "relay_gap_p99", "added_first_p99", "added_first_median", "added_gap_p99"} {
		row(series{m.Latency, measure, m.Paced, nil}, "ms")
	}
	return b.String()
}

// boundTable returns the table of measures and their bounds.
func (a capacityReport) boundTable() string {
	var b strings.Builder
	b.WriteString("| figure | measured | least to most | at most | |\n|---|---|---|---|---|\n")
	for _, x := range a.bounds() {
		verdict := "met"
		switch {
		case math.IsNaN(x.value):
			verdict = "**not measured**"
		case x.value > x.max:
			verdict = "**missed**"
		}
		fmt.Fprintf(&b, "| %s | %s %s | %s to %s | %s | %s |\n", x.name, formatNumber(x.value), x.unit, formatNumber(x.spread.Min), formatNumber(x.spread.Max), formatNumber(x.max), verdict)
	}
	return b.String()
}

// figureByName returns a figure that the template's text refers to.
func (a capacityReport) figureByName(name string) string {
	switch name {
	case "change_bytes":
		return formatKB(a.median(series{m.View, "change_bytes", "", func(p m.Point) bool { return p.Workspaces == requiredWorkspaces }}).Value)
	case "progress_bytes":
		return formatNumber(a.byItems("progress", "sender_bytes").Slope)
	case "progress_call":
		return formatNumber(a.byItems("progress", "receiver_bytes").Intercept)
	case "progress_time":
		return formatNumber(a.byItems("progress", "receiver_processor").Intercept)
	case "decision_slope":
		return formatNumber(a.fit(series{m.Decision, "processor", "", nil}, targets).Slope)
	case "takeover":
		return formatNumber(a.median(series{m.Fleet, "takeover", "", nil}).Value)
	case "out":
		return formatNumber(a.median(series{m.Fleet, "out_until_nothing", "", nil}).Value)
	case "peers":
		return formatNumber(bytesTarget / a.traffic(a.byPeers).Slope)
	default:
		return "?"
	}
}

func formatPercent(share float64) string { return formatNumber(share*100) + "%" }
func formatKB(bytes float64) string      { return formatNumber(bytes / 1e3) }

func formatNumber(v float64) string {
	if math.IsNaN(v) {
		return "not measured"
	}
	if math.Abs(v) >= 1000 {
		return fmt.Sprintf("%.0f", v)
	}
	return fmt.Sprintf("%.3g", v)
}
