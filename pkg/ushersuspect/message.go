package ushersuspect

import (
	"cmp"
	"slices"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/joomcode/errorx"
)

const (
	// MessageVersion is the version of the messages that this package writes and reads.
	MessageVersion = 1
	// MaxCrashReports bounds the crash reports in one message.
	MaxCrashReports = 128
	// MaxTargetBytes bounds the name of a target in a message.
	MaxTargetBytes = 128
	// MaxMessageBytes bounds an encoded message.
	MaxMessageBytes = 32 << 10
)

var (
	namespace = errorx.NewNamespace("ushersuspect").ApplyModifiers(errorx.TypeModifierOmitStackTrace)

	// MessageError is the type of errors about a message that cannot be written or read.
	MessageError = namespace.NewType("message")

	decoder = must(cbor.DecOptions{
		IndefLength:       cbor.IndefLengthForbidden,
		TagsMd:            cbor.TagsForbidden,
		DupMapKey:         cbor.DupMapKeyEnforcedAPF,
		ExtraReturnErrors: cbor.ExtraDecErrorUnknownField,
		MaxNestedLevels:   8,
		MaxArrayElements:  MaxCrashReports,
		MaxMapPairs:       16,
	}.DecMode())
)

type (
	// Message tells peers of sightings.
	Message struct {
		Version      int           `cbor:"version"`
		CrashReports []CrashReport `cbor:"sightings"`
	}

	// CrashReport says that a request was in progress on a target that died. Processes have no clock in common, so it
	// carries its age when it was sent.
	CrashReport struct {
		Fingerprint Fingerprint   `cbor:"fingerprint"`
		Target      string        `cbor:"target"`
		Incarnation uint64        `cbor:"incarnation"`
		Age         time.Duration `cbor:"age"`
		// Cleared says that the request has finished since.
		Cleared bool `cbor:"cleared"`
	}
)

// Encode returns the bytes of a message.
func (m Message) Encode() ([]byte, error) {
	if err := m.check(); err != nil {
		return nil, err
	}
	return canonical.Marshal(m)
}

// DecodeMessage returns the message in data.
func DecodeMessage(data []byte) (Message, error) {
	if len(data) > MaxMessageBytes {
		return Message{}, MessageError.New("message has %d bytes, the limit is %d", len(data), MaxMessageBytes)
	}
	var m Message
	if err := decoder.Unmarshal(data, &m); err != nil {
		return Message{}, MessageError.Wrap(err, "cannot decode message")
	}
	return m, m.check()
}

func (m Message) check() error {
	if m.Version != MessageVersion {
		return MessageError.New("message has version %d, want %d", m.Version, MessageVersion)
	}
	if len(m.CrashReports) > MaxCrashReports {
		return MessageError.New("message has %d sightings, the limit is %d", len(m.CrashReports), MaxCrashReports)
	}
	for i, s := range m.CrashReports {
		if s.Target == "" || len(s.Target) > MaxTargetBytes {
			return MessageError.New("sighting %d has a target of %d bytes", i, len(s.Target))
		}
		if s.Age < 0 {
			return MessageError.New("sighting %d has a negative age", i)
		}
	}
	return nil
}

// Changes returns what has changed since cursor, as much as a message holds, and the cursor to go on from. A peer
// starts from cursor 0, and again after a message to it was lost.
func (w *Tracker) Changes(now time.Time, cursor uint64) (Message, uint64) {
	w.advance(now)
	type change struct {
		number   uint64
		sighting CrashReport
	}
	var changes []change
	for fingerprint, r := range w.records {
		for death, d := range r.deaths {
			age := w.clock.Sub(d.seen)
			if d.changed <= cursor || age >= w.hold() {
				continue
			}
			changes = append(changes, change{d.changed, CrashReport{fingerprint, death.Name, death.Incarnation, age, d.cleared}})
		}
	}
	slices.SortFunc(changes, func(a, b change) int { return cmp.Compare(a.number, b.number) })
	message := Message{Version: MessageVersion}
	for _, c := range changes[:min(len(changes), MaxCrashReports)] {
		message.CrashReports = append(message.CrashReports, c.sighting)
		cursor = c.number
	}
	return message, cursor
}

// Merge takes in what a peer has seen. Messages may come in any order and more than once.
func (w *Tracker) Merge(now time.Time, message Message) error {
	if err := message.check(); err != nil {
		return err
	}
	w.advance(now)
	for _, s := range message.CrashReports {
		if s.Age < w.hold() {
			w.see(s.Fingerprint, Target{s.Target, s.Incarnation}, w.clock.Add(-s.Age), s.Cleared)
		}
	}
	return nil
}
