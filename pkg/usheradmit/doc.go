// Package usheradmit decides when and on which target a generation runs.
//
// The length of a generation is not known in advance. Lengths estimates the length distribution of each template, also from
// generations that are still running. Admission lets a target take another generation only while the predicted peak demand
// fits its memory with a risk margin and its step time stays within a limit. Requests that don't fit wait in Queue, which
// is fair between workspaces and serves interactive requests first, or are refused with the time after which a retry is
// likely to be accepted. Placement selects the target with the most free memory from a sample whose size grows with the
// logarithm of the number of targets. RetryBudget and Quota limit retries and rates. Scheduler combines these parts.
//
// The package does no I/O and does not read the clock. Its values are not safe for concurrent use.
//
// # Usage
//
//	scheduler := usheradmit.New(usheradmit.Options{})
//	scheduler.SetTarget(usheradmit.Target{ID: "kochi-1", MemoryTokens: 60_000, Limit: usheradmit.Unlimited, InService: true})
//	decision := scheduler.Offer(now, usheradmit.Request{Attempt: "a1", Workspace: "weavers", Template: "appraisal", PromptTokens: 600})
//	if !decision.Queued {
//		return refuse(decision.Reason, decision.RetryAfter)
//	}
//	assignments, refusals := scheduler.Next(now) // after each change, and every few milliseconds while requests wait
//
// The caller calls Progress about twice a second while a generation runs, and Finish at its end.
package usheradmit
