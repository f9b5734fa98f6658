// Package ushersuspect detects requests that crash the targets they run on, and stops them from being run again.
//
// A request is identified by its content, a hash of what the caller sent. The request ID is not included, so sending the
// same request under a new ID does not reset its history. A crash is identified by the target and its incarnation, so
// that a crash reported by several observers counts once. Trackers exchange crash reports in Messages. Merging is
// commutative and idempotent, so messages may be lost, reordered and repeated.
//
// There are two ways to use a Tracker. Both share its records and messages.
//
// With Decide, every request in progress on a crashed target becomes suspect by itself. A suspect request is retried by
// one gateway only, one attempt at a time and on a target that runs no other suspect, so that the next crash can be
// attributed to one request. After two crashes the request is refused until they expire; completing clears it. A
// scheduler can also keep a Tracker, to keep suspects of different gateways off the same target.
//
// With Admit, crashes are attributed to traits that requests have in common, so that requests which are no two alike are
// found as well: the content, the combination of the parts of their prompts that other requests may share, or one part.
// The trait that explains the most crashes is blamed first, and these crashes do not count against other traits. An
// answer to any request with a part clears the part, so a trait of requests that targets answer is not blamed for long.
// Some time after the last crash one request with a blamed trait is tried again: its answer ends the blame.
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
//
// Requests whose prompts have parts:
//
//	request := ushersuspect.Request{Content: content, Parts: []ushersuspect.Fingerprint{ushersuspect.NewPartFingerprint("appraiser", part)}}
//	switch decision := tracker.Admit(now, request, processes); decision.Verdict {
//	case ushersuspect.Unrestricted, ushersuspect.Probe: // send it
//	case ushersuspect.Refused: // refuse with decision.RetryAfter
//	}
//	tracker.RecordCrash(now, target, request) // the target crashed before it answered the request
//	tracker.RecordAnswer(now, request)
//	message := tracker.Evidence(now, limit) // for processes that may have missed changes
package ushersuspect
