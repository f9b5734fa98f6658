// Package ushermodel is a small model of a model engine that batches continuously, in explicit virtual time.
//
// The engine runs many generations at once. Each step makes one token of every running generation and takes
// longer the more sequences, cached tokens and new prompt tokens it covers. Cache memory is limited: when the
// running generations outgrow it, the newest of the lowest priority is preempted, and what it had is computed again later.
// A cold engine is slow, bears few generations and dies under full load; it warms by the tokens it makes.
// The model does no I/O and reads no clock, so the same calls give the same events.
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
//			break // idle or dead: nothing to do until the next Submit
//		}
//		now = now.Add(duration) // the events happen at the end of the step
//		handle(events)
//	}
package ushermodel
