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

// Sizes of the users' first letter, and how they divide into cells.
const (
	letterWorkspaces  = 47_000
	letterTargets     = 1200.0
	letterDataCentres = 13.0
	letterRequests    = 8100.0      // 1/s
	letterTokens      = 2_600_000.0 // 1/s
	letterChanges     = 4500.0      // 1/day
	letterStarts      = 252.0       // 1/day
	secondsPerDay     = 86_400.0

	cellSchedulers   = 9.0
	cellGateways     = 18.0
	cellTargets      = letterTargets / letterDataCentres
	daemons          = letterDataCentres * (cellSchedulers + cellGateways)
	tokenTime        = gapTarget / 1e3                                               // s
	streams          = letterTokens * tokenTime                                      // at once
	gatewayStreams   = streams / (letterDataCentres * cellGateways)                  // at once
	itemsPerProgress = streams / (letterDataCentres * cellGateways * cellSchedulers) // attempts of a gateway at a scheduler's targets
	requestsAt       = letterRequests / letterDataCentres                            // 1/s, of a data centre
	advertsPerSecond = 1.0
	reportsPerSecond = 5.0 // of a scheduler, however many targets it holds
	progressPerSec   = 1.0
	platformRate     = 2000.0 // 1/s
	mega, micro      = 1e6, 1e-6
)

//go:embed capacity.md.tmpl
var page string

type (
	// account has the slopes from which the page is worked out.
	account struct {
		Data
		notes string
	}

	// part is one contribution to what a daemon spends.
	part struct {
		name, mechanism, from    string
		processor, bytes, memory float64
	}
)

// Capacity writes the page of capacity. Notes describe the machine.
func (d Data) Capacity(w io.Writer, notes string) error {
	a := account{d, strings.TrimSpace(notes)}
	parsed, err := template.New("capacity").Funcs(template.FuncMap{
		"slopes": a.slopes, "scheduler": a.scheduler, "gateway": a.gateway, "reader": a.reader, "data": a.dataPath, "bounds": a.boundTable,
		"medians": a.medians, "notes": func() string { return a.notes }, "figure": a.named,
	}).Parse(page)
	if err != nil {
		return err
	}
	return parsed.Execute(w, nil)
}

func noWorkspaces(p m.Point) bool { return p.Workspaces == 10 }
func nineTargets(p m.Point) bool  { return noWorkspaces(p) && p.Targets == 12 }
func ninePeers(p m.Point) bool    { return noWorkspaces(p) && p.Peers == 9 }

func (a account) byPeers(measure string) Fit {
	return a.fit(series{m.Member, measure, "", nineTargets}, peers)
}

func (a account) byTargets(measure string) Fit {
	return a.fit(series{m.Member, measure, "", ninePeers}, targets)
}

func (a account) byGateways(measure string) Fit {
	return a.fit(series{m.Adverts, measure, "", nineTargets}, gateways)
}

func (a account) byItems(kind, measure string) Fit {
	return a.fit(series{m.Message, measure, kind, nil}, items)
}

func (a account) byFeeds(measure string) Fit {
	return a.fit(series{m.Feed, measure, "", noWorkspaces}, peers)
}

func (a account) byStreams(measure string) Fit {
	return a.fit(series{m.Streams, measure, m.Paced, nil}, func(p m.Point) float64 { return float64(p.Streams) })
}

func (a account) view(measure string) Fit {
	return a.fit(series{m.View, measure, "", nil}, workspaces)
}

func (a account) message(kind, measure string) float64 {
	return a.median(series{m.Message, measure, kind, nil}).Value
}

func (a account) traffic(by func(string) Fit) Fit {
	return by("sent").plus(by("received"))
}

// feedPart is what the configuration costs any daemon.
func (a account) feedPart() part {
	peersOfPlace := cellSchedulers + cellGateways - 1
	changed := a.median(series{m.View, "change_bytes", "", func(p m.Point) bool { return p.Workspaces == letterWorkspaces }}).Value
	return part{
		"configuration: feed, 47,000 workspaces", "versions spread between peers, shards by digest, workspaces kept encoded",
		"feed by peers; view by workspaces; change_bytes", a.byFeeds("processor").at(peersOfPlace),
		a.traffic(a.byFeeds).at(peersOfPlace) + changed*letterChanges/secondsPerDay, a.view("heap").at(letterWorkspaces),
	}
}

