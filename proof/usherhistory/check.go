package usherhistory

import (
	"bytes"
	"cmp"
	"fmt"
	"math"
	"slices"
	"strings"
	"time"

	"github.com/samphireusher/samphireusher/standin/usherengine"
)

// timeFormat is the format of times in violations: seconds and milliseconds.
const timeFormat = "05.000"

type (
	// Violation is a violation of a guarantee that the recording shows.
	Violation struct {
		Guarantee string
		Text      string
	}

	// start is the start of a generation at an engine.
	start struct {
		engine *Engine
		usherengine.GenerationRecord
	}

	// lateStart is a start at a target that is out of service, and the time since it should have received no new requests.
	lateStart struct {
		start
		after time.Duration
	}

	// index maps the mark of a request to what the targets ran for it.
	index struct {
		starts map[string][]start
		calls  map[string]int
	}

	checker struct {
		Recording
		index      index
		sendTimes  map[string][]time.Time
		violations []Violation
	}
)

// Check returns every violation that the recording shows.
func (r Recording) Check() []Violation {
	c := &checker{Recording: r, index: r.newIndex(), sendTimes: map[string][]time.Time{}}
	for _, o := range r.Observations {
		c.sendTimes[o.Mark] = append(c.sendTimes[o.Mark], o.SentAt)
	}
	for _, o := range r.Observations {
		c.checkObservation(o)
	}
	c.checkAtMostOnce()
	c.checkCold()
	c.checkOutOfService()
	c.checkConfiguration()
	c.checkLedger()
	return c.violations
}

// CheckPlannedStops returns every request that was in progress and did not complete, for a run in which nothing but
// planned stops happened. A resend after the gateway of its ID has stopped does not count as in progress: its outcome was
// lost with the process.
func (r Recording) CheckPlannedStops() []Violation {
	c := &checker{Recording: r, index: r.newIndex()}
	for _, o := range r.Observations {
		lost := o.Outcome == RanInPart || o.Outcome == Disconnected
		if o.Outcome == Unknown {
			lost = !o.AtMostOnce || c.startedDuring(o)
		}
		if lost {
			c.addViolation("planned stop", "%s at %s, sent %s, ended %s later as %s (%s) although nothing failed: %s",
				o.Mark, o.Gateway, o.SentAt.Format(timeFormat), o.EndedAt.Sub(o.SentAt), o.Outcome, o.Reason, o.Error)
		}
	}
	return c.violations
}

// startedDuring reports whether a service started the request of o while o was open.
func (c *checker) startedDuring(o Observation) bool {
	for _, s := range c.Services {
		for _, call := range s.Record.Calls {
			at := call.StartedAtMS
			if markIn(string(call.Parameters)) == o.Mark && at >= o.SentAt.UnixMilli() && at <= o.EndedAt.UnixMilli() {
				return true
			}
		}
	}
	return false
}

// String returns the violation as one line.
func (v Violation) String() string {
	return v.Guarantee + ": " + v.Text
}

func (c *checker) addViolation(guarantee, format string, arguments ...any) {
	c.violations = append(c.violations, Violation{guarantee, fmt.Sprintf(format, arguments...)})
}

// newIndex builds an index from the targets' records. In a prompt the mark ends at a comma; in a call it is a complete
// parameter.
func (r Recording) newIndex() index {
	x := index{starts: map[string][]start{}, calls: map[string]int{}}
	for i := range r.Engines {
		for _, g := range r.Engines[i].Record.Generations {
			mark := markIn(g.Prompt)
			x.starts[mark] = append(x.starts[mark], start{&r.Engines[i], g})
		}
	}
	for _, s := range r.Services {
		for _, op := range s.Record.Operations {
			x.calls[markIn(string(op.Parameters))] += op.Executions
		}
	}
	return x
}

