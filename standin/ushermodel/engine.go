package ushermodel

import (
	"slices"
	"time"

	"github.com/joomcode/errorx"
)

const (
	// EventToken says that a generation made the token of Event.Index, counted from zero.
	EventToken EventKind = iota
	// EventDone says that a generation made its last token, that of Event.Index.
	EventDone
	// EventPreempted says that a generation was thrown out of memory and waits again.
	EventPreempted
	// EventFailed says that a generation outgrew the memory of the engine and ended.
	EventFailed
	// EventDied says that the engine died and lost every generation.
	EventDied
)

var (
	// Errors is the namespace of the errors of an engine.
	Errors = errorx.NewNamespace("ushermodel")
	// ErrDead is the type of the error that a dead engine returns.
	ErrDead = Errors.NewType("dead")
	// ErrDuplicate is the type of the error for a generation id that the engine knows already.
	ErrDuplicate = Errors.NewType("duplicate")
	// ErrTooLarge is the type of the error for a prompt that never fits the memory.
	ErrTooLarge = Errors.NewType("too_large")
)

type (
	// EventKind says what happened in a step.
	EventKind int

	// Event is one thing that happened in a step.
	Event struct {
		Kind       EventKind
		Generation string
		Index      int
		Tag        uint64 // the Tag of the request
	}

	// Request is one generation to run.
	Request struct {
		Generation   string
		PromptTokens int
		Prefix       uint64 // identity of the first PrefixTokens of the prompt; zero for none
		PrefixTokens int
		OutputTokens int    // tokens that the generation will make
		Priority     int    // higher ones start first and are preempted last
		Tag          uint64 // carried back by each event; the engine doesn't look at it
	}

	// Progress is how far a generation has come.
	Progress struct {
		TokensMade int
		Done       bool
	}

	// Engine is one model engine. Use New.
	Engine struct {
		options     Options
		incarnation uint64
		dead        bool
		cold        bool
		warmth      int // tokens made since the engine turned cold

		generations map[string]*sequence
		running     []*sequence // in the order of their start
		waiting     []*sequence // by priority, then arrival
		finished    []string    // the generations that Lookup still knows, oldest first
		used        int         // memory taken by running sequences, in tokens
		pending     int         // prompt tokens that running sequences still have to compute
		arrivals    uint64
		prefixes    prefixCache
		events      []Event

		stepTime    time.Duration
		preemptions uint64
		completed   uint64
	}

	sequence struct {
		request Request
		arrival uint64
		made    int
		pending int // prompt tokens still to compute before the next token
		done    bool
	}
)

// New returns an engine in its first incarnation.
func New(options Options) *Engine {
	e := &Engine{options: options.withDefaults(), incarnation: incarnationAfterStart}
	e.clear()
	e.cold = options.Cold
	e.completed = options.Completed
	return e
}

// Submit hands the engine a generation. It starts in a later step, as memory allows.
func (e *Engine) Submit(_ time.Time, request Request) error {
	if e.dead {
		return ErrDead.New("engine is dead")
	}
	if _, known := e.generations[request.Generation]; known {
		return ErrDuplicate.New("generation %s is known", request.Generation)
	}
	if request.PromptTokens >= e.memoryForStart() {
		return ErrTooLarge.New("prompt of %d tokens does not fit %d", request.PromptTokens, e.memoryForStart())
	}
	e.arrivals++
	s := &sequence{request: request, arrival: e.arrivals}
	e.generations[request.Generation] = s
	e.wait(s)
	return nil
}

// Cancel ends a generation and frees its memory. It reports whether the generation was in progress.
func (e *Engine) Cancel(generation string) bool {
	s, known := e.generations[generation]
	if !known || s.done {
		return false
	}
	delete(e.generations, generation)
	if i := slices.Index(e.running, s); i >= 0 {
		e.used -= s.tokens()
		e.pending -= s.pending
		e.running = slices.Delete(e.running, i, i+1)
		return true
	}
	e.waiting = slices.DeleteFunc(e.waiting, func(other *sequence) bool { return other == s })
	return true
}

// Lookup returns how far a generation has come, so that a broken stream can be resumed from any index below.
func (e *Engine) Lookup(generation string) (Progress, bool) {
	s, known := e.generations[generation]
	if !known {
		return Progress{}, false
	}
	return Progress{TokensMade: s.made, Done: s.done}, true
}

// Step runs one step that starts at now. It returns how long the step takes and what happens at its end.
// The duration is zero if the engine is idle or dead. The events are valid until the next call.
func (e *Engine) Step(_ time.Time) (time.Duration, []Event) {
	e.events = e.events[:0]
	if e.dead || len(e.running)+len(e.waiting) == 0 {
		return 0, nil
	}
	if e.cold && len(e.running)+len(e.waiting) > e.options.ColdCrashThreshold {
		e.Kill()
		return 0, append(e.events, Event{Kind: EventDied})
	}
	if e.makeRoom() == 0 {
		e.start()
	}
	duration := e.duration(e.computePrompts())
	e.makeTokens()
	return duration, e.events
}

// Kill ends the engine and all its generations until Restart.
func (e *Engine) Kill() {
	e.clear()
	e.dead = true
}

