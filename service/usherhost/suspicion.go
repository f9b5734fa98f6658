package usherhost

import (
	"net/netip"
	"slices"
	"strings"
	"time"

	"github.com/samphireusher/samphireusher/pkg/ushercatalog"
	"github.com/samphireusher/samphireusher/pkg/ushercluster"
	"github.com/samphireusher/samphireusher/pkg/ushersuspect"
)

const (
	// maxSuspectRequests bounds the requests that a host remembers because they were in progress on crashed targets.
	maxSuspectRequests = 512
	// maxReportedCrashes bounds the crashes, answers and probes in one datagram, which fits one packet unless prompts have
	// many parts. maxChangeDatagrams and maxEvidenceDatagrams bound the datagrams of one round; the rest follows in the
	// next ones.
	maxReportedCrashes   = 8
	maxChangeDatagrams   = 4
	maxEvidenceDatagrams = 2
	// changeRounds is in how many rounds of reports a change is sent, to other peers each time, as datagrams may be lost.
	changeRounds = 4
	// evidenceRounds is the number of rounds between two reports of the evidence for what is blamed, for hosts that have
	// just started or were cut off.
	evidenceRounds = 4
)

type (
	// suspicion is this host's part in finding the requests that crash targets. It is guarded by the lock of the shared
	// state. The zero value is not ready for use, see newSuspicion.
	suspicion struct {
		tracker *ushersuspect.Tracker
		// cursors are those of the last rounds of reports, the oldest first.
		cursors []uint64
		rounds  int
		// blamed is what the last log line about it said.
		blamed []string
	}

	suspicionWire struct {
		Crashes []crashWire    `cbor:"1,keyasint,omitempty"`
		Answers []sightingWire `cbor:"2,keyasint,omitempty"`
		Probes  []sightingWire `cbor:"3,keyasint,omitempty"`
	}

	crashWire struct {
		Content     ushersuspect.Fingerprint   `cbor:"1,keyasint"`
		Target      string                     `cbor:"2,keyasint"`
		Incarnation uint64                     `cbor:"3,keyasint,omitempty"`
		Age         time.Duration              `cbor:"4,keyasint"`
		Cleared     bool                       `cbor:"5,keyasint,omitempty"`
		Parts       []ushersuspect.Fingerprint `cbor:"6,keyasint,omitempty"`
	}

	sightingWire struct {
		Trait ushersuspect.Fingerprint `cbor:"1,keyasint"`
		Age   time.Duration            `cbor:"2,keyasint"`
	}
)

func newSuspicion(host string) suspicion {
	return suspicion{tracker: ushersuspect.New(host, ushersuspect.Limits{MaxRequests: maxSuspectRequests})}
}

// admitToTarget returns whether crashes are attributed to what a request has in common with others. It must be called
// before each send.
func (s *sharedState) admitToTarget(req *requestState) ushersuspect.Decision {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.suspicion.tracker.Len() == 0 {
		return ushersuspect.Decision{}
	}
	return s.suspicion.tracker.Admit(time.Now(), req.suspect(), s.servingNames)
}

// servingNames returns the names of this host and of the others that take requests.
func (s *sharedState) servingNames() []string {
	names := []string{s.cluster.Self().Name}
	for _, m := range s.cluster.Alive(s.clock.now()) {
		if m.State == ushercluster.Serving {
			names = append(names, m.Name)
		}
	}
	return names
}

// recordCrash records that a target crashed before it answered a request.
func (s *sharedState) recordCrash(target ushercatalog.Target, req *requestState) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.suspicion.tracker.RecordCrash(time.Now(), ushersuspect.Target{Name: target.ID, Incarnation: uint64(target.Incarnation)}, req.suspect())
}

// recordAnswer records that a target answers a request.
func (s *sharedState) recordAnswer(req *requestState) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.suspicion.tracker.Len() > 0 {
		s.suspicion.tracker.RecordAnswer(time.Now(), req.suspect())
	} else if len(req.SharedParts) > 0 {
		s.suspicion.tracker.RecordAnswer(time.Now(), ushersuspect.Request{Parts: req.partFingerprints()})
	}
}

// newlyBlamed returns what crashes are attributed to if that has changed since the last call.
func (s *sharedState) newlyBlamed() (blamed []string, changed bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	blamed = s.suspicion.describeBlamed(time.Now())
	changed = !slices.Equal(blamed, s.suspicion.blamed)
	s.suspicion.blamed = blamed
	return blamed, changed
}

// describeBlamed returns what crashes are attributed to, each as the fingerprints of what a request must have.
func (u *suspicion) describeBlamed(now time.Time) []string {
	var blamed []string
	for _, traits := range u.tracker.Blamed(now) {
		texts := make([]string, 0, len(traits))
		for _, trait := range traits {
			texts = append(texts, trait.String())
		}
		blamed = append(blamed, strings.Join(texts, " "))
	}
	slices.Sort(blamed)
	return blamed
}

