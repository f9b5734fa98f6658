// Package standin contains small stand-ins for the platform and for the targets. The demo and the tests use them.
//
// No production code imports it. Each stand-in is an http.Handler with its state in memory. It has fault switches at
// /faults and a record of what it received at /record, so that checkers do not depend on the product's own output.
//
// # Usage
//
//	engine := usherengine.New(usherengine.Config{})
//	defer engine.Close()
//	client := usherpipe.Serve(engine)
//	defer client.Close()
//	response, err := client.Get("http://engine/v1/report")
package standin
