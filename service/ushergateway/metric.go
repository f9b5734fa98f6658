package ushergateway

import "github.com/rcrowley/go-metrics"

// meters holds the gateway's metrics.
type meters struct {
	accepted, completed, refused, retries, resumes, tokens metrics.Counter
	firstToken, betweenTokens                              metrics.Histogram
}

func newMeters(registry metrics.Registry) meters {
	const (
		reservoir = 1028
		alpha     = 0.015
	)
	if registry == nil {
		registry = metrics.NewRegistry()
	}
	counter := func(name string) metrics.Counter { return metrics.NewRegisteredCounter("gateway."+name, registry) }
	histogram := func(name string) metrics.Histogram {
		return metrics.NewRegisteredHistogram("gateway."+name, registry, metrics.NewExpDecaySample(reservoir, alpha))
	}
	return meters{
		accepted: counter("accepted"), completed: counter("completed"), refused: counter("refused"),
		retries: counter("retries"), resumes: counter("resumes"), tokens: counter("tokens"),
		firstToken: histogram("first_token_us"), betweenTokens: histogram("between_tokens_us"),
	}
}
