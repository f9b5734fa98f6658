// Package usherspeed learns how fast the targets of a service are.
//
// A Tracker is fed with Samples: what one host saw of one run at one target. From them it estimates each target's factor, the
// ratio of its times to those that were forecast. All estimates are of logarithms. Each target's is shrunk towards the median of its
// service, by as much as its error is large against the spread between targets, so that a target without samples has the factor
// of the median, and the factors of a service whose targets do not differ by more than what is known of them are all 1. Samples lose
// their weight with time.
//
// Hosts differ in how they see the same target, for instance because of a bad link. The weight of one host's samples of a target is
// bounded, and where three or more hosts have reported, a host that differs from the median of them is cut off.
//
// An incarnation of a target is a target of its own. A Tracker does no I/O and reads no clock. Its zero value is ready to use. It is
// not safe for concurrent use.
//
// # Usage
//
//	var tracker usherspeed.Tracker
//	target := usherspeed.Target{Service: "appraiser", ID: "i-7f", Incarnation: born}
//	tracker.Record(now, usherspeed.Sample{Target: target, Host: "kochi-1", Expected: expected, Seen: seen})
//	estimate := tracker.Estimate(now, target)
//	firstEvent := estimate.Scale(expected)
//	risk := estimate.PauseRisk(180 * time.Millisecond)
package usherspeed
