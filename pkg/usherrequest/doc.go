// Package usherrequest holds what every part of the system agrees on about a single request: how it may end, what
// is known about each attempt, its life cycle, its id and the handle that resumes its stream at another gateway.
//
// An Outcome is never chosen. It follows from Evidence: what this process knows to have happened between it and a
// target. A request that wrote nothing, or that its target refused by protocol, ends in NotRun; a request that was
// written and never answered ends in Unknown. Lifecycle collects the evidence of every attempt and ends exactly once.
//
// An ID and a Handle carry an authentication code under a secret that all gateways share, so a gateway trusts one
// that it did not mint itself. Their text is safe in a URL.
//
// # Usage
//
//	ids := usherrequest.IDGenerator{Gateway: "kochi-1", Incarnation: incarnation}
//	id, err := ids.NewID(now.Add(time.Hour), workspace, callerKey)
//	text, err := keyring.SignID(id)
//
//	life := usherrequest.NewLifecycle(usherrequest.Rules{Delivery: usherrequest.Stream})
//	err = life.Queue()
//	err = life.Grant()
//	err = life.Dispatch(ids.NewAttemptID()) // just before the first byte is written
//	refusal, err := life.Refuse(usherrequest.ReasonTargetLost)
//	fmt.Println(refusal.Outcome()) // unknown
package usherrequest
