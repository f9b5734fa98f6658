package usherview_test

import (
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/samphireusher/samphireusher/pkg/usherconfig"
	"github.com/samphireusher/samphireusher/pkg/usherview"
)

func TestFleetStartsAndAdoptsNewVersions(t *testing.T) {
	f := newFleet(seed, 9, nil)
	f.publish(newSnapshot(1, 1, true))
	mustRun(t, f, 4*time.Second)
	if version, agreed := f.lowestVersion(); !agreed || version.Revision != 1 {
		t.Fatalf("in force %s, agreed %v", version, agreed)
	}
	f.publish(newSnapshot(2, 1, false))
	mustRun(t, f, 4*time.Second)
	for _, p := range f.processes {
		e := p.store.Eligible(f.now, "appraiser-kochi")
		if e.OK || e.Reason != usherview.DataCentreOutOfService {
			t.Errorf("%s: %+v", p.name, e)
		}
	}
	f.publish(newSnapshot(3, 1, true))
	back := f.now
	mustRun(t, f, 4*time.Second)
	for _, p := range f.processes {
		if e := p.store.Eligible(f.now, "appraiser-kochi"); !e.OK || e.ReturnedAt.Before(back) {
			t.Errorf("%s: %+v", p.name, e)
		}
		if e := p.store.Eligible(f.now, "appraiser-thrissur"); !e.OK || !e.ReturnedAt.IsZero() {
			t.Errorf("%s: %+v", p.name, e)
		}
	}
}

func TestInvalidValueKeepsLastValidVersion(t *testing.T) {
	tests := []struct {
		name, reason string
		publish      func(f *fleet)
	}{
		{"invalid snapshot", "weight", func(f *fleet) { f.publish(invalidSnapshot(2)) }},
		{"malformed index", "malformed", func(f *fleet) { f.platform.values[usherconfig.IndexKey] = []byte("{}") }},
		{"empty index", "malformed", func(f *fleet) { f.platform.values[usherconfig.IndexKey] = nil }},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			f := newFleet(seed, 3, nil)
			f.publish(newSnapshot(1, 1, true))
			mustRun(t, f, 4*time.Second)
			test.publish(f)
			mustRun(t, f, 8*time.Second)
			if version, agreed := f.lowestVersion(); !agreed || version.Revision != 1 {
				t.Errorf("in force %s, agreed %v", version, agreed)
			}
			for _, p := range f.processes {
				rejected := p.store.Dump(f.now).Rejected
				if len(rejected) != 1 || !strings.Contains(rejected[0].Reason, test.reason) {
					t.Errorf("%s rejected %+v", p.name, rejected)
				}
			}
			f.publish(newSnapshot(3, 1, true))
			mustRun(t, f, 4*time.Second)
			if version, agreed := f.lowestVersion(); !agreed || version.Revision != 3 {
				t.Errorf("in force %s, agreed %v", version, agreed)
			}
		})
	}
}

func TestStartAdoptsHighestPeerVersionWhilePlatformIsStale(t *testing.T) {
	f := newFleet(seed, 4, nil)
	f.publish(newSnapshot(1, 1, true))
	old := f.platform.values[usherconfig.IndexKey]
	f.publish(newSnapshot(2, 1, true))
	mustRun(t, f, 4*time.Second)
	f.platform.stale = old
	f.start(f.processes[0])
	mustRun(t, f, 4*time.Second)
	if version, agreed := f.lowestVersion(); !agreed || version.Revision != 2 {
		t.Errorf("in force %s, agreed %v", version, agreed)
	}
	if dump := f.processes[0].store.Dump(f.now); !dump.PlatformBehind {
		t.Errorf("the dump does not show that the platform is behind: %+v", dump)
	}
}

func TestStartDuringPlatformOutage(t *testing.T) {
	f := newFleet(seed, 4, nil)
	f.publish(newSnapshot(5, 1, true))
	mustRun(t, f, 4*time.Second)
	f.platform.down = true
	f.start(f.processes[0])
	mustRun(t, f, 4*time.Second)
	if version, agreed := f.lowestVersion(); !agreed || version.Revision != 5 {
		t.Errorf("in force %s, agreed %v", version, agreed)
	}
}

