// Package ushermodel simulates a model engine with continuous batching, in explicit virtual time.
//
// The engine runs many generations at once. Each step generates one token of every running generation. The more
// sequences, cached tokens and new prompt tokens a step processes, the longer it takes. Cache memory is limited: when
// the running generations outgrow it, the newest one of the lowest priority is preempted, and its cache is recomputed
// later. A cold engine is slow, has a small capacity and crashes under full load; it warms up by generating tokens. The
// simulation does no I/O and does not read the clock, so the same calls produce the same events.
//
// # Usage
//
//	engine := ushermodel.New(ushermodel.Options{})
//	if err := engine.Submit(now, ushermodel.Request{Generation: "g1", PromptTokens: 300, OutputTokens: 50}); err != nil {
//		return err
//	}
//	for {
//		duration, events := engine.Step(now)
//		if duration == 0 {
//			break // idle or down: nothing to do until the next Submit
//		}
//		now = now.Add(duration) // the events happen at the end of the step
//		handle(events)
//	}
package ushermodel
