package usherledger

import (
	"container/heap"
	"crypto/sha256"
	"time"

	"github.com/joomcode/errorx"
	"github.com/samphireusher/samphireusher/pkg/usherrequest"
)

const (
	// NotStarted means that this ledger has not been asked to run the request. It may still be asked to.
	NotStarted Action = iota
	// Run means that this gateway must run the request now.
	Run
	// ReturnResult means that the request has ended with Decision.Result.
	ReturnResult
	// Wait means that the request is in progress at this gateway.
	Wait
	// Forward means that only Decision.Gateway may run the request or knows its result.
	Forward
)

const (
	// DefaultEntries is the default limit on the number of requests in a ledger.
	DefaultEntries = 16 * 1024
	// DefaultAnswerBytes is the default limit on the total size of the stored answers.
	DefaultAnswerBytes = 8 << 20
)

var (
	namespace = errorx.NewNamespace("usherledger").ApplyModifiers(errorx.TypeModifierOmitStackTrace)

	// FinishError is the type of errors of Finish for a request that is not in progress.
	FinishError = namespace.NewType("finish")

	notRun     usherrequest.Evidence
	mayHaveRun = usherrequest.Evidence{}.WithWrite()
)

type (
	// Action is what a gateway must do with a request.
	Action uint8

	// Digest is the SHA-256 of the content of a request.
	Digest [sha256.Size]byte

	// Decision is the decision of a ledger on a request. Gateway is set for Forward, Result for ReturnResult.
	Decision struct {
		Action  Action
		Gateway string
		Result  Result
	}

	// Limits bounds the size of a ledger. Zero values select the defaults.
	Limits struct {
		Entries     int
		AnswerBytes int
	}

	// Ledger decides for one incarnation of a gateway which requests run. It is not safe for concurrent use. The zero
	// value runs no requests.
	Ledger struct {
		gateway     string
		incarnation uint64
		limits      Limits

		clock       time.Time // latest time passed to any call
		entries     map[entryKey]*entry
		expiries    expiryHeap
		answerBytes int
		// maxRefusedCounter is the highest counter of an ID that was refused without an entry.
		maxRefusedCounter uint64
		stopped           bool
	}

	// entryKey is the counter of an ID or, if the caller set one, the idempotency key of the workspace.
	entryKey struct {
		counter   uint64
		workspace string
		key       string
	}

	entry struct {
		key      entryKey
		content  Digest
		expiry   time.Time
		position int
		finished bool
		result   Result
	}
)

// New returns the ledger of one incarnation of gateway. An incarnation must not be used again.
func New(gateway string, incarnation uint64, limits Limits) *Ledger {
	return &Ledger{gateway: gateway, incarnation: incarnation, limits: limits}
}

// GatewayUnreachable returns the refusal of a request whose owning gateway does not respond.
func GatewayUnreachable() usherrequest.Refusal {
	return usherrequest.Refuse(mayHaveRun, usherrequest.ReasonGatewayUnreachable)
}

// InvalidID returns the refusal of a request whose ID did not parse. Cause is the error of ParseID. The outcome is
// never not_run, because the text may be a corrupted copy of an ID under which the request has run.
func InvalidID(cause error) usherrequest.Refusal {
	if errorx.IsOfType(cause, usherrequest.MalformedError) {
		return usherrequest.Refuse(mayHaveRun, usherrequest.ReasonMalformed)
	}
	return usherrequest.Refuse(mayHaveRun, usherrequest.ReasonForged)
}

// Begin decides what to do with the request of an authenticated id and records it if it is to run. An error is a
// usherrequest.Refusal.
func (l *Ledger) Begin(now time.Time, id usherrequest.ID, content Digest) (Decision, error) {
	decision, err := l.Lookup(now, id)
	if err != nil || decision.Action == Forward {
		return decision, err
	}
	if found, ok := l.entries[keyOf(id)]; ok {
		if found.content != content {
			return Decision{}, usherrequest.Refuse(mayHaveRun, usherrequest.ReasonConflict)
		}
		return decision, nil
	}
	if len(l.entries) >= orDefault(l.limits.Entries, DefaultEntries) {
		return Decision{}, l.refusePermanently(id, usherrequest.ReasonLedgerFull)
	}
	l.add(id, content)
	return Decision{Action: Run}, nil
}

// Refuse is like Begin for a request that must not start, for example because the gateway is overloaded. An ID that has
// not run is refused permanently, and so are all unused IDs before it.
func (l *Ledger) Refuse(now time.Time, id usherrequest.ID, reason usherrequest.Reason) (Decision, error) {
	decision, err := l.Lookup(now, id)
	if err != nil || decision.Action != NotStarted {
		return decision, err
	}
	return Decision{}, l.refusePermanently(id, reason)
}