// suspect returns the fingerprints of the request and of the parts of its prompt that other requests may share.
func (req *requestState) suspect() ushersuspect.Request {
	if req.fingerprints.Content == (ushersuspect.Fingerprint{}) {
		req.fingerprints.Content = ushersuspect.NewContentFingerprint(req.workspace.Name, req.Method, req.Host, req.URI, strings.Join(req.SharedParts, ","), req.OwnPart, string(req.Body))
	}
	req.partFingerprints()
	return req.fingerprints
}

// partFingerprints returns the fingerprints of the parts of the prompt that other requests may share.
func (req *requestState) partFingerprints() []ushersuspect.Fingerprint {
	if req.fingerprints.Parts == nil {
		for _, part := range req.SharedParts {
			req.fingerprints.Parts = append(req.fingerprints.Parts, ushersuspect.NewPartFingerprint(req.service.Name, part))
		}
	}
	return req.fingerprints.Parts
}

// suspicionReports returns the datagrams that tell peers of crashes and of what they are attributed to. The recipients of
// the regular reports get the evidence again from time to time.
func (s *sharedState) suspicionReports(now time.Time, urgent bool, regular, collectors []netip.AddrPort) []outgoingDatagram {
	u := &s.suspicion
	if u.tracker.Len() == 0 {
		return nil
	}
	var out []outgoingDatagram
	add := func(message ushersuspect.Message, to []netip.AddrPort) {
		if !message.IsEmpty() && len(to) > 0 {
			d := s.newStatusDatagram()
			d.Suspicion = encodeSuspicion(message)
			out = append(out, outgoingDatagram{to: to, datagram: d})
		}
	}
	all := slices.Clone(collectors)
	for _, address := range regular {
		if !slices.Contains(all, address) {
			all = append(all, address)
		}
	}
	cursor := uint64(0)
	if len(u.cursors) == changeRounds {
		cursor = u.cursors[0]
	}
	for range maxChangeDatagrams {
		var message ushersuspect.Message
		message, cursor = u.tracker.ChangesUpTo(now, cursor, maxReportedCrashes)
		add(message, all)
	}
	if urgent {
		return out
	}
	if u.cursors = append(u.cursors, cursor); len(u.cursors) > changeRounds {
		u.cursors = u.cursors[1:]
	}
	if u.rounds++; u.rounds%evidenceRounds == 0 {
		for range min(maxEvidenceDatagrams, len(u.tracker.Blamed(now))) {
			add(u.tracker.Evidence(now, maxReportedCrashes), regular)
		}
	}
	return out
}

// mergeSuspicion merges what a peer has told of crashes, some time ago.
func (s *sharedState) mergeSuspicion(w suspicionWire, delay time.Duration) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.suspicion.tracker.Merge(time.Now().Add(-delay), w.decode())
}

func encodeSuspicion(m ushersuspect.Message) *suspicionWire {
	w := &suspicionWire{Answers: encodeSightings(m.Answers), Probes: encodeSightings(m.Probes)}
	for _, c := range m.CrashReports {
		crash := crashWire{Content: c.Fingerprint, Target: c.Target, Incarnation: c.Incarnation, Age: c.Age, Cleared: c.Cleared}
		if i := slices.IndexFunc(m.Requests, func(r ushersuspect.Request) bool { return r.Content == c.Fingerprint }); i >= 0 {
			crash.Parts = m.Requests[i].Parts
		}
		w.Crashes = append(w.Crashes, crash)
	}
	return w
}

func encodeSightings(sightings []ushersuspect.Sighting) []sightingWire {
	var out []sightingWire
	for _, s := range sightings {
		out = append(out, sightingWire{Trait: s.Trait, Age: s.Age})
	}
	return out
}

func (w suspicionWire) decode() ushersuspect.Message {
	m := ushersuspect.Message{Version: ushersuspect.MessageVersion, Answers: decodeSightings(w.Answers), Probes: decodeSightings(w.Probes)}
	for _, c := range w.Crashes {
		m.CrashReports = append(m.CrashReports, ushersuspect.CrashReport{Fingerprint: c.Content, Target: c.Target, Incarnation: c.Incarnation, Age: c.Age, Cleared: c.Cleared})
		if len(c.Parts) > 0 {
			m.Requests = append(m.Requests, ushersuspect.Request{Content: c.Content, Parts: c.Parts})
		}
	}
	return m
}

func decodeSightings(sightings []sightingWire) []ushersuspect.Sighting {
	var out []ushersuspect.Sighting
	for _, s := range sightings {
		out = append(out, ushersuspect.Sighting{Trait: s.Trait, Age: s.Age})
	}
	return out
}
