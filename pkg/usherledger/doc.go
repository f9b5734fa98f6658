// Package usherledger keeps a request that is not idempotent from running twice.
//
// The id of such a request is minted by one incarnation of one gateway, and only the Ledger of that incarnation lets
// it run. The ledger keeps each id from its first use until it expires, so that a resend waits for the run in progress
// or gets the outcome that was kept. Any other gateway forwards the request, and a later incarnation of the same
// gateway answers that it does not know. Nothing is stored outside the process: whoever lost the ledger says
// "unknown" and never runs.
//
// An id that a ledger once refused as not_run stays refused, because a copy of the request may still be on its way.
// A ledger spends no room on what it refuses; instead it gives up every unused id up to the refused one. So whoever
// refuses a request with an id does it through its ledger.
//
// An id that has expired is "unknown" too, since its outcome may have been kept and dropped; so is one that does not
// parse, since it may be a damaged copy of an id that ran.
//
// # Usage
//
//	ledger := usherledger.New("kochi-1", incarnation, usherledger.Limits{})
//	id, err := keyring.ParseID(workspace, text)
//	if err != nil {
//		return usherledger.InvalidID(err)
//	}
//	decision, err := ledger.Begin(now, id, sha256.Sum256(body))
//	if err != nil {
//		return err // a usherrequest.Refusal
//	}
//	switch decision.Action {
//	case usherledger.Run: // dispatch, then ledger.Finish(now, id, result)
//	case usherledger.ReturnResult: // decision.Result
//	case usherledger.Wait: // until Finish is called for this id
//	case usherledger.Forward: // to decision.Gateway; if that fails, usherledger.GatewayUnreachable()
//	}
package usherledger
