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

// clock is how times of day are written.
const clock = "05.000"

type (
	// Violation is one promise that the history shows broken.
	Violation struct {
		Guarantee string
		Text      string
	}

	// start is one start of a generation at an engine.
	start struct {
		engine *Engine
		usherengine.GenerationRecord
	}

	// lateStart is a start at a target that should have had nothing new, and for how long.
	lateStart struct {
		start
		after time.Duration
	}

	// index finds what targets ran by the mark of a request.
	index struct {
		starts map[string][]start
		calls  map[string]int
	}

	checker struct {
		Recording
		index      index
		sendings   map[string][]time.Time
		violations []Violation
	}
)

// Check returns every violation that the history shows.
func (e Recording) Check() []Violation {
	c := &checker{Recording: e, index: e.newIndex(), sendings: map[string][]time.Time{}}
	for _, a := range e.Observations {
		c.sendings[a.Mark] = append(c.sendings[a.Mark], a.SentAt)
	}
	for _, a := range e.Observations {
		c.checkAnswer(a)
	}
	c.checkAtMostOnce()
	c.checkCold()
	c.checkClosed()
	c.checkConfiguration()
	c.checkLedger()
	return c.violations
}

// CheckPlannedStops returns every request that did not end whole although it was in progress and only planned stops
// happened. A resend after the gateway of its id has left is no request in progress: its outcome is gone with the process.
func (e Recording) CheckPlannedStops() []Violation {
	c := &checker{Recording: e, index: e.newIndex()}
	for _, a := range e.Observations {
		cut := a.Outcome == RanInPart || a.Outcome == Disconnected
		if a.Outcome == Unknown {
			cut = !a.AtMostOnce || c.calledDuring(a)
		}
		if cut {
			c.violated("planned stop", "%s at %s, sent %s, ended %s later as %s (%s) although nothing failed: %s",
				a.Mark, a.Gateway, a.SentAt.Format(clock), a.EndedAt.Sub(a.SentAt), a.Outcome, a.Reason, a.Error)
		}
	}
	return c.violations
}

