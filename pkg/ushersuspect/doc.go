// Package ushersuspect finds requests that crash the targets which run them, and stops them.
//
// A request is known by its Fingerprint: workspace, template and parameters. Its id is not part of it, so a caller
// that sends the request again under a new id gets no fresh start. When a target dies, every request in progress on
// it is suspect. A suspect runs again only at one gateway, one at a time and on a target without another suspect, so
// that the next death names its cause. Two deaths refuse the request for a while; finishing clears it.
//
// A death is named by the target and its incarnation, so that all who see it count it once. What a Tracker has seen
// spreads to its peers as Messages. They may be lost, reordered and repeated: the state after them is the same.
//
// Schedulers keep a Tracker as well, to hold suspects of several gateways apart on one target.
//
// # Usage
//
//	tracker := ushersuspect.New("kochi-1", ushersuspect.Limits{})
//	fingerprint, err := ushersuspect.NewFingerprint(workspace, template, parameters)
//	switch decision := tracker.Decide(now, fingerprint, gateways); decision.Verdict {
//	case ushersuspect.Unrestricted: // any target
//	case ushersuspect.Isolated: // a target for which tracker.Apart(now, fingerprint, target) holds
//	case ushersuspect.Redirected: // refuse with the address of decision.Gateway
//	case ushersuspect.Wait, ushersuspect.Refused: // refuse with decision.RetryAfter
//	}
//	tracker.Start(target, attempt, fingerprint)
//	tracker.Finish(now, attempt, true)
//	tracker.TargetCrashed(now, target) // a crash; never call it for a planned stop
//	message, cursor := tracker.Changes(now, cursor)
package ushersuspect
