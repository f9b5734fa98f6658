// Package usherengine is a stand-in of a model engine.
//
// It batches continuously: each step makes one token for every running generation, and takes longer the more of them
// there are. Memory is limited; when it is full the newest generation is preempted and recomputed later. A cold engine
// dies when it is given more generations than it bears, and warms up by making tokens. The batch is that of package
// ushermodel, in real time. Load reports lag, cache events are late and have gaps. A generation outlives its connection for a while, so that it can be resumed.
//
// The answer to a prompt is fixed by prompt and generation id, see Answer. A prompt that contains "tokens=N" is
// answered with exactly N tokens; one that contains "poison" kills the engine if that fault is switched on.
//
// # Usage
//
//	engine := usherengine.New(usherengine.Config{Options: ushermodel.Options{Cold: true}})
//	defer engine.Close()
//	http.Serve(listener, engine)
package usherengine
