// Package usherhost is the daemon that runs on every host: it takes callers' requests, chooses a target for each and
// relays the answer, tells callers which hosts to use, and keeps up with what the platform publishes.
//
// Hosts decide each for itself with what the others tell. A request lives in one host from its first byte to its last,
// so nothing about it has to be agreed on. What all hosts must keep to together (rates of cold targets, repeated
// sends) is divided into even parts by the hosts that are known.
//
// The files follow a request: ingress.go takes it in, plain.go and stream.go send it to targets by way of exchange.go,
// relay.go passes on the events of a stream, handover.go lets it go on at another target, and refusal.go has every reason
// to turn a request away. feed.go reads the platform's store, peers.go talks to other hosts, inquiry.go asks targets where
// the store does not tell, core.go holds what all of them share.
//
// # Usage
//
//	settings, err := usherhost.LoadSettings(path)
//	host, err := usherhost.New(settings, usherhost.Platform{Store: store, Codec: codec, Engines: engines}, log)
//	err = host.Run(ctx, signals) // until SIGTERM and the end of what is in progress
package usherhost