func TestStartDoesNotWaitForUndeliveredVersion(t *testing.T) {
	f := newFleet(seed, 4, nil)
	f.publish(newSnapshot(1, 1, true))
	mustRun(t, f, 4*time.Second)
	p := f.processes[0]
	f.start(p)
	for range 8 {
		p.store.Receive(f.now, usherview.Message{From: "p1", To: p.name, Poll: &usherview.Poll{
			Version: usherconfig.Version{Revision: 1 << 60},
		}})
		mustRun(t, f, 500*time.Millisecond)
	}
	if state := p.store.State(f.now); state != usherview.Serving {
		t.Errorf("still %s: %+v", state, p.store.Dump(f.now))
	}
}

func TestIsolatedProcessUsesOnlyItsOwnDataCentre(t *testing.T) {
	f := newFleet(seed, 3, nil)
	f.publish(newSnapshot(1, 1, true))
	mustRun(t, f, 4*time.Second)
	isolated := f.processes[0]
	for _, p := range f.processes[1:] {
		f.cutLinks[direction(isolated, p)], f.cutLinks[direction(p, isolated)] = true, true
	}
	f.platform.down = true
	mustRun(t, f, 4*time.Second)
	if e := isolated.store.Eligible(f.now, "appraiser-kochi"); !e.OK {
		t.Errorf("own data centre: %+v", e)
	}
	if e := isolated.store.Eligible(f.now, "appraiser-thrissur"); e.OK || e.Reason != usherview.StoreUnconfirmed {
		t.Errorf("other data centre: %+v", e)
	}
	if state := f.processes[1].store.State(f.now); state != usherview.Serving {
		t.Errorf("connected processes are %s", state)
	}
}

func TestOneWayLinkDoesNotConfirm(t *testing.T) {
	f := newFleet(seed, 3, nil)
	f.publish(newSnapshot(1, 1, true))
	mustRun(t, f, 4*time.Second)
	unreachable := f.processes[0]
	for _, p := range f.processes[1:] {
		f.cutLinks[direction(p, unreachable)] = true
	}
	f.platform.down = true
	mustRun(t, f, 4*time.Second)
	if state := unreachable.store.State(f.now); state != usherview.Unconfirmed {
		t.Errorf("a process whose messages arrive but that receives none is %s", state)
	}
	if state := f.processes[1].store.State(f.now); state != usherview.Serving {
		t.Errorf("connected processes are %s", state)
	}
}

func TestPausedProcessReconfirms(t *testing.T) {
	f := newFleet(seed, 3, nil)
	f.publish(newSnapshot(1, 1, true))
	mustRun(t, f, 4*time.Second)
	p := f.processes[1]
	p.pausedUntil = f.now.Add(10 * time.Second)
	f.publish(newSnapshot(2, 1, false))
	mustRun(t, f, 10*time.Second-tick)
	if e := p.store.Eligible(f.now.Add(tick), "appraiser-thrissur"); e.OK || e.Reason != usherview.StorePaused {
		t.Errorf("just after the pause: %+v", e)
	}
	mustRun(t, f, 2*time.Second)
	if e := p.store.Eligible(f.now, "appraiser-thrissur"); !e.OK {
		t.Errorf("after it is confirmed: %+v", e)
	}
	if e := p.store.Eligible(f.now, "appraiser-kochi"); e.OK {
		t.Errorf("data centre taken out of service during the pause: %+v", e)
	}
}

func TestConfirmationAgeCountsFromRoundTripStart(t *testing.T) {
	f := newFleet(seed, 3, nil)
	f.publish(newSnapshot(1, 1, true))
	mustRun(t, f, 4*time.Second)
	p := f.processes[0]
	f.platform.down = true
	f.delay = time.Hour // all responses stay in transit
	mustRun(t, f, 4*time.Second)
	var late []event
	for _, e := range f.events {
		if e.to == p {
			late = append(late, e)
		}
	}
	for _, e := range late {
		e.run(f.now)
	}
	_, at := p.store.Confirmed()
	if age := f.now.Sub(at); p.store.State(f.now) == usherview.Serving || age < 3*time.Second {
		t.Errorf("%d late messages confirmed the view as of %s ago", len(late), age)
	}
}

