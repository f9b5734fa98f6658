// Package ushercall defines the data of a caller's request while a host handles it: the Call as received, the Dispatch
// that accompanies it to a target, and the ResponseInfo from the header of the target's response.
//
// Each attempt of a caller has its own attempt id: a caller that retries must use a new one.
//
// # Usage
//
//	dispatch := ushercall.Dispatch{Target: "i-7f", Remaining: deadline.Sub(now), Workspace: "weavers"}
//	dispatch = dispatch.WithBackup(holder)
package ushercall

import (
	"net/http"
	"net/netip"
	"time"
)

type (
	// Call is one attempt of a caller's request.
	Call struct {
		// Attempt is the id of this attempt.
		Attempt string
		Method  string
		Host    string
		// URI is the unmodified request target, including the query.
		URI  string
		Path string
		// Header holds the headers that are forwarded to targets.
		Header http.Header
		// APIKey is the caller's API key. It is not forwarded.
		APIKey string
		// Timeout is how long the caller waits for the response; zero if not given.
		Timeout time.Duration
		// PromptTokens and MaxOutputTokens are zero for plain calls.
		PromptTokens    int
		MaxOutputTokens int
		// OutputHint is the caller's estimate of the output length in tokens; zero if not given.
		OutputHint int
		// SharedParts are the ids of the parts of the prompt that other requests may have too, in order. OwnPart is the id of
		// the last part, which belongs to the request itself.
		// SharedTokens are the numbers of tokens of SharedParts.
		SharedParts  []string
		SharedTokens []int
		OwnPart      string
		// Model is the model that is to answer; empty if not given.
		Model string
		// LastEventID is the id of the last event that the caller received of a stream to be resumed.
		LastEventID string
		Body        []byte
	}

	// Copy identifies a copy of a run's KV cache.
	Copy struct {
		// Address is the address of the target at which the copy is registered.
		Address netip.AddrPort
		// Handle identifies the copy at that target.
		Handle string
	}

	// StoppedRun is a run that its target has ended on request.
	StoppedRun struct {
		// Kept is the run's KV cache at that target; zero if the target did not have the run any more.
		Kept Copy
		// Copied reports whether the KV cache is at the destination of the request as well.
		Copied bool
	}

	// Dispatch is the data that is sent to a target in addition to the call itself.
	Dispatch struct {
		// Target is the id of the only target that may run the call. Any other target at the same address refuses it.
		Target string
		// Remaining is how much longer the caller waits for the response.
		Remaining time.Duration
		Workspace string
		// Priority is the rank among the target's requests; zero is the most urgent.
		Priority int
		// Backup is the target to which the run's KV cache is copied as it grows; zero for none.
		Backup netip.AddrPort
		// ResumeFrom is the copy from which the run is continued; zero for a new run.
		ResumeFrom Copy
		// LastEventID is the id of the last event relayed to the caller of a stream that is continued.
		LastEventID string
	}

	// Notice is what a target says of itself in the header of a response.
	Notice struct {
		// Leaving is set if the target is about to leave and wants no new work.
		Leaving bool
		// Rest is for how long, from the response on, the target wants nothing from this host; zero if it did not say.
		Rest time.Duration
		// Limited is set if the target names a limit: Limit requests a second from all hosts together.
		Limited bool
		Limit   float64
		// Unlimited is set if the response shows that the target names no limit any more.
		Unlimited bool
		// Unusable describes the values that mean nothing and were ignored; empty if there were none.
		Unusable string
	}

	// ResponseInfo is the metadata in the header of a target's response.
	ResponseInfo struct {
		// Attempt is the attempt that the response belongs to.
		Attempt string
		// NotRun is true if the target has not run the call and never will.
		NotRun bool
		// Misdirected is true if the address belongs to another target.
		Misdirected bool
		// Signed is true if the response carries the target's proof of origin.
		Signed bool
		// ColdRemaining is how much longer the target will be cold, that is, not ready for its full load; zero if not given.
		ColdRemaining time.Duration
		// Notice is what the target says of itself. It is empty for a response from another target.
		Notice Notice
	}
)

// PeakTokens returns the expected KV cache size of the call's run at its end, in tokens.
func (c *Call) PeakTokens() int {
	return c.PromptTokens + c.OutputTokens()
}

// OutputTokens returns the expected output length in tokens: the caller's hint, limited by the maximum, or the maximum if
// there is no hint.
func (c *Call) OutputTokens() int {
	if c.OutputHint > 0 && (c.MaxOutputTokens == 0 || c.OutputHint < c.MaxOutputTokens) {
		return c.OutputHint
	}
	return c.MaxOutputTokens
}

// WithBackup returns the dispatch with the target to which the run's KV cache is copied.
func (d Dispatch) WithBackup(to netip.AddrPort) Dispatch {
	d.Backup = to
	return d
}

// WithCopy returns the dispatch for a run that is continued from the given KV cache copy, after the event with id
// lastEventID.
func (d Dispatch) WithCopy(from Copy, lastEventID string) Dispatch {
	d.ResumeFrom, d.LastEventID = from, lastEventID
	return d
}
