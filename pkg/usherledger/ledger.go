package usherledger

import (
	"container/heap"
	"crypto/sha256"
	"time"

	"github.com/joomcode/errorx"
	"github.com/samphireusher/samphireusher/pkg/usherrequest"
)

const (
	// NotStarted says that this ledger has not been asked to run the request, which does not mean that it never will be.
	NotStarted Action = iota
	// Run says that the request is to be run, now and by this gateway.
	Run
	// ReturnResult says that the request has ended as Decision.Result says.
	ReturnResult
	// Wait says that the request is in progress at this gateway.
	Wait
	// Forward says that only Decision.Gateway may run the request or knows how it ended.
	Forward
)

const (
	// DefaultEntries bounds the requests that a ledger keeps.
	DefaultEntries = 16 * 1024
	// DefaultAnswerBytes bounds the answers that it keeps with them.
	DefaultAnswerBytes = 8 << 20
)

var (
	namespace = errorx.NewNamespace("usherledger").ApplyModifiers(errorx.TypeModifierOmitStackTrace)

	// FinishError is the type of errors about a request that is not in progress.
	FinishError = namespace.NewType("finish")

	nothingWritten usherrequest.Evidence
	written        = usherrequest.Evidence{}.WithWrite()
)

type (
	// Action is what a gateway does with a request.
	Action uint8

	// Digest identifies the content of a request.
	Digest [sha256.Size]byte

	// Decision is what to do with a request.
	Decision struct {
		Action  Action
		Gateway string
		Result  Result
	}

	// Limits bound what a ledger holds. Zero values stand for the defaults.
	Limits struct {
		Entries     int
		AnswerBytes int
	}

	// Ledger decides for one incarnation of a gateway which requests run. It belongs to one goroutine. The zero value
	// runs nothing.
	Ledger struct {
		gateway     string
		incarnation uint64
		limits      Limits

		clock       time.Time
		entries     map[entryKey]*entry
		expiries    expiries
		answerBytes int
		// givenUp is the highest counter whose id was refused without an entry.
		givenUp uint64
		stopped bool
	}

	// entryKey is the counter of an id or, where the caller gave one, its idempotency key.
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

// New returns the ledger of one incarnation of gateway. An incarnation is never used twice.
func New(gateway string, incarnation uint64, limits Limits) *Ledger {
	return &Ledger{gateway: gateway, incarnation: incarnation, limits: limits}
}

// GatewayUnreachable returns the refusal of a request whose own gateway does not answer.
func GatewayUnreachable() usherrequest.Refusal {
	return usherrequest.Refuse(written, usherrequest.ReasonGatewayGone)
}

// InvalidID returns the refusal of a request whose id did not parse, with the cause that ParseID gave. It is never
// not_run: the text may be a damaged copy of an id under which the request has run.
func InvalidID(cause error) usherrequest.Refusal {
	if errorx.IsOfType(cause, usherrequest.MalformedError) {
		return usherrequest.Refuse(written, usherrequest.ReasonMalformed)
	}
	return usherrequest.Refuse(written, usherrequest.ReasonForged)
}

// Begin decides what becomes of the request named by id, whose authenticity was checked. An error is a
// usherrequest.Refusal.
func (l *Ledger) Begin(now time.Time, id usherrequest.ID, content Digest) (Decision, error) {
	decision, err := l.Lookup(now, id)
	if err != nil || decision.Action == Forward {
		return decision, err
	}
	if found, ok := l.entries[keyOf(id)]; ok {
		if found.content != content {
			return Decision{}, usherrequest.Refuse(written, usherrequest.ReasonConflict)
		}
		return decision, nil
	}
	if len(l.entries) >= orDefault(l.limits.Entries, DefaultEntries) {
		return Decision{}, l.giveUp(id, usherrequest.ReasonLedgerFull)
	}
	l.add(id, content)
	return Decision{Action: Run}, nil
}

// Refuse decides like Begin about a request that is not to run, for example because the gateway is overloaded. An id
// that has not run is given up for good, and so are all unused ones before it.
func (l *Ledger) Refuse(now time.Time, id usherrequest.ID, reason usherrequest.Reason) (Decision, error) {
	decision, err := l.Lookup(now, id)
	if err != nil || decision.Action != NotStarted {
		return decision, err
	}
	return Decision{}, l.giveUp(id, reason)
}

// Lookup tells how the request named by id ended and never starts it. An error is a usherrequest.Refusal.
func (l *Ledger) Lookup(now time.Time, id usherrequest.ID) (Decision, error) {
	l.advance(now)
	if decision, err := l.own(id); err != nil || decision.Action == Forward {
		return decision, err
	}
	if found, ok := l.entries[keyOf(id)]; ok {
		l.extend(found, id.Expiry)
		return found.decision(), nil
	}
	if l.expired(id) {
		return Decision{}, usherrequest.Refuse(written, usherrequest.ReasonExpired)
	}
	if l.stopped {
		return Decision{}, usherrequest.Refuse(nothingWritten, usherrequest.ReasonStopping)
	}
	if id.Counter <= l.givenUp {
		return Decision{}, usherrequest.Refuse(nothingWritten, usherrequest.ReasonGivenUp)
	}
	return Decision{Action: NotStarted}, nil
}

// Finish records how the request named by id ended. A result whose outcome is unknown may be replaced once more is
// known, for example by an answer that came late.
func (l *Ledger) Finish(now time.Time, id usherrequest.ID, result Result) error {
	if id.Gateway != l.gateway || id.Incarnation != l.incarnation {
		return FinishError.New("the request belongs to incarnation %d of gateway %s", id.Incarnation, id.Gateway)
	}
	found, ok := l.entries[keyOf(id)]
	if !ok {
		return FinishError.New("the ledger has no request %d", id.Counter)
	}
	if found.finished && found.result.Outcome() != usherrequest.Unknown {
		return FinishError.New("request %d has ended as %s", id.Counter, found.result.Outcome())
	}
	l.answerBytes -= len(found.result.Answer)
	if l.answerBytes+len(result.Answer) > orDefault(l.limits.AnswerBytes, DefaultAnswerBytes) {
		result = result.withoutAnswer()
	}
	l.answerBytes += len(result.Answer)
	found.result = result
	found.finished = true
	l.advance(now)
	return nil
}

// Stop lets no further request begin. Those in progress may finish, and kept outcomes are still given.
func (l *Ledger) Stop() {
	l.stopped = true
}

// Len returns how many requests the ledger holds.
func (l *Ledger) Len() int {
	return len(l.entries)
}

// InProgress returns how many requests have begun and not finished.
func (l *Ledger) InProgress() int {
	count := 0
	for _, e := range l.entries {
		if !e.finished {
			count++
		}
	}
	return count
}

// own returns an error or Forward for an id that this incarnation did not mint.
func (l *Ledger) own(id usherrequest.ID) (Decision, error) {
	if id.Gateway != l.gateway {
		return Decision{Action: Forward, Gateway: id.Gateway}, nil
	}
	if id.Incarnation != l.incarnation {
		return Decision{}, GatewayUnreachable()
	}
	return Decision{}, nil
}

// giveUp lets neither id nor any unused one before it run any more.
func (l *Ledger) giveUp(id usherrequest.ID, reason usherrequest.Reason) usherrequest.Refusal {
	l.givenUp = max(l.givenUp, id.Counter)
	return usherrequest.Refuse(nothingWritten, reason)
}

func (l *Ledger) add(id usherrequest.ID, content Digest) {
	if l.entries == nil {
		l.entries = make(map[entryKey]*entry)
	}
	added := &entry{key: keyOf(id), content: content, expiry: id.Expiry}
	l.entries[added.key] = added
	heap.Push(&l.expiries, added)
}

// extend keeps an entry as long as the last of the ids that share its idempotency key.
func (l *Ledger) extend(e *entry, expiry time.Time) {
	if expiry.After(e.expiry) {
		e.expiry = expiry
		heap.Fix(&l.expiries, e.position)
	}
}

// expired goes by the latest time that the ledger has seen, so that a clock set back revives no id.
func (l *Ledger) expired(id usherrequest.ID) bool {
	return !l.clock.Before(id.Expiry)
}

// advance drops finished requests whose ids have expired.
func (l *Ledger) advance(now time.Time) {
	if now.After(l.clock) {
		l.clock = now
	}
	for len(l.expiries) > 0 {
		e := l.expiries[0]
		if l.clock.Before(e.expiry) {
			return
		}
		if !e.finished {
			// The request outlives its id: look again when the next one is due.
			e.expiry = l.clock.Add(overtime)
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

func orDefault(value, byDefault int) int {
	if value <= 0 {
		return byDefault
	}
	return value
}
