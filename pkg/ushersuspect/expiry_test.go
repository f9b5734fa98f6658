package ushersuspect_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/samphireusher/samphireusher/pkg/ushersuspect"
	"pgregory.net/rapid"
)

const (
	evidenceLimit = 8
	// crashTTL lets crashes expire often between other events.
	crashTTL = 20 * time.Second
)

// Blame was kept for up to 37 s after its last crash had expired, and the evidence for it was looked up among no crashes: every
// host panicked ten minutes after a deadly request. Found by the review, drill expiry.
func TestBlameEndsWithItsEvidence(t *testing.T) {
	for _, quiet := range []time.Duration{0, time.Millisecond, time.Second, 20 * time.Second, 40 * time.Second} {
		t.Run(quiet.String(), func(t *testing.T) {
			c := newBlameCase()
			for range 3 {
				c.crash(parts("x", "y"))
			}
			last := c.now
			// Blame is worked out again just before the last crash expires.
			c.now = last.Add(ushersuspect.DefaultCrashTTL - time.Second)
			c.crash(parts("z"))
			c.tracker.Blamed(c.now)
			c.now = last.Add(ushersuspect.DefaultCrashTTL + quiet)
			if evidence := c.tracker.Evidence(c.now, evidenceLimit); !evidence.IsEmpty() {
				t.Errorf("evidence %+v after the crashes have expired", evidence)
			}
			if blamed := c.tracker.Blamed(c.now); len(blamed) > 0 {
				t.Errorf("blamed %v after the crashes have expired", blamed)
			}
			if c.refuses("x", "y") {
				t.Error("a request is refused after the crashes have expired")
			}
		})
	}
}

// Crashes, answers, tries, messages and expiries come in any order. No call may panic, and whatever is blamed has evidence,
// from which another host comes to blame it too.
func TestBlameAndEvidenceAgreeAtAnyTime(t *testing.T) {
	useSeed(t)
	rapid.Check(t, func(t *rapid.T) {
		random := rand.New(rand.NewPCG(rapid.Uint64().Draw(t, "walk"), 1))
		hosts := []*blameCase{newBlameCase(), newBlameCase()}
		for _, c := range hosts {
			c.tracker = ushersuspect.New("h", ushersuspect.Limits{MaxRequests: 16, CrashTTL: crashTTL})
		}
		now, count := start, 0
		for range 60 {
			now = now.Add([]time.Duration{0, time.Millisecond, 300 * time.Millisecond, time.Second, 3 * time.Second, 9 * time.Second}[random.IntN(6)])
			c, other := hosts[random.IntN(2)], hosts[random.IntN(2)]
			c.now, c.count = now, count
			p := parts(fmt.Sprint(random.IntN(2)), fmt.Sprint(2+random.IntN(2)))[:random.IntN(3)]
			switch random.IntN(5) {
			case 0, 1:
				c.crash(p)
			case 2:
				c.answer(p...)
			case 3:
				c.tracker.Admit(now, c.prompt(p...), alone)
			case 4:
				message, _ := c.tracker.ChangesUpTo(now, 0, evidenceLimit)
				if err := other.tracker.Merge(now, message); err != nil {
					t.Fatal(err)
				}
			}
			now, count = c.now, c.count
			checkEvidence(t, c, now)
		}
	})
}

// checkEvidence fails the test if something is blamed without evidence, or the evidence does not make another host blame it.
func checkEvidence(t *rapid.T, c *blameCase, now time.Time) {
	blamed := c.tracker.Blamed(now)
	evidence := c.tracker.Evidence(now, evidenceLimit)
	if (len(blamed) > 0) != (len(evidence.CrashReports) > 0) {
		t.Fatalf("blamed %v with evidence %+v", blamed, evidence)
	}
	if len(blamed) != 1 {
		return
	}
	fresh := ushersuspect.New("g", ushersuspect.Limits{CrashTTL: crashTTL})
	if err := fresh.Merge(now, evidence); err != nil {
		t.Fatal(err)
	}
	if len(fresh.Blamed(now)) == 0 {
		t.Fatalf("blamed %v, but evidence %+v convinces no other host", blamed, evidence)
	}
}
