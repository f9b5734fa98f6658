// Package usherrequest defines the types for a single request that are shared by all components: its outcomes, the
// evidence about each attempt, its lifecycle, its ID, and the handle for resuming its stream at another gateway.
//
// An Outcome is never set directly. It is derived from Evidence, which records what this process knows about the
// exchange with a target. A request of which nothing was written, or that the target refused at the protocol level,
// ends as NotRun; a request that was written but never answered ends as Unknown. Lifecycle collects the evidence of all
// attempts and ends exactly once.
//
// The text of an ID or Handle carries a message authentication code under a secret shared by all gateways, so a gateway
// can verify one that another gateway issued. The text is safe to use in a URL.
//
// # Usage
//
//	ids := usherrequest.IDGenerator{Gateway: "kochi-1", Incarnation: incarnation}
//	id, err := ids.NewID(now.Add(time.Hour), workspace, callerKey)
//	text, err := keyring.SignID(id)
//
//	lifecycle := usherrequest.NewLifecycle(usherrequest.Rules{Delivery: usherrequest.Stream})
//	err = lifecycle.Queue()
//	err = lifecycle.Grant()
//	err = lifecycle.Dispatch(ids.NewAttemptID()) // just before the first byte is written
//	refusal, err := lifecycle.Refuse(usherrequest.ReasonTargetLost)
//	fmt.Println(refusal.Outcome()) // unknown
package usherrequest