// Lookup returns the state of the request of id without starting it. An error is a usherrequest.Refusal.
func (l *Ledger) Lookup(now time.Time, id usherrequest.ID) (Decision, error) {
	l.advanceClock(now)
	if decision, err := l.routeToOwner(id); err != nil || decision.Action == Forward {
		return decision, err
	}
	if found, ok := l.entries[keyOf(id)]; ok {
		l.extendExpiry(found, id.Expiry)
		return found.decision(), nil
	}
	if l.isExpired(id) {
		return Decision{}, usherrequest.Refuse(mayHaveRun, usherrequest.ReasonExpired)
	}
	if l.stopped {
		return Decision{}, usherrequest.Refuse(notRun, usherrequest.ReasonStopping)
	}
	if id.Counter <= l.maxRefusedCounter {
		return Decision{}, usherrequest.Refuse(notRun, usherrequest.ReasonIDRefused)
	}
	return Decision{Action: NotStarted}, nil
}

// Finish records the result of the request of id. A result whose outcome is unknown may be replaced later, for example
// by a late answer.
func (l *Ledger) Finish(now time.Time, id usherrequest.ID, result Result) error {
	if id.Gateway != l.gateway || id.Incarnation != l.incarnation {
		return FinishError.New("the request belongs to incarnation %d of gateway %s", id.Incarnation, id.Gateway)
	}
	found, ok := l.entries[keyOf(id)]
	if !ok {
		return FinishError.New("the ledger has no entry for request %d", id.Counter)
	}
	if found.finished && found.result.Outcome() != usherrequest.Unknown {
		return FinishError.New("request %d has already ended as %s", id.Counter, found.result.Outcome())
	}
	l.answerBytes -= len(found.result.Answer)
	if l.answerBytes+len(result.Answer) > orDefault(l.limits.AnswerBytes, DefaultAnswerBytes) {
		result = result.withoutAnswer()
	}
	l.answerBytes += len(result.Answer)
	found.result = result
	found.finished = true
	l.advanceClock(now)
	return nil
}

// Stop refuses new requests. Requests in progress may finish, and stored results are still returned.
func (l *Ledger) Stop() {
	l.stopped = true
}

// Len returns the number of requests in the ledger.
func (l *Ledger) Len() int {
	return len(l.entries)
}

// InProgress returns the number of requests that have started and not finished.
func (l *Ledger) InProgress() int {
	count := 0
	for _, e := range l.entries {
		if !e.finished {
			count++
		}
	}
	return count
}

// routeToOwner returns Forward for an ID of another gateway and an error for an ID of another incarnation of this
// gateway.
func (l *Ledger) routeToOwner(id usherrequest.ID) (Decision, error) {
	if id.Gateway != l.gateway {
		return Decision{Action: Forward, Gateway: id.Gateway}, nil
	}
	if id.Incarnation != l.incarnation {
		return Decision{}, GatewayUnreachable()
	}
	return Decision{}, nil
}

// refusePermanently refuses id and all unused IDs before it from now on.
func (l *Ledger) refusePermanently(id usherrequest.ID, reason usherrequest.Reason) usherrequest.Refusal {
	l.maxRefusedCounter = max(l.maxRefusedCounter, id.Counter)
	return usherrequest.Refuse(notRun, reason)
}

func (l *Ledger) add(id usherrequest.ID, content Digest) {
	if l.entries == nil {
		l.entries = make(map[entryKey]*entry)
	}
	added := &entry{key: keyOf(id), content: content, expiry: id.Expiry}
	l.entries[added.key] = added
	heap.Push(&l.expiries, added)
}

// extendExpiry moves the expiry of an entry to the latest expiry of the IDs that share its idempotency key.
func (l *Ledger) extendExpiry(e *entry, expiry time.Time) {
	if expiry.After(e.expiry) {
		e.expiry = expiry
		heap.Fix(&l.expiries, e.position)
	}
}

// isExpired compares with the latest time that the ledger has seen, so that an expired ID stays expired if the clock is
// set back.
func (l *Ledger) isExpired(id usherrequest.ID) bool {
	return !l.clock.Before(id.Expiry)
}

// advanceClock updates the clock and drops finished requests whose IDs have expired.
func (l *Ledger) advanceClock(now time.Time) {
	if now.After(l.clock) {
		l.clock = now
	}
	for len(l.expiries) > 0 {
		e := l.expiries[0]
		if l.clock.Before(e.expiry) {
			return
		}
		if !e.finished {
			// The request is still in progress after the expiry of its ID: keep the entry and check again later.
			e.expiry = l.clock.Add(recheckInterval)
			heap.Fix(&l.expiries, 0)
			continue
		}
		heap.Pop(&l.expiries)
		delete(l.entries, e.key)
		l.answerBytes -= len(e.result.Answer)
	}
}

func (e *entry) decision() Decision {
	if e.finished {
		return Decision{Action: ReturnResult, Result: e.result}
	}
	return Decision{Action: Wait}
}

func keyOf(id usherrequest.ID) entryKey {
	if id.Key != "" {
		return entryKey{workspace: id.Workspace, key: id.Key}
	}
	return entryKey{counter: id.Counter}
}

func orDefault(value, fallback int) int {
	if value <= 0 {
		return fallback
	}
	return value
}