// schedulerParts are the costs of a scheduler.
func (a account) schedulerParts() []part {
	adverts, traffic := a.byGateways("processor"), a.traffic(a.byGateways)
	progress := cellGateways * progressPerSec
	perGrant := requestsAt / cellSchedulers
	return []part{
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
		a.feedPart(),
		{
			fmt.Sprintf("admission of %.0f requests a second (per request, not control)", perGrant), "acquire and finish, a stream each; decision over the cell's targets",
			"message/acquire, message/finish, decision by targets",
			(a.message("acquire", "receiver_processor") + a.message("finish", "receiver_processor") +
				a.fit(series{m.Decision, "processor", "", nil}, targets).at(cellTargets)) * perGrant * micro,
			(a.message("acquire", "receiver_bytes") + a.message("finish", "receiver_bytes")) * perGrant, 0,
		},
	}
}

// gatewayParts are the costs of a gateway, without its callers' data.
func (a account) gatewayParts() []part {
	held := cellTargets / cellSchedulers
	heard := cellSchedulers * advertsPerSecond
	adverts := a.byItems("advertise", "receiver_processor").at(held) * micro
	bytes := a.byItems("advertise", "receiver_bytes").at(held)
	progress := cellSchedulers * progressPerSec
	perRequest := requestsAt / cellGateways
	return []part{
		{
			"process with connections to 26 peers", "QUIC, a connection each way; its processor time is in the feed's", "feed by peers",
			0, 0, a.byFeeds("resident").at(cellSchedulers + cellGateways - 1),
		},
		{"advertisements of the 9 schedulers of the cell", "one datagram a scheduler and second", "message/advertise by items", adverts * heard, bytes * heard, 0},
		{
			fmt.Sprintf("progress to 9 schedulers, %.0f attempts each", itemsPerProgress), "one message a scheduler and second with all that runs, two numbers each", "message/progress by items",
			a.byItems("progress", "sender_processor").at(itemsPerProgress) * progress * micro, a.byItems("progress", "sender_bytes").at(itemsPerProgress) * progress, 0,
		},
		a.feedPart(),
		{
			fmt.Sprintf("admission of %.0f requests a second (per request, not control)", perRequest), "acquire and finish, a stream each", "message/acquire, message/finish",
			(a.message("acquire", "sender_processor") + a.message("finish", "sender_processor")) * perRequest * micro,
			(a.message("acquire", "sender_bytes") + a.message("finish", "sender_bytes")) * perRequest, 0,
		},
	}
}

func (a account) scheduler() string { return partTable(a.schedulerParts()) }
func (a account) gateway() string   { return partTable(a.gatewayParts()) }

func partTable(parts []part) string {
	var b strings.Builder
	b.WriteString("| what | mechanism | benchmark | of a core | KB/s both ways | MB |\n|---|---|---|---|---|---|\n")
	sum := part{}
	for _, p := range parts {
		fmt.Fprintf(&b, "| %s | %s | %s | %s | %s | %s |\n", p.name, p.mechanism, p.from, percent(p.processor), kilo(p.bytes), number(p.memory))
		if strings.Contains(p.name, "not control") {
			continue
		}
		sum.add(p)
	}
	fmt.Fprintf(&b, "| **control** | | | **%s** | **%s** | **%s** |\n", percent(sum.processor), kilo(sum.bytes), number(sum.memory))
	fmt.Fprintf(&b, "| target | | | %s | %s | %s |\n", percent(processorTarget), kilo(bytesTarget), number(memoryTarget))
	return b.String()
}

func (p *part) add(other part) {
	p.processor += other.processor
	p.bytes += other.bytes
	p.memory += other.memory
}

// reader is the account of who reads the platform.
func (a account) reader() string {
	at := func(p m.Point) bool { return p.Workspaces == letterWorkspaces }
	calls := a.median(series{m.Feed, "platform_calls", "", at}).Value
	values := a.median(series{m.View, "values", "", at}).Value
	bytes := a.median(series{m.View, "start_bytes", "", at}).Value
	start := a.median(series{m.View, "start_time", "", at}).Value
	force := a.median(series{m.Feed, "change_in_force", "", at})
	var b strings.Builder
	b.WriteString("| what | figure | limit |\n|---|---|---|\n")
	fmt.Fprintf(&b, "| calls a second of a data centre of 27 at rest | %s | |\n", number(calls))
	fmt.Fprintf(&b, "| calls a second of 13 data centres at rest | %s | %s |\n", number(calls*letterDataCentres), number(platformRate))
	fmt.Fprintf(&b, "| values of 47,000 workspaces | %s | |\n", number(values))
	fmt.Fprintf(&b, "| bytes of a start from nothing | %s MB | |\n", number(bytes/mega))
	fmt.Fprintf(&b, "| of these, a second, %s starts a day over the fleet | %s KB/s | |\n", number(letterStarts), kilo(bytes*letterStarts/secondsPerDay))
	fmt.Fprintf(&b, "| assembling a start from nothing | %s ms | |\n", number(start))
	fmt.Fprintf(&b, "| a change in force on all 27 feeds | %s s (%s to %s, %d changes) | %s s |\n", number(force.Value), number(force.Least), number(force.Most), force.Count, number(changeTarget))
	return b.String()
}