// Restart starts the next incarnation, which is cold and knows no generation.
func (e *Engine) Restart() {
	e.clear()
	e.incarnation++
	e.preemptions, e.completed, e.stepTime = 0, 0, 0
	e.MarkCold()
}

// MarkCold turns the engine cold without a new incarnation.
func (e *Engine) MarkCold() {
	e.cold, e.warmth = true, 0
}

// Alive reports whether the engine takes work.
func (e *Engine) Alive() bool { return !e.dead }

// Cold reports whether the engine bears only little yet.
func (e *Engine) Cold() bool { return e.cold }

// Overloaded reports whether the engine is cold and has more generations than it bears.
func (e *Engine) Overloaded() bool {
	return e.cold && len(e.running)+len(e.waiting) > e.options.ColdCapacity
}

func (e *Engine) clear() {
	e.dead, e.cold, e.warmth, e.used, e.pending = false, false, 0, 0, 0
	e.generations = make(map[string]*sequence)
	e.running, e.waiting, e.finished = nil, nil, nil
	e.prefixes = prefixCache{capacity: e.options.PrefixTokens}
}

func (e *Engine) memoryForStart() int {
	return e.options.MemoryTokens - e.options.MemoryTokens/watermarkDivisor
}

func (e *Engine) wait(s *sequence) {
	i, _ := slices.BinarySearchFunc(e.waiting, s, func(a, b *sequence) int {
		if a.before(b) {
			return -1
		}
		return 1
	})
	e.waiting = slices.Insert(e.waiting, i, s)
}

// makeRoom preempts sequences until each running one has room for its next token, and returns how many it preempted.
func (e *Engine) makeRoom() int {
	count := 0
	for len(e.running) > 0 && e.used+len(e.running) > e.options.MemoryTokens {
		victim := e.running[0]
		for _, s := range e.running {
			if victim.before(s) {
				victim = s
			}
		}
		e.running = slices.DeleteFunc(e.running, func(s *sequence) bool { return s == victim })
		e.used -= victim.tokens()
		e.pending -= victim.pending
		victim.pending = 0
		count++
		if len(e.running) == 0 {
			e.finish(victim, EventFailed)
			return count
		}
		e.preemptions++
		e.wait(victim)
		e.emit(victim, EventPreempted)
	}
	return count
}

func (e *Engine) start() {
	started := 0
	for _, s := range e.waiting {
		if len(e.running) >= e.options.MaxRunning || e.used+s.tokens() >= e.memoryForStart() && len(e.running) > 0 {
			break
		}
		s.pending = s.tokens() - e.prefixes.use(s.request.Prefix, s.request.PrefixTokens)
		e.pending += s.pending
		e.used += s.tokens()
		e.running = append(e.running, s)
		started++
	}
	e.waiting = slices.Delete(e.waiting, 0, started)
}

func (e *Engine) computePrompts() int {
	left := e.options.MaxPromptTokens
	for _, s := range e.running {
		if e.pending == 0 {
			break
		}
		chunk := min(s.pending, left)
		s.pending -= chunk
		e.pending -= chunk
		left -= chunk
	}
	return e.options.MaxPromptTokens - left
}

func (e *Engine) duration(promptTokens int) time.Duration {
	o := e.options
	d := o.StepBase + time.Duration(len(e.running))*o.StepSequence +
		time.Duration(e.used)*o.StepCached + time.Duration(promptTokens)*o.StepPrompt
	if e.cold {
		d *= time.Duration(o.ColdSlowdown)
	}
	if e.stepTime == 0 {
		e.stepTime = d
	}
	e.stepTime += time.Duration(stepTimeSmoothing * float64(d-e.stepTime))
	return d
}

func (e *Engine) makeTokens() {
	kept := e.running[:0]
	for _, s := range e.running {
		if s.pending > 0 {
			kept = append(kept, s)
			continue
		}
		s.made++
		e.used++
		e.warmth++
		if s.made >= s.request.OutputTokens {
			e.used -= s.tokens()
			e.completed++
			e.finish(s, EventDone)
			continue
		}
		e.emit(s, EventToken)
		kept = append(kept, s)
	}
	clear(e.running[len(kept):])
	e.running = kept
	if e.warmth >= e.options.WarmTokens {
		e.cold = false
	}
}

func (e *Engine) finish(s *sequence, kind EventKind) {
	s.done = true
	e.emit(s, kind)
	e.finished = append(e.finished, s.request.Generation)
	if len(e.finished) > e.options.RetainFinished {
		delete(e.generations, e.finished[0])
		e.finished = e.finished[1:]
	}
}

func (e *Engine) emit(s *sequence, kind EventKind) {
	e.events = append(e.events, Event{Kind: kind, Generation: s.request.Generation, Index: s.made - 1, Tag: s.request.Tag})
}

// tokens returns the cache memory that the sequence takes while it runs.
func (s *sequence) tokens() int { return s.request.PromptTokens + s.made }

// before reports whether s starts before and is preempted after other.
func (s *sequence) before(other *sequence) bool {
	if s.request.Priority != other.request.Priority {
		return s.request.Priority > other.request.Priority
	}
	return s.arrival < other.arrival
}
