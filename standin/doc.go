// Package standin holds small stand-ins of the platform and of the targets, for the demo and the tests.
//
// No product code imports it. Each stand-in is one http.Handler whose state is in memory, with fault switches
// at /faults and a record of what it saw at /record, so that checkers need not ask the product.
//
// # Usage
//
//	engine := usherengine.New(usherengine.Config{})
//	defer engine.Close()
//	client := usherpipe.Serve(engine)
//	defer client.Close()
//	response, err := client.Get("http://engine/v1/report")
package standin
