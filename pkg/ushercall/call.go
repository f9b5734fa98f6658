// Package ushercall holds what hosts know of a caller's request while they handle it: the Call as it was received, the
// Dispatch that one target gets of it, and the Answer that a target's response begins with.
//
// A Call's attempt is unique to one sending by a caller: a caller that tries again uses another.
//
// # Usage
//
//	dispatch := ushercall.Dispatch{Target: "i-7f", Left: deadline.Sub(now), Workspace: "weavers"}
//	dispatch = dispatch.WithBackup(holder)
package ushercall

import (
	"net/http"
	"net/netip"
	"time"
)

type (
	// Call is one attempt of a caller.
	Call struct {
		// Attempt identifies this attempt.
		Attempt string
		Method  string
		Host    string
		// URI is the request target as the caller sent it, with the query.
		URI  string
		Path string
		// Header has what is forwarded to targets.
		Header http.Header
		// APIKey is the caller's key, which is not forwarded.
		APIKey string
		// Timeout is how long the caller waits; zero if it does not say.
		Timeout time.Duration
		// PromptTokens and MaxOutputTokens are zero for plain calls.
		PromptTokens    int
		MaxOutputTokens int
		// OutputHint is the caller's estimate of the length of the answer in tokens; zero if it has none.
		OutputHint int
		// LastEventID is the id of the last event that the caller has of a stream it resumes.
		LastEventID string
		Body        []byte
	}

	// Copy names a copy of a run's memory.
	Copy struct {
		// Address is that of the target which the copy is known by.
		Address netip.AddrPort
		// Handle is the copy's name there.
		Handle string
	}

	// Dispatch is what one target gets beside the call itself.
	Dispatch struct {
		// Target is the only one that may run the call; any other at that address refuses it.
		Target string
		// Remaining is how long the caller still waits.
		Remaining time.Duration
		Workspace string
		// Priority is the rank among the target's requests; zero is the most urgent.
		Priority int
		// Backup is the target to which the run's memory is copied while it grows; zero for none.
		Backup netip.AddrPort
		// ResumeFrom is the copy with which the run goes on; zero for a new run.
		ResumeFrom Copy
		// LastEventID is the id of the last event that was relayed of a stream that goes on.
		LastEventID string
	}

	// Answer is what a target's response says of itself.
	Answer struct {
		// Attempt is the attempt that the response belongs to.
		Attempt string
		// NotRun says that the target did not run the call and never will.
		NotRun bool
		// Misdirected says that another target has the address.
		Misdirected bool
		// Signed says that the response carries the target's proof of origin.
		Signed bool
		// ColdRemaining is how much longer the target is cold; zero if it does not say.
		ColdRemaining time.Duration
	}
)

// PeakTokens returns the memory that the call's run needs at its expected end.
func (c *Call) PeakTokens() int {
	return c.PromptTokens + c.OutputTokens()
}

// OutputTokens estimates the length of the answer.
func (c *Call) OutputTokens() int {
	if c.OutputHint > 0 && (c.MaxOutputTokens == 0 || c.OutputHint < c.MaxOutputTokens) {
		return c.OutputHint
	}
	return c.MaxOutputTokens
}

// WithBackup returns the dispatch with a target for copies of the run's memory.
func (d Dispatch) WithBackup(to netip.AddrPort) Dispatch {
	d.Backup = to
	return d
}

// WithCopy returns the dispatch of a run that goes on from a copy after an event.
func (d Dispatch) WithCopy(from Copy, lastEvent string) Dispatch {
	d.ResumeFrom, d.LastEventID = from, lastEvent
	return d
}
