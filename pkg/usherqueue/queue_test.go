package usherqueue_test

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/samphireusher/samphireusher/pkg/usherqueue"
)

const service = "appraiser"

// load drives a queue with an engine that grants a number of tokens per second.
type load struct {
	queue   usherqueue.Queue[string]
	now     time.Time
	waiting map[usherqueue.Key]usherqueue.Request
	asked   map[usherqueue.Key]time.Time
	// granted and refused are in the order of the verdicts, retries has the advice to those refused.
	granted, refused []usherqueue.Request
	retries          []time.Duration
	spare, capacity  float64
	number           int
	// lump is the room that comes at once, waited the longest wait of an urgent request that was granted room.
	lump   float64
	waited time.Duration
	// held is the number of requests that were refused after half of their caller's time.
	held int
	// kept reports whether room is kept free for a request that is due.
	kept bool
}

func newLoad(tokensPerSecond float64) *load {
	return &load{now: time.Unix(1e9, 0), waiting: map[usherqueue.Key]usherqueue.Request{}, asked: map[usherqueue.Key]time.Time{}, capacity: tokensPerSecond}
}

// urgent and lesser return requests of the two kinds.
func urgent(workspace string) usherqueue.Request {
	return usherqueue.Request{Workspace: workspace, Tokens: 2200, Objective: 1500 * time.Millisecond, Patience: 6 * time.Second}
}

func lesser(workspace string) usherqueue.Request {
	return usherqueue.Request{Workspace: workspace, Rank: 2, Tokens: 3700, Objective: 4 * time.Second, Patience: 39 * time.Second}
}

func (l *load) add(r usherqueue.Request) {
	l.number++
	r.Service, r.Key, r.Needed = service, usherqueue.Key{Host: "a", Attempt: fmt.Sprintf("%06d", l.number)}, 300*time.Millisecond
	l.waiting[r.Key], l.asked[r.Key] = r, l.now
	l.settle(r.Key, l.queue.Ask(l.now, r))
}

func (l *load) settle(key usherqueue.Key, answer usherqueue.Answer[string]) {
	r := l.waiting[key]
	switch answer.Verdict {
	case usherqueue.Go:
		l.granted = append(l.granted, r)
		if r.Rank == 0 {
			l.waited = max(l.waited, l.now.Sub(l.asked[key]))
		}
	case usherqueue.Refuse:
		if l.now.Sub(l.asked[key]) > r.Patience/2 {
			l.held++
		}
		l.refused, l.retries = append(l.refused, r), append(l.retries, answer.RetryAfter)
	default:
		return
	}
	delete(l.waiting, key)
}

// run advances the time in steps of 20 ms, with a pass and the hosts' asks in each, and calls arrive before each step.
func (l *load) run(d time.Duration, arrive func(step int)) {
	for step := range int(d / (20 * time.Millisecond)) {
		if arrive != nil {
			arrive(step)
		}
		l.now = l.now.Add(20 * time.Millisecond)
		l.kept = false
		l.spare = min(l.spare+l.capacity/50, max(l.capacity/10, l.lump, 4000))
		for _, key := range l.queue.Grant(l.now, service, l.place) {
			answer, _ := l.queue.Answer(key)
			l.settle(key, answer)
		}
		for key, r := range l.waiting {
			elapsed := l.now.Sub(l.asked[key])
			r.Objective, r.Patience, r.Waited = r.Objective-elapsed, r.Patience-elapsed, elapsed
			if step%5 == 0 {
				l.settle(key, l.queue.Ask(l.now, r))
			}
		}
	}
}

func (l *load) place(r usherqueue.Request, due bool) (string, bool) {
	if float64(r.Tokens) > l.spare || l.kept && !due {
		l.kept = l.kept || due
		return "", false
	}
	l.spare -= float64(r.Tokens)
	return "engine", true
}

// count returns how many requests of a rank there are.
func count(requests []usherqueue.Request, rank int) int {
	n := 0
	for _, r := range requests {
		if r.Rank == rank {
			n++
		}
	}
	return n
}

