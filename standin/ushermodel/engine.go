package ushermodel

import (
	"slices"
	"time"

	"github.com/joomcode/errorx"
)

const (
	// EventToken reports that a generation produced the token with the zero-based index Event.Index.
	EventToken EventKind = iota
	// EventDone reports that a generation produced its last token, the one with the index Event.Index.
	EventDone
	// EventPreempted reports that a generation was evicted from memory and is waiting again.
	EventPreempted
	// EventFailed reports that a generation outgrew the memory of the engine and was ended.
	EventFailed
	// EventCrashed reports that the engine crashed and lost all generations.
	EventCrashed
)

var (
	// Errors is the namespace of the errors of this package.
	Errors = errorx.NewNamespace("ushermodel")
	// ErrDown is the type of the error that is returned while the engine is down.
	ErrDown = Errors.NewType("dead")
	// ErrDuplicate is the type of the error for a generation id that already exists in the engine.
	ErrDuplicate = Errors.NewType("duplicate")
	// ErrTooLarge is the type of the error for a prompt that reaches the admission limit, so that it could never start.
	ErrTooLarge = Errors.NewType("too_large")
)

type (
	// EventKind is the kind of an Event.
	EventKind int

	// Event is an event at the end of a step.
	Event struct {
		Kind       EventKind
		Generation string
		Index      int
		Tag        uint64 // the Tag of the request
	}

	// Request describes a generation to run.
	Request struct {
		Generation   string
		PromptTokens int
		Prefix       uint64 // identifies the first PrefixTokens of the prompt; zero for none
		PrefixTokens int
		OutputTokens int    // number of tokens that the generation produces
		Priority     int    // generations with a higher priority start first and are preempted last
		Tag          uint64 // copied to each event of the generation; not interpreted by the engine
	}

	// Progress is the progress of a generation.
	Progress struct {
		GeneratedTokens int
		Done            bool
	}

	// Engine is a simulated model engine. Use New to create one.
	Engine struct {
		options         Options
		incarnation     uint64
		down            bool
		cold            bool
		tokensSinceCold int // number of tokens generated since the engine became cold

		generations         map[string]*sequence
		running             []*sequence // in start order
		waiting             []*sequence // by priority, then arrival
		finished            []string    // finished generations that are retained for Lookup, oldest first
		memoryUsed          int         // memory used by running sequences, in tokens
		pendingPromptTokens int         // prompt tokens of running sequences that are not computed yet
		arrivals            uint64
		prefixes            prefixCache
		events              []Event

		stepTime    time.Duration
		preemptions uint64
		completed   uint64
	}

	sequence struct {
		request             Request
		arrival             uint64
		generatedTokens     int
		pendingPromptTokens int // prompt tokens to compute before the next output token
		done                bool
	}
)

// New returns an engine in its first incarnation.
func New(options Options) *Engine {
	e := &Engine{options: options.withDefaults(), incarnation: firstIncarnation}
	e.reset()
	e.cold = options.Cold
	e.completed = options.Completed
	return e
}

// Submit queues a generation. It starts in a later step, when there is enough memory.
func (e *Engine) Submit(_ time.Time, request Request) error {
	if e.down {
		return ErrDown.New("engine is down")
	}
	if _, exists := e.generations[request.Generation]; exists {
		return ErrDuplicate.New("generation %s already exists", request.Generation)
	}
	if request.PromptTokens >= e.admissionLimit() {
		return ErrTooLarge.New("prompt of %d tokens is too large: the admission limit is %d tokens", request.PromptTokens, e.admissionLimit())
	}
	e.arrivals++
	s := &sequence{request: request, arrival: e.arrivals}
	e.generations[request.Generation] = s
	e.enqueue(s)
	return nil
}

// Cancel ends a generation, frees its memory and reports whether it was in progress.
func (e *Engine) Cancel(generation string) bool {
	s, exists := e.generations[generation]
	if !exists || s.done {
		return false
	}
	delete(e.generations, generation)
	if i := slices.Index(e.running, s); i >= 0 {
		e.memoryUsed -= s.tokens()
		e.pendingPromptTokens -= s.pendingPromptTokens
		e.running = slices.Delete(e.running, i, i+1)
		return true
	}
	e.waiting = slices.DeleteFunc(e.waiting, func(other *sequence) bool { return other == s })
	return true
}

// Lookup returns the progress of a generation. A broken stream can be resumed from any index below GeneratedTokens.
func (e *Engine) Lookup(generation string) (Progress, bool) {
	s, exists := e.generations[generation]
	if !exists {
		return Progress{}, false
	}
	return Progress{GeneratedTokens: s.generatedTokens, Done: s.done}, true
}

// Step runs one step and returns its duration and the events at its end. The duration is zero if the engine is idle or
// down. The events are valid until the next call.
func (e *Engine) Step(_ time.Time) (time.Duration, []Event) {
	e.events = e.events[:0]
	if e.down || len(e.running)+len(e.waiting) == 0 {
		return 0, nil
	}
	if e.cold && len(e.running)+len(e.waiting) > e.options.ColdCrashThreshold {
		e.Crash()
		return 0, append(e.events, Event{Kind: EventCrashed})
	}
	if e.preempt() == 0 {
		e.startWaiting()
	}
	duration := e.stepDuration(e.prefill())
	e.generateTokens()
	return duration, e.events
}

// Crash stops the engine and discards all generations. The engine is down until Restart.
func (e *Engine) Crash() {
	e.reset()
	e.down = true
}