// calledDuring reports whether a service began the request of a while a was open.
func (c *checker) calledDuring(a Observation) bool {
	for _, s := range c.Services {
		for _, call := range s.Record.Calls {
			at := call.StartedAtMS
			if markIn(string(call.Parameters)) == a.Mark && at >= a.SentAt.UnixMilli() && at <= a.EndedAt.UnixMilli() {
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

func (c *checker) violated(promise, format string, arguments ...any) {
	c.violations = append(c.violations, Violation{promise, fmt.Sprintf(format, arguments...)})
}

// newIndex reads the targets' records once. A mark is ended by a comma in a prompt, and is a whole parameter of a call.
func (e Recording) newIndex() index {
	x := index{starts: map[string][]start{}, calls: map[string]int{}}
	for i := range e.Engines {
		for _, g := range e.Engines[i].Record.Generations {
			mark := markIn(g.Prompt)
			x.starts[mark] = append(x.starts[mark], start{&e.Engines[i], g})
		}
	}
	for _, s := range e.Services {
		for _, o := range s.Record.Operations {
			x.calls[markIn(string(o.Parameters))] += o.Executions
		}
	}
	return x
}

// markIn returns the mark that a text has, from "mark-" to the first byte that is no part of it.
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

// ran returns how often the request of a ran: a call at any time, for its sendings have one id. A generation that is sent
// again is a new request, which runs from its sending to the next one.
func (c *checker) ran(a Observation) int {
	if !a.IsGeneration {
		return c.index.calls[a.Mark]
	}
	return len(c.startsOf(a))
}

// startsOf returns the starts of the generation that a asked for, the first one first.
func (c *checker) startsOf(a Observation) []start {
	next := int64(math.MaxInt64)
	for _, other := range c.sendings[a.Mark] {
		if other.After(a.SentAt) {
			next = min(next, other.UnixMilli())
		}
	}
	own := []start{}
	for _, s := range c.index.starts[a.Mark] {
		if s.StartedAtMS >= a.SentAt.UnixMilli() && s.StartedAtMS < next {
			own = append(own, s)
		}
	}
	slices.SortFunc(own, byStart)
	return own
}

func (c *checker) checkAnswer(a Observation) {
	c.checkTokens(a)
	switch a.Outcome {
	case Completed:
		c.checkOwn(a)
	case NotRun:
		if n := c.ran(a); n > 0 {
			c.violated("not run", "%s was refused by %s as not run (%s), but ran %d times", a.Mark, a.Gateway, a.Reason, n)
		}
		if len(a.Tokens) > 0 {
			c.violated("not run", "%s was refused as not run after %d tokens", a.Mark, len(a.Tokens))
		}
	case RanInPart, Unknown:
	case Unreachable:
		if !c.died(a) && !within(c.PlannedStops, a) {
			c.violated("reachable", "%s could not reach %s, which runs: %s", a.Mark, a.Gateway, a.Error)
		}
	default:
		c.checkBroken(a)
	}
	if !a.DisconnectedAt.IsZero() && !c.died(a) {
		c.violated("planned stop", "the stream of %s broke off at %s, which had not died", a.Mark, a.Gateway)
	}
}

// checkBroken allows an end without a word only where the gateway died, or where it had stopped before it accepted the
// request: HTTP cannot tell a caller that the connection which it just wrote to is ending. Nothing of such a request may
// have run.
func (c *checker) checkBroken(a Observation) {
	if a.Outcome != Disconnected {
		c.violated("one answer or refusal", "%s ended as %q", a.Mark, a.Outcome)
	}
	notAccepted := within(c.PlannedStops, a) && len(a.Tokens) == 0 && c.ran(a) == 0
	if !c.died(a) && !notAccepted {
		c.violated("one answer or refusal", "%s, sent at %s, ended at %s without an answer at %s, which had not died: %s",
			a.Mark, a.SentAt.Format("05.000"), a.EndedAt.Format("05.000"), a.Gateway, a.Error)
	}
}

func (c *checker) died(a Observation) bool {
	return within(c.Crashes, a)
}

func within(spans []Span, a Observation) bool {
	return slices.ContainsFunc(spans, func(s Span) bool { return s.Name == a.Gateway && s.covers(a.SentAt, a.EndedAt) })
}

// checkTokens wants tokens without a gap or repeat, and all from one generation of the request's own.
func (c *checker) checkTokens(a Observation) {
	for i, token := range a.Tokens {
		if token.Index != i {
			c.violated("tokens once and in order", "%s: token %d came where %d was due", a.Mark, token.Index, i)
			return
		}
	}
	if len(a.Tokens) == 0 {
		return
	}
	if !slices.ContainsFunc(c.index.starts[a.Mark], func(s start) bool { return s.begins(a.Tokens) }) {
		c.violated("single generation", "%s: no generation of its own begins with its %d tokens", a.Mark, len(a.Tokens))
	}
}

func (s start) begins(tokens []Token) bool {
	made, _ := s.engine.Config.Answer(s.GenerationID, s.Prompt, 0)
	if len(tokens) > len(made) {
		return false
	}
	for i, token := range tokens {
		if token.Text != made[i] {
			return false
		}
	}
	return true
}

func (s start) whole(text string) bool {
	made, _ := s.engine.Config.Answer(s.GenerationID, s.Prompt, 0)
	return strings.Join(made, "") == text
}

// checkOwn wants a whole answer to be that of a finished generation, or of a call, of the request's own.
func (c *checker) checkOwn(a Observation) {
	if !a.IsGeneration {
		if !bytes.Contains(a.Result, []byte(`"`+a.Mark+`"`)) {
			c.violated("own answer", "%s was answered with %s", a.Mark, a.Result)
		}
		return
	}
	if !slices.ContainsFunc(c.index.starts[a.Mark], func(s start) bool { return s.Finished && s.whole(a.Text) }) {
		c.violated("own answer", "%s: its text of %d tokens is not that of a finished generation of its own", a.Mark, len(a.Tokens))
	}
}

func (c *checker) checkAtMostOnce() {
	once := map[string]bool{}
	for _, a := range c.Observations {
		if a.AtMostOnce {
			once[a.Mark] = true
		}
	}
	for mark, n := range c.index.calls {
		if once[mark] && n > 1 {
			c.violated("at most once", "%s ran %d times", mark, n)
		}
	}
}

func (c *checker) checkCold() {
	for _, e := range c.Engines {
		if peak := e.Record.PeakRunningCold; !e.TurnedCold && peak > e.ColdCapacity {
			c.violated("cold target", "%s bears %d while cold and had %d", e.Name, e.ColdCapacity, peak)
		}
		for _, d := range e.Record.Deaths {
			if !e.TurnedCold && d.Reason == "cold_overload" {
				c.violated("cold target", "%s died of its load while cold", e.Name)
			}
		}
	}
}

func (c *checker) checkClosed() {
	for _, late := range c.lateStarts() {
		if !c.stalled(late.start) {
			c.violated("out of service", "%s began %s %s after it should have had nothing new", late.engine.Name, late.GenerationID, late.after)
		}
	}
}

// StalledStarts returns how many generations began at closed targets out of connections that had stood still.
func (e Recording) StalledStarts() int {
	count := 0
	for _, late := range e.lateStarts() {
		if e.stalled(late.start) {
			count++
		}
	}
	return count
}

func (e Recording) lateStarts() []lateStart {
	late := []lateStart{}
	for i := range e.Engines {
		for _, span := range e.OutOfService {
			if span.Name != e.Engines[i].Name {
				continue
			}
			for _, g := range e.Engines[i].Record.Generations {
				if at := time.UnixMilli(g.StartedAtMS); span.covers(at, at) {
					late = append(late, lateStart{start{&e.Engines[i], g}, at.Sub(span.From)})
				}
			}
		}
	}
	return late
}

func (e Recording) stalled(s start) bool {
	at := time.UnixMilli(s.StartedAtMS)
	return slices.ContainsFunc(e.StalledConnections, func(span Span) bool {
		return strings.HasPrefix(s.GenerationID, span.Name+"-") && span.covers(at, at)
	})
}

// byStart orders starts by time.
func byStart(a, b start) int {
	return cmp.Compare(a.StartedAtMS, b.StartedAtMS)
}