// Load: a long kind of low rank arrives at 2.2 times the rate that can be served, the urgent kind as always.
func TestBurstOfLesserKindDoesNotDelayUrgentRequests(t *testing.T) {
	l := newLoad(100_000)
	l.run(9*time.Second, func(step int) {
		l.add(lesser("a"))
		if step%5 == 0 {
			l.add(urgent("a"))
		}
	})
	if n := count(l.granted, 0); n < 88 || count(l.refused, 0) > 0 {
		t.Errorf("%d of 90 urgent requests granted, %d refused", n, count(l.refused, 0))
	}
	if l.waited > 300*time.Millisecond {
		t.Errorf("an urgent request waited for %s behind lesser ones", l.waited)
	}
	if n := count(l.granted, 2); n < 130 {
		t.Errorf("%d lesser requests granted, want at least 130 from what is left", n)
	}
}

// Load: the urgent kind alone arrives at 1.8 times the rate that can be served.
func TestBurstOfUrgentKindLeavesLowerRankItsFloor(t *testing.T) {
	l := newLoad(100_000)
	l.run(6*time.Second, func(step int) {
		l.add(urgent("a"))
		l.add(urgent("a"))
		if step%5 == 0 {
			l.add(lesser("a"))
		}
	})
	if n, all := count(l.granted, 2), len(l.granted); n < all/12 || n > all/6 {
		t.Errorf("%d of %d grants went to the lower rank, want about one of nine", n, all)
	}
	held := 0
	for key, r := range l.waiting {
		if r.Rank == 0 && l.now.Sub(l.asked[key]) > r.Patience {
			held++
		}
	}
	if held > 0 {
		t.Errorf("%d urgent requests held beyond their time", held)
	}
}

// Load: the urgent kind arrives at twice the rate that can be served and a lesser one with it, so those that are late and the lesser ones get
// only their floors.
func TestFloodOfUrgentKindIsRefusedInTimeToReturn(t *testing.T) {
	l := newLoad(50_000)
	l.run(12*time.Second, func(step int) {
		l.add(urgent("a"))
		if step%2 == 0 {
			l.add(lesser("a"))
		}
	})
	if n := len(l.refused); n < 100 || l.held > n/3 {
		t.Errorf("%d of %d refused after more than half of their caller's time", l.held, n)
	}
	if n := count(l.refused, 2); n > 0 {
		t.Errorf("%d of the lower rank refused, whose callers have the time to wait for the end of the burst", n)
	}
}

// Load: a sixth of the engines is reclaimed each 3.3 s and back after 1.5 s, with demand at the rate of all of them.
func TestReclaimEach3300msRefusesNoRequestThatCanBeServed(t *testing.T) {
	l := newLoad(100_000)
	l.run(20*time.Second, func(step int) {
		l.capacity = 100_000
		if step%165 < 75 {
			l.capacity = 83_000
		}
		if step%2 == 0 {
			l.add(urgent("a"))
		}
		if step%6 == 0 {
			l.add(lesser("b"))
		}
	})
	if len(l.refused) > 0 || len(l.waiting) > 40 {
		t.Errorf("%d refused and %d waiting of %d", len(l.refused), len(l.waiting), l.number)
	}
}

// Load: engines that were filled at once have room for seven requests each 3.5 s, and 15 wait that have ten times that time.
func TestRoomThatComesInLumpsRefusesNobodyWithTime(t *testing.T) {
	l := newLoad(0)
	l.lump = 26_000
	for range 15 {
		l.add(lesser("a"))
	}
	l.run(8*time.Second, func(step int) {
		if step%175 == 174 {
			l.spare = l.lump
		}
	})
	if len(l.refused) > 0 || len(l.granted) != 14 {
		t.Errorf("%d of 15 granted, %d refused", len(l.granted), len(l.refused))
	}
}

// Load: one workspace sends ten times what the others do.
func TestHotWorkspaceDoesNotDelayOthers(t *testing.T) {
	l := newLoad(60_000)
	l.run(4*time.Second, func(step int) {
		l.add(urgent("hot"))
		if step%10 == 0 {
			l.add(urgent("b"))
		}
	})
	late := 0
	for _, r := range l.waiting {
		if r.Workspace == "b" {
			late++
		}
	}
	if late > 2 {
		t.Errorf("%d of 20 requests of the other workspace wait", late)
	}
}

