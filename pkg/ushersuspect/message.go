package ushersuspect

import (
	"slices"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/joomcode/errorx"
)

const (
	// MessageVersion is the message version that this package reads and writes.
	MessageVersion = 1
	// MaxCrashReports limits the crash reports in one message.
	MaxCrashReports = 128
	// MaxTargetBytes limits the length of a target name in a message.
	MaxTargetBytes = 128
	// MaxParts limits the parts of a prompt.
	MaxParts = 16
	// MaxMessageBytes limits the length of an encoded message.
	MaxMessageBytes = 32 << 10
)

var (
	errNamespace = errorx.NewNamespace("ushersuspect").ApplyModifiers(errorx.TypeModifierOmitStackTrace)

	// ErrMalformed is the type of errors for messages that cannot be decoded or are invalid, and for requests that cannot
	// be encoded for their fingerprint.
	ErrMalformed = errNamespace.NewType("message")

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
	// Message carries crash reports to peers.
	Message struct {
		Version      int           `cbor:"version"`
		CrashReports []CrashReport `cbor:"sightings"`
		// Requests are those of CrashReports whose prompts have parts that other requests may have too.
		Requests []Request `cbor:"requests,omitempty"`
		// Answers are the last answers of requests with a part or with a combination of parts, Probes the last tries of
		// requests to which crashes are attributed.
		Answers []Sighting `cbor:"answers,omitempty"`
		Probes  []Sighting `cbor:"probes,omitempty"`
	}

	// Sighting is the age of something that was seen of requests with a trait.
	Sighting struct {
		Trait Fingerprint   `cbor:"trait"`
		Age   time.Duration `cbor:"age"`
	}

	// CrashReport reports that a request was in progress on a target that crashed. The processes do not share a clock,
	// so it carries the age of the crash at the time of sending.
	CrashReport struct {
		Fingerprint Fingerprint   `cbor:"fingerprint"`
		Target      string        `cbor:"target"`
		Incarnation uint64        `cbor:"incarnation"`
		Age         time.Duration `cbor:"age"`
		// Cleared reports that the request has completed since the crash.
		Cleared bool `cbor:"cleared"`
	}
)

// Encode validates and encodes a message.
func (m Message) Encode() ([]byte, error) {
	if err := m.validate(); err != nil {
		return nil, err
	}
	return canonicalEncoder.Marshal(m)
}

// DecodeMessage decodes and validates a message.
func DecodeMessage(data []byte) (Message, error) {
	if len(data) > MaxMessageBytes {
		return Message{}, ErrMalformed.New("message has %d bytes, the limit is %d", len(data), MaxMessageBytes)
	}
	var m Message
	if err := decoder.Unmarshal(data, &m); err != nil {
		return Message{}, ErrMalformed.Wrap(err, "cannot decode message")
	}
	return m, m.validate()
}

func (m Message) validate() error {
	if m.Version != MessageVersion {
		return ErrMalformed.New("message has version %d, want %d", m.Version, MessageVersion)
	}
	if len(m.CrashReports) > MaxCrashReports {
		return ErrMalformed.New("message has %d crash reports, the limit is %d", len(m.CrashReports), MaxCrashReports)
	}
	for name, n := range map[string]int{"requests": len(m.Requests), "answers": len(m.Answers), "probes": len(m.Probes)} {
		if n > MaxCrashReports {
			return ErrMalformed.New("message has %d %s, the limit is %d", n, name, MaxCrashReports)
		}
	}
	for i, r := range m.Requests {
		if len(r.Parts) > MaxParts {
			return ErrMalformed.New("request %d has %d parts, the limit is %d", i, len(r.Parts), MaxParts)
		}
	}
	for i, s := range slices.Concat(m.Answers, m.Probes) {
		if s.Age < 0 {
			return ErrMalformed.New("sighting %d has a negative age", i)
		}
	}
	for i, s := range m.CrashReports {
		if s.Target == "" || len(s.Target) > MaxTargetBytes {
			return ErrMalformed.New("crash report %d has a target name of invalid length %d", i, len(s.Target))
		}
		if s.Age < 0 {
			return ErrMalformed.New("crash report %d has a negative age", i)
		}
	}
	return nil
}

// Merge merges the crash reports of a peer. Messages may arrive in any order and more than once.
func (t *Tracker) Merge(now time.Time, message Message) error {
	if err := message.validate(); err != nil {
		return err
	}
	t.advanceClock(now)
	for _, s := range message.CrashReports {
		if s.Age < t.crashTTL() {
			t.mergeCrash(s.Fingerprint, Target{s.Target, s.Incarnation}, t.clock.Add(-s.Age), s.Cleared)
		}
	}
	for _, r := range message.Requests {
		t.mergeParts(r)
	}
	for _, s := range message.Answers {
		t.mergeAnswer(s.Trait, t.clock.Add(-s.Age))
	}
	for _, s := range message.Probes {
		if s.Age < t.crashTTL() {
			t.mergeProbe(s.Trait, t.clock.Add(-s.Age))
		}
	}
	return nil
}
