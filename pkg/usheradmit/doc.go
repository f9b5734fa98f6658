// Package usheradmit decides which generation runs where and when.
//
// Nobody knows how long a generation will run. Lengths learns the lengths of each template, also from generations that still run,
// and Admission lets a target take another generation only while the sum of likely peaks fits its memory at a
// chosen risk and its steps stay short. What does not fit waits in Queue, fair between workspaces and short interactive kinds
// first, or is refused with the time after which a retry is likely to be taken. Placement looks for the target
// with the most room among a sample whose size grows with the logarithm of the number of targets. RetryBudget and Quota bound
// retries and rates. Scheduler joins them. Nothing here does I/O or reads a clock; one goroutine must own each value.
//
// # Usage
//
//	scheduler := usheradmit.New(usheradmit.Options{})
//	scheduler.SetTarget(now, usheradmit.Target{ID: "kochi-1", MemoryTokens: 60_000, InService: true})
//	decision := scheduler.Offer(now, usheradmit.Request{Attempt: "a1", Workspace: "weavers", Template: "appraisal", PromptTokens: 600})
//	if !decision.Queued {
//		return refuse(decision.Reason, decision.RetryAfter)
//	}
//	grants, refusals := scheduler.Next(now) // after each change, and every few milliseconds while work waits
//
// While a generation runs its owner calls Progress about twice a second, and Finish at the end.
package usheradmit
