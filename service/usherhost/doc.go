// Package usherhost implements the daemon that runs on every host. It accepts callers' requests, chooses a target for
// each and relays the response, tells callers which hosts to use, and follows what the platform publishes.
//
// Each host decides for itself, using what the other hosts report. A request is handled by one host from its first byte
// to its last, so hosts do not have to agree on it. Limits that apply to all hosts together (rates of cold targets,
// retries) are divided evenly among the known hosts.
//
// ingress.go accepts a request, plain.go and stream.go send it to targets through exchange.go, relay.go relays the
// events of a stream, failover.go copies the KV cache of a generation and resumes its stream at another target, and
// refusal.go has every reason to refuse a request. feed.go reads the platform's store, peers.go and reports.go exchange
// data with other hosts, placement.go asks one of them to choose targets for streams, targetpoller.go asks targets for
// their state while no host has contact with the store, and state.go holds the state that all of them share.
//
// # Usage
//
//	settings, err := usherhost.LoadSettings(path)
//	host, err := usherhost.New(settings, usherhost.Platform{Store: store, Codec: codec, Engines: engines}, log)
//	err = host.Run(ctx, signals) // until SIGTERM and the end of the requests in progress
package usherhost
