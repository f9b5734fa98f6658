// Package usherledger ensures that a non-idempotent request runs at most once.
//
// The ID of such a request is issued by one incarnation of one gateway, and only the Ledger of that incarnation may
// start the request. The ledger keeps each ID from its first use until it expires, so that a retry waits for the run in
// progress or gets the stored result. Any other gateway forwards the request, and a later incarnation of the same
// gateway reports the outcome as unknown. The ledger is held in memory only: a gateway that has lost it reports
// "unknown" and never runs the request.
//
// An ID that a ledger has refused as not_run stays refused, because another copy of the request may still be in flight.
// To do so without an entry per refused ID, the ledger refuses every unused ID up to the highest refused one. A gateway
// must therefore refuse requests with an ID through its ledger.
//
// An expired ID is "unknown" too, since its result may have been stored and dropped. So is an ID that does not parse,
// since it may be a corrupted copy of an ID that ran.
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
//	case usherledger.Wait: // until Finish is called for this ID
//	case usherledger.Forward: // to decision.Gateway; if that fails, usherledger.GatewayUnreachable()
//	}
package usherledger