// Load: callers that were refused come back at once, among as many new ones.
func TestCallersThatReturnComeBeforeNewOnes(t *testing.T) {
	l := newLoad(0)
	hopeless := urgent("a")
	hopeless.Patience, hopeless.Content = 100*time.Millisecond, 7
	l.add(hopeless)
	if len(l.refused) != 1 {
		t.Fatal("a request that cannot begin in its time was not refused")
	}
	back := urgent("a")
	back.Content = 7
	for range 3 {
		l.add(urgent("a"))
		l.add(back)
	}
	l.capacity = 200_000
	l.run(200*time.Millisecond, nil)
	if l.granted[0].Content != 7 || l.granted[1].Content == 7 {
		t.Errorf("granted %v, want the request that came back first, once", l.granted[:2])
	}
}

// Load: engines are back after an outage, and 200 callers were refused meanwhile.
func TestRefusedCallersReturnOneAfterAnother(t *testing.T) {
	l := newLoad(20_000)
	l.run(4*time.Second, func(int) {
		for range 3 {
			l.add(urgent("a"))
		}
	})
	if len(l.retries) < 200 {
		t.Fatalf("%d refused, want 200", len(l.retries))
	}
	var perTenth [21]int
	for _, r := range l.retries[len(l.retries)-200:] {
		if r < 100*time.Millisecond || r > 2*time.Second {
			t.Errorf("told to return after %s, want 0.1 s to a third of the caller's time", r)
		}
		perTenth[int(min(r, 2*time.Second)/(100*time.Millisecond))]++
	}
	for i, n := range perTenth {
		if n > 30 {
			t.Errorf("%d of 200 return in the same tenth of a second (%d)", n, i)
		}
	}
}

// Load: more small requests than can be served, and some that need a tenth of the room; and some that are late already.
func TestLargestTenthAndLateOnesAreNotStarved(t *testing.T) {
	l := newLoad(60_000)
	l.run(8*time.Second, func(step int) {
		l.add(lesser("a"))
		if step%50 == 0 {
			big, late := lesser("b"), lesser("c")
			big.Tokens, late.Objective = 5900, 0
			l.add(big)
			l.add(late)
		}
	})
	big, late := 0, 0
	for _, r := range l.granted {
		if r.Tokens == 5900 {
			big++
		}
		if r.Objective == 0 {
			late++
		}
	}
	if big < 6 || late < 6 {
		t.Errorf("%d of 8 large and %d of 8 late requests granted, want 6", big, late)
	}
}

// Load: more requests wait than the queue holds; then all hosts are lost.
func TestFullQueueRefusesTheLastInOrderAndForgetsLostHosts(t *testing.T) {
	l := newLoad(0)
	for range usherqueue.MaxEntries {
		l.add(lesser("a"))
	}
	l.add(lesser("a"))
	if len(l.refused) != 1 {
		t.Errorf("%d refused, want the one that came last", len(l.refused))
	}
	l.add(urgent("a"))
	l.run(20*time.Millisecond, nil)
	if len(l.refused) != 2 || count(l.refused, 0) != 0 {
		t.Errorf("%d refused, want a lesser one in place of the urgent one", len(l.refused))
	}
	if n := l.queue.Waiting(l.now.Add(2*time.Second), service); n != 0 {
		t.Errorf("%d entries left of hosts that ask no more", n)
	}
}

// Load: three kinds wait while there is no room, and the urgent ones are late by then. The workspace's precedence goes first, then what can be in
// time, then the rank.
func TestOrderIsPrecedenceThenInTimeThenRank(t *testing.T) {
	l := newLoad(0)
	late, second := urgent("weavers"), lesser("weavers")
	late.Objective = 100 * time.Millisecond
	second.Precedence = 1
	early := urgent("weavers")
	early.Precedence = 1
	for _, r := range []usherqueue.Request{early, second, late, lesser("weavers")} {
		l.add(r)
	}
	l.run(200*time.Millisecond, nil)
	var order []string
	for _, r := range l.queue.Requests(l.now) {
		order = append(order, fmt.Sprintf("%d.%d", r.Precedence, r.Rank))
	}
	if want := []string{"0.2", "0.0", "1.0", "1.2"}; !slices.Equal(order, want) {
		t.Errorf("precedence and rank in order: %v, want %v", order, want)
	}
}
