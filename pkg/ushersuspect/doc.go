// Package ushersuspect detects requests that crash the targets they run on, and stops them from being run again.
//
// A request is identified by its Fingerprint, a hash of workspace, template and parameters. The request ID is not
// included, so sending the same request under a new ID does not reset its history. When a target crashes, every request
// in progress on it becomes suspect. A suspect request is retried by one gateway only, one attempt at a time and on a
// target that runs no other suspect, so that the next crash can be attributed to one request. After two crashes the
// request is refused until they expire; completing clears it.
//
// A crash is identified by the target and its incarnation, so that a crash reported by several observers counts once.
// Trackers exchange crash reports in Messages. Merging is commutative and idempotent, so messages may be lost,
// reordered and repeated.
//
// A scheduler can also keep a Tracker, to keep suspects of different gateways off the same target.
//
// # Usage
//
//	tracker := ushersuspect.New("kochi-1", ushersuspect.Limits{})
//	fingerprint, err := ushersuspect.NewFingerprint(workspace, template, parameters)
//	switch decision := tracker.Decide(now, fingerprint, gateways); decision.Verdict {
//	case ushersuspect.Unrestricted: // any target
//	case ushersuspect.Isolated: // a target for which tracker.CanIsolate(now, fingerprint, target) holds
//	case ushersuspect.Redirected: // refuse with the address of decision.Gateway
//	case ushersuspect.Wait, ushersuspect.Refused: // refuse with decision.RetryAfter
//	}
//	tracker.Start(target, attempt, fingerprint)
//	tracker.Finish(now, attempt, true)
//	tracker.TargetCrashed(now, target) // a crash; never call it for a planned stop
//	message, cursor := tracker.Changes(now, cursor)
package ushersuspect