// markIn returns the mark in a text, from "mark-" to the first comma, quotation mark, space or newline.
func markIn(text string) string {
	at := strings.Index(text, "mark-")
	if at < 0 {
		return ""
	}
	mark := text[at:]
	if end := strings.IndexAny(mark, ",\"\n "); end >= 0 {
		mark = mark[:end]
	}
	return mark
}

// executions returns how often the request of o ran. Calls count at any time, because all sends of a call have the same
// ID. A generation that is resent is a new request, so only starts from its send until the next one count.
func (c *checker) executions(o Observation) int {
	if !o.IsGeneration {
		return c.index.calls[o.Mark]
	}
	return len(c.startsOf(o))
}

// startsOf returns the starts of the generation that o requested, in order of time.
func (c *checker) startsOf(o Observation) []start {
	next := int64(math.MaxInt64)
	for _, other := range c.sendTimes[o.Mark] {
		if other.After(o.SentAt) {
			next = min(next, other.UnixMilli())
		}
	}
	starts := []start{}
	for _, s := range c.index.starts[o.Mark] {
		if s.StartedAtMS >= o.SentAt.UnixMilli() && s.StartedAtMS < next {
			starts = append(starts, s)
		}
	}
	slices.SortFunc(starts, compareStarts)
	return starts
}

func (c *checker) checkObservation(o Observation) {
	c.checkTokens(o)
	switch o.Outcome {
	case Completed:
		c.checkOwnResponse(o)
	case NotRun:
		if n := c.executions(o); n > 0 {
			c.addViolation("not run", "%s was refused by %s as not run (%s), but ran %d times", o.Mark, o.Gateway, o.Reason, n)
		}
		if len(o.Tokens) > 0 {
			c.addViolation("not run", "%s was refused as not run after %d tokens", o.Mark, len(o.Tokens))
		}
	case RanInPart, Unknown:
	case Unreachable:
		if !c.crashed(o) && !anyOverlaps(c.PlannedStops, o) {
			c.addViolation("reachable", "%s could not reach %s, which is running: %s", o.Mark, o.Gateway, o.Error)
		}
	default:
		c.checkDisconnected(o)
	}
	if !o.DisconnectedAt.IsZero() && !c.crashed(o) {
		c.addViolation("planned stop", "the stream of %s was disconnected at %s, which had not crashed", o.Mark, o.Gateway)
	}
}

// checkDisconnected allows a request to end without a response or refusal only if the gateway crashed, or if it stopped
// before it accepted the request: HTTP cannot tell a caller that the connection which it has just written to is closing.
// Such a request must not have run at all.
func (c *checker) checkDisconnected(o Observation) {
	if o.Outcome != Disconnected {
		c.addViolation("one response or refusal", "%s ended as %q", o.Mark, o.Outcome)
	}
	notAccepted := anyOverlaps(c.PlannedStops, o) && len(o.Tokens) == 0 && c.executions(o) == 0
	if !c.crashed(o) && !notAccepted {
		c.addViolation("one response or refusal", "%s, sent at %s, ended at %s without a response from %s, which had not crashed: %s",
			o.Mark, o.SentAt.Format("05.000"), o.EndedAt.Format("05.000"), o.Gateway, o.Error)
	}
}

func (c *checker) crashed(o Observation) bool {
	return anyOverlaps(c.Crashes, o)
}

func anyOverlaps(spans []Span, o Observation) bool {
	return slices.ContainsFunc(spans, func(s Span) bool { return s.Name == o.Gateway && s.overlaps(o.SentAt, o.EndedAt) })
}

// checkTokens checks that the tokens have no gap or repetition and all belong to one generation of the request.
func (c *checker) checkTokens(o Observation) {
	for i, token := range o.Tokens {
		if token.Index != i {
			c.addViolation("tokens once and in order", "%s: got token %d, want token %d", o.Mark, token.Index, i)
			return
		}
	}
	if len(o.Tokens) == 0 {
		return
	}
	if !slices.ContainsFunc(c.index.starts[o.Mark], func(s start) bool { return s.hasPrefix(o.Tokens) }) {
		c.addViolation("single generation", "%s: no generation of this request begins with its %d tokens", o.Mark, len(o.Tokens))
	}
}