// Restart starts the next incarnation, which is cold and has no generations.
func (e *Engine) Restart() {
	e.reset()
	e.incarnation++
	e.preemptions, e.completed, e.stepTime = 0, 0, 0
	e.MarkCold()
}

// MarkCold makes the engine cold without starting a new incarnation.
func (e *Engine) MarkCold() {
	e.cold, e.tokensSinceCold = true, 0
}

// Alive reports whether the engine is up.
func (e *Engine) Alive() bool { return !e.down }

// Cold reports whether the engine is cold, that is, slow and limited to ColdCapacity.
func (e *Engine) Cold() bool { return e.cold }

// Overloaded reports whether the engine is cold and has more generations than ColdCapacity.
func (e *Engine) Overloaded() bool {
	return e.cold && len(e.running)+len(e.waiting) > e.options.ColdCapacity
}

func (e *Engine) reset() {
	e.down, e.cold, e.tokensSinceCold, e.memoryUsed, e.pendingPromptTokens = false, false, 0, 0, 0
	e.generations = make(map[string]*sequence)
	e.running, e.waiting, e.finished = nil, nil, nil
	e.prefixes = prefixCache{capacity: e.options.PrefixTokens}
}

// admissionLimit returns the memory, in tokens, up to which waiting sequences are started. The rest is headroom for the
// growth of running sequences.
func (e *Engine) admissionLimit() int {
	return e.options.MemoryTokens - e.options.MemoryTokens/watermarkDivisor
}

func (e *Engine) enqueue(s *sequence) {
	i, _ := slices.BinarySearchFunc(e.waiting, s, func(a, b *sequence) int {
		if a.precedes(b) {
			return -1
		}
		return 1
	})
	e.waiting = slices.Insert(e.waiting, i, s)
}

// preempt evicts running sequences until there is memory for the next token of each remaining one, and returns the
// number of evicted sequences.
func (e *Engine) preempt() int {
	count := 0
	for len(e.running) > 0 && e.memoryUsed+len(e.running) > e.options.MemoryTokens {
		victim := e.running[0]
		for _, s := range e.running {
			if victim.precedes(s) {
				victim = s
			}
		}
		e.running = slices.DeleteFunc(e.running, func(s *sequence) bool { return s == victim })
		e.memoryUsed -= victim.tokens()
		e.pendingPromptTokens -= victim.pendingPromptTokens
		victim.pendingPromptTokens = 0
		count++
		if len(e.running) == 0 {
			e.finish(victim, EventFailed)
			return count
		}
		e.preemptions++
		e.enqueue(victim)
		e.emit(victim, EventPreempted)
	}
	return count
}

func (e *Engine) startWaiting() {
	started := 0
	for _, s := range e.waiting {
		if len(e.running) >= e.options.MaxRunning || e.memoryUsed+s.tokens() >= e.admissionLimit() && len(e.running) > 0 {
			break
		}
		s.pendingPromptTokens = s.tokens() - e.prefixes.lookupOrStore(s.request.Prefix, s.request.PrefixTokens)
		e.pendingPromptTokens += s.pendingPromptTokens
		e.memoryUsed += s.tokens()
		e.running = append(e.running, s)
		started++
	}
	e.waiting = slices.Delete(e.waiting, 0, started)
}

func (e *Engine) prefill() int {
	budget := e.options.MaxPromptTokens
	for _, s := range e.running {
		if e.pendingPromptTokens == 0 {
			break
		}
		chunk := min(s.pendingPromptTokens, budget)
		s.pendingPromptTokens -= chunk
		e.pendingPromptTokens -= chunk
		budget -= chunk
	}
	return e.options.MaxPromptTokens - budget
}

func (e *Engine) stepDuration(promptTokens int) time.Duration {
	o := e.options
	d := o.StepBase + time.Duration(len(e.running))*o.StepSequence +
		time.Duration(e.memoryUsed)*o.StepCached + time.Duration(promptTokens)*o.StepPrompt
	if e.cold {
		d *= time.Duration(o.ColdSlowdown)
	}
	if e.stepTime == 0 {
		e.stepTime = d
	}
	e.stepTime += time.Duration(stepTimeSmoothing * float64(d-e.stepTime))
	return d
}

func (e *Engine) generateTokens() {
	remaining := e.running[:0]
	for _, s := range e.running {
		if s.pendingPromptTokens > 0 {
			remaining = append(remaining, s)
			continue
		}
		s.generatedTokens++
		e.memoryUsed++
		e.tokensSinceCold++
		if s.generatedTokens >= s.request.OutputTokens {
			e.memoryUsed -= s.tokens()
			e.completed++
			e.finish(s, EventDone)
			continue
		}
		e.emit(s, EventToken)
		remaining = append(remaining, s)
	}
	clear(e.running[len(remaining):])
	e.running = remaining
	if e.tokensSinceCold >= e.options.WarmTokens {
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
	e.events = append(e.events, Event{Kind: kind, Generation: s.request.Generation, Index: s.generatedTokens - 1, Tag: s.request.Tag})
}

// tokens returns the cache memory that the sequence uses while it runs.
func (s *sequence) tokens() int { return s.request.PromptTokens + s.generatedTokens }

// precedes reports whether s starts before other and is preempted after it.
func (s *sequence) precedes(other *sequence) bool {
	if s.request.Priority != other.request.Priority {
		return s.request.Priority > other.request.Priority
	}
	return s.arrival < other.arrival
}
