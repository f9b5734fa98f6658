// Package usherengine is a stand-in for a model engine.
//
// It uses continuous batching: each step generates one token for every running generation, and takes longer the more of
// them there are. Memory is limited; when it is full, the newest generation is preempted and recomputed later. A cold
// engine crashes if it is given more generations than its cold capacity, and warms up by generating tokens. The
// batching is that of package ushermodel, in real time. Load reports lag; cache events are late and some are lost. A
// generation continues for a while after its connection breaks, so that it can be resumed.
//
// The answer to a prompt is determined by the prompt and the generation id, see Config.Answer. A prompt that contains
// "tokens=N" is answered with exactly N tokens. One that contains "poison" crashes the engine if that fault is set.
//
// # Usage
//
//	engine := usherengine.New(usherengine.Config{Options: ushermodel.Options{Cold: true}})
//	defer engine.Close()
//	http.Serve(listener, engine)
package usherengine