func TestRequireVersionFetchesFromSender(t *testing.T) {
	f := newFleet(seed, 2, nil)
	f.publish(newSnapshot(1, 1, true))
	mustRun(t, f, 4*time.Second)
	sender, receiver := f.processes[0], f.processes[1]
	f.platform.down = true
	snapshot := newSnapshot(2, 1, true)
	index, shards := values(snapshot)
	f.perform(sender, sender.store.Receive(f.now, usherview.Message{
		From: receiver.name, To: sender.name, FetchResponse: &usherview.FetchResponse{Index: index},
	}))
	f.perform(sender, sender.store.Receive(f.now, usherview.Message{
		From: receiver.name, To: sender.name, FetchResponse: &usherview.FetchResponse{Shards: shards},
	}))
	if sender.store.Version().Revision != 2 {
		t.Fatalf("sender has %s", sender.store.Version())
	}
	needed := usherconfig.Version{Revision: 2}
	ok, effects := receiver.store.RequireVersion(f.now, needed, sender.name)
	if ok || len(effects.Send) != 1 {
		t.Fatalf("RequireVersion = %v, %+v", ok, effects)
	}
	f.perform(receiver, effects)
	mustRun(t, f, time.Second)
	if ok, _ := receiver.store.RequireVersion(f.now, needed, sender.name); !ok {
		t.Errorf("receiver still has %s", receiver.store.Version())
	}
}

func TestInvalidAndUnsolicitedMessagesAreIgnored(t *testing.T) {
	f := newFleet(seed, 3, nil)
	f.publish(newSnapshot(1, 1, true))
	mustRun(t, f, 4*time.Second)
	index, shards := values(newSnapshot(2, 1, true))
	garbage := []byte("garbage")
	ahead := usherconfig.Version{Revision: 1 << 60}
	tests := []struct {
		name    string
		message usherview.Message
	}{
		{"empty", usherview.Message{}},
		{"malformed index", usherview.Message{FetchResponse: &usherview.FetchResponse{Version: ahead, Index: garbage}}},
		{"truncated index", usherview.Message{FetchResponse: &usherview.FetchResponse{Index: index[:len(index)-1]}}},
		{"unsolicited shards", usherview.Message{FetchResponse: &usherview.FetchResponse{Shards: append(shards, garbage, nil)}}},
		{"request for unknown shards", usherview.Message{FetchRequest: &usherview.FetchRequest{Shards: make([]usherconfig.Digest, 1000)}}},
		{"unsolicited summary", usherview.Message{Summary: &usherview.Summary{Echo: 1, Version: ahead}}},
		{"poll with an unknown version", usherview.Message{Poll: &usherview.Poll{Version: ahead}}},
	}
	p := f.processes[0]
	version := p.store.Version()
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			test.message.From, test.message.To = "p1", p.name
			f.perform(p, p.store.Receive(f.now, test.message))
			mustRun(t, f, 6*time.Second)
			if p.store.Version() != version || p.store.State(f.now) != usherview.Serving {
				t.Errorf("%+v", p.store.Dump(f.now))
			}
		})
	}
}

func TestDuplicateMembersAreIgnored(t *testing.T) {
	f := newFleet(seed, 3, nil)
	for _, p := range f.processes {
		p.store.SetMembers(append(f.members(), f.members()...))
	}
	f.publish(newSnapshot(1, 1, true))
	mustRun(t, f, 4*time.Second)
	if dump := f.processes[0].store.Dump(f.now); dump.Members != 2 || dump.State != usherview.Serving {
		t.Errorf("%+v", dump)
	}
}

func TestRemovingReaderChangesOneReader(t *testing.T) {
	var members []usherview.Member
	for _, name := range strings.Split("abcdefgh", "") {
		members = append(members, usherview.Member{Name: name, DataCentre: "kochi"}, usherview.Member{Name: name + name, DataCentre: "thrissur"})
	}
	before := usherview.Readers(members, "kochi", 3)
	after := usherview.Readers(slices.DeleteFunc(members, func(m usherview.Member) bool { return m.Name == before[0] }), "kochi", 3)
	if len(before) != 3 || len(after) != 3 || after[0] != before[1] || after[1] != before[2] {
		t.Errorf("readers %v, then %v", before, after)
	}
	if few := usherview.Readers(members, "nowhere", 3); len(few) != 0 {
		t.Errorf("readers %v of a data centre without members", few)
	}
}

func values(snapshot usherconfig.Snapshot) (index []byte, shards [][]byte) {
	for _, value := range usherconfig.Render(snapshot) {
		if value.Key == usherconfig.IndexKey {
			index = value.Data
		} else {
			shards = append(shards, value.Data)
		}
	}
	return index, shards
}