// dataPath is the account of relaying tokens, which is no control.
func (a account) dataPath() string {
	token := a.median(series{m.Relay, "relay_processor", m.Paced, nil})
	plain := a.median(series{m.Relay, "copy_processor", m.Paced, nil})
	gateways := cellGateways * letterDataCentres
	var b strings.Builder
	b.WriteString("| what | figure |\n|---|---|\n")
	fmt.Fprintf(&b, "| processor time of a token, 36 ms apart, 200 streams | %s us (%s to %s, %d runs); a bare copy %s us |\n",
		number(token.Value), number(token.Least), number(token.Most), token.Count, number(plain.Value))
	fmt.Fprintf(&b, "| streams at once, at 36 ms a token | %s, %s a gateway |\n", number(streams), number(gatewayStreams))
	fmt.Fprintf(&b, "| memory of %s streams | %s MB of heap |\n", number(gatewayStreams), number(a.byStreams("heap").Slope*gatewayStreams))
	fmt.Fprintf(&b, "| cores of the fleet for 2.6 million tokens a second | %s |\n", number(letterTokens*token.Value*micro))
	fmt.Fprintf(&b, "| cores of each of %.0f gateways | %s |\n", gateways, number(letterTokens*token.Value*micro/gateways))
	return b.String()
}

// slopes is the table of lines.
func (a account) slopes() string {
	var b strings.Builder
	b.WriteString("| benchmark | over | unit | at nothing | each | sizes | repetitions | noise |\n|---|---|---|---|---|---|---|---|\n")
	row := func(name, over, unit string, f Fit) {
		fmt.Fprintf(&b, "| %s | %s | %s | %s | %s | %v | %d | %s |\n", name, over, unit, number(f.Intercept), number(f.Slope), f.Sizes, f.Count, number(f.Noise))
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

// medians is the table of figures that are no slopes.
func (a account) medians() string {
	var b strings.Builder
	b.WriteString("| benchmark | figure | median | least to most | repetitions |\n|---|---|---|---|---|\n")
	row := func(s series, unit string) {
		v := a.median(s)
		name := string(s.benchmark)
		if s.variant != "" {
			name += "/" + s.variant
		}
		fmt.Fprintf(&b, "| %s | %s, %s | %s | %s to %s | %d |\n", name, s.measure, unit, number(v.Value), number(v.Least), number(v.Most), v.Count)
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

// boundTable compares figures with targets.
func (a account) boundTable() string {
	var b strings.Builder
	b.WriteString("| figure | measured | least to most | at most | |\n|---|---|---|---|---|\n")
	for _, x := range a.bounds() {
		verdict := "met"
		switch {
		case math.IsNaN(x.value):
			verdict = "**not measured**"
		case x.value > x.most:
			verdict = "**missed**"
		}
		fmt.Fprintf(&b, "| %s | %s %s | %s to %s | %s | %s |\n", x.name, number(x.value), x.unit, number(x.spread.Least), number(x.spread.Most), number(x.most), verdict)
	}
	return b.String()
}

// named returns a figure for the page's sentences.
func (a account) named(name string) string {
	switch name {
	case "change_bytes":
		return kilo(a.median(series{m.View, "change_bytes", "", func(p m.Point) bool { return p.Workspaces == letterWorkspaces }}).Value)
	case "progress_bytes":
		return number(a.byItems("progress", "sender_bytes").Slope)
	case "progress_call":
		return number(a.byItems("progress", "receiver_bytes").Intercept)
	case "progress_time":
		return number(a.byItems("progress", "receiver_processor").Intercept)
	case "decision_slope":
		return number(a.fit(series{m.Decision, "processor", "", nil}, targets).Slope)
	case "takeover":
		return number(a.median(series{m.Fleet, "takeover", "", nil}).Value)
	case "out":
		return number(a.median(series{m.Fleet, "out_until_nothing", "", nil}).Value)
	case "peers":
		return number(bytesTarget / a.traffic(a.byPeers).Slope)
	default:
		return "?"
	}
}

func percent(share float64) string { return number(share*100) + "%" }
func kilo(bytes float64) string    { return number(bytes / 1e3) }

func number(v float64) string {
	if math.IsNaN(v) {
		return "not measured"
	}
	if math.Abs(v) >= 1000 {
		return fmt.Sprintf("%.0f", v)
	}
	return fmt.Sprintf("%.3g", v)
}