func (s start) hasPrefix(tokens []Token) bool {
	generated, _ := s.engine.Config.Answer(s.GenerationID, s.Prompt, 0)
	if len(tokens) > len(generated) {
		return false
	}
	for i, token := range tokens {
		if token.Text != generated[i] {
			return false
		}
	}
	return true
}

func (s start) produced(text string) bool {
	generated, _ := s.engine.Config.Answer(s.GenerationID, s.Prompt, 0)
	return strings.Join(generated, "") == text
}

// checkOwnResponse checks that a complete response is that of a finished generation, or of a call, of the same request.
func (c *checker) checkOwnResponse(o Observation) {
	if !o.IsGeneration {
		if !bytes.Contains(o.Result, []byte(`"`+o.Mark+`"`)) {
			c.addViolation("own response", "%s got the response %s", o.Mark, o.Result)
		}
		return
	}
	if !slices.ContainsFunc(c.index.starts[o.Mark], func(s start) bool { return s.Finished && s.produced(o.Text) }) {
		c.addViolation("own response", "%s: its text of %d tokens is not that of a finished generation of this request",
			o.Mark, len(o.Tokens))
	}
}

func (c *checker) checkAtMostOnce() {
	once := map[string]bool{}
	for _, o := range c.Observations {
		if o.AtMostOnce {
			once[o.Mark] = true
		}
	}
	for mark, n := range c.index.calls {
		if once[mark] && n > 1 {
			c.addViolation("at most once", "%s ran %d times", mark, n)
		}
	}
}

func (c *checker) checkCold() {
	for _, e := range c.Engines {
		if peak := e.Record.PeakRunningCold; !e.TurnedCold && peak > e.ColdCapacity {
			c.addViolation("cold target", "%s has a cold capacity of %d and ran %d while cold", e.Name, e.ColdCapacity, peak)
		}
		for _, crash := range e.Record.Crashes {
			if !e.TurnedCold && crash.Reason == "cold_overload" {
				c.addViolation("cold target", "%s crashed due to its load while cold", e.Name)
			}
		}
	}
}

func (c *checker) checkOutOfService() {
	for _, late := range c.lateStarts() {
		if !c.fromStalledConnection(late.start) {
			c.addViolation("out of service", "%s started %s %s after it had to stop receiving new requests",
				late.engine.Name, late.GenerationID, late.after)
		}
	}
}

// StalledStarts returns the number of generations that started at targets out of service because of data from stalled
// connections.
func (r Recording) StalledStarts() int {
	count := 0
	for _, late := range r.lateStarts() {
		if r.fromStalledConnection(late.start) {
			count++
		}
	}
	return count
}

func (r Recording) lateStarts() []lateStart {
	late := []lateStart{}
	for i := range r.Engines {
		for _, span := range r.OutOfService {
			if span.Name != r.Engines[i].Name {
				continue
			}
			for _, g := range r.Engines[i].Record.Generations {
				if at := time.UnixMilli(g.StartedAtMS); span.overlaps(at, at) {
					late = append(late, lateStart{start{&r.Engines[i], g}, at.Sub(span.From)})
				}
			}
		}
	}
	return late
}

func (r Recording) fromStalledConnection(s start) bool {
	at := time.UnixMilli(s.StartedAtMS)
	return slices.ContainsFunc(r.StalledConnections, func(span Span) bool {
		return strings.HasPrefix(s.GenerationID, span.Name+"-") && span.overlaps(at, at)
	})
}

// compareStarts orders starts by time.
func compareStarts(x, y start) int {
	return cmp.Compare(x.StartedAtMS, y.StartedAtMS)
}
