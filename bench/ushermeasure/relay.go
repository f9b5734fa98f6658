package ushermeasure

import (
	"bufio"
	"bytes"
	"context"
	"io"
	"log/slog"
	"net/http"
	"net/netip"
	"strconv"
	"time"

	"github.com/rcrowley/go-metrics"

	"github.com/samphireusher/samphireusher/bench/usherload"
	"github.com/samphireusher/samphireusher/pkg/usherrequest"
	"github.com/samphireusher/samphireusher/service/ushergateway"
	"github.com/samphireusher/samphireusher/service/ushergrant"
	"github.com/samphireusher/samphireusher/service/ushertarget"
)

const (
	// Fast makes the engine send as fast as the client reads. Paced has 36 ms between tokens, as the users' requirements
	// state.
	Fast  = "fast"
	Paced = "paced"

	pacedGap    = 36 * time.Millisecond
	fastTokens  = 20_000
	pacedTokens = 150
	copyBytes   = 4 << 10
	// streamsWarmUp is the time after which all paced streams are running.
	streamsWarmUp = 3 * time.Second
)

type (
	// relaySetup is an engine in the load process and two relays to it in the measured process: the gateway, and a proxy
	// that only copies events.
	relaySetup struct {
		load               *usherload.Load
		engine             string
		gateway, copyProxy string
		tokens             int
	}

	// staticGrants grants every request, with the only engine as its target.
	staticGrants struct{ ushergrant.Scheduler }
)

// runRelay measures the processor time and the allocations per token of the gateway, and compares them with those of a
// proxy that copies the same event stream.
func runRelay(plan Plan, write Writer) error {
	w, err := newRelaySetup(plan.Point)
	if err != nil {
		return err
	}
	defer w.load.Close()
	for repeat := range plan.Repeats {
		r := recorder{plan: plan, repeat: repeat, write: write}
		copied, err := w.measureCost(w.engineRequests(w.copyProxy, plan.Point))
		if err != nil {
			return err
		}
		relayed, err := w.measureCost(w.gatewayRequests(plan.Point))
		if err != nil {
			return err
		}
		err = r.recordAll(
			measurement{"copy_processor", "us/token", copied.processor}, measurement{"relay_processor", "us/token", relayed.processor},
			measurement{"copy_allocations", "1/token", copied.allocations}, measurement{"relay_allocations", "1/token", relayed.allocations},
			measurement{"processor_ratio", "", relayed.processor / copied.processor},
			measurement{"extra_allocations", "1/token", relayed.allocations - copied.allocations},
		)
		if err != nil {
			return err
		}
	}
	return nil
}

// runLatency measures the latency that the gateway adds to the first token and between tokens, compared with a direct
// connection to the engine.
func runLatency(plan Plan, write Writer) error {
	w, err := newRelaySetup(plan.Point)
	if err != nil {
		return err
	}
	defer w.load.Close()
	for repeat := range plan.Repeats {
		direct, err := w.load.Call(w.engineRequests(w.engine, plan.Point))
		if err != nil {
			return err
		}
		relayed, err := w.load.Call(w.gatewayRequests(plan.Point))
		if err != nil {
			return err
		}
		r := recorder{plan: plan, repeat: repeat, write: write}
		err = r.recordAll(
			measurement{"direct_first_p99", "ms", milliseconds(direct.First.Tail)}, measurement{"relay_first_p99", "ms", milliseconds(relayed.First.Tail)},
			measurement{"direct_gap_p99", "ms", milliseconds(direct.Gap.Tail)}, measurement{"relay_gap_p99", "ms", milliseconds(relayed.Gap.Tail)},
			measurement{"direct_delay_p99", "ms", milliseconds(direct.Delay.Tail)}, measurement{"relay_delay_p99", "ms", milliseconds(relayed.Delay.Tail)},
			measurement{"added_first_p99", "ms", milliseconds(relayed.First.Tail - direct.First.Tail)},
			measurement{"added_gap_p99", "ms", milliseconds(relayed.Gap.Tail - direct.Gap.Tail)},
			measurement{"added_first_median", "ms", milliseconds(relayed.First.Median - direct.First.Median)},
		)
		if err != nil {
			return err
		}
	}
	return nil
}

// runStreams measures the memory of a gateway while streams are in progress.
func runStreams(plan Plan, write Writer) error {
	w, err := newRelaySetup(plan.Point)
	if err != nil {
		return err
	}
	defer w.load.Close()
	for repeat := range plan.Repeats {
		ended := make(chan error, 1)
		go func() {
			_, err := w.load.Call(w.gatewayRequests(plan.Point))
			ended <- err
		}()
		time.Sleep(streamsWarmUp)
		heap := heapBytes()
		rss, err := residentBytes()
		if err != nil {
			return err
		}
		if err := <-ended; err != nil {
			return err
		}
		r := recorder{plan: plan, repeat: repeat, write: write}
		if err := r.recordAll(measurement{"heap", "MB", heap / 1e6}, measurement{"resident", "MB", rss / 1e6}); err != nil {
			return err
		}
	}
	return nil
}

func newRelaySetup(point Point) (*relaySetup, error) {
	w := &relaySetup{tokens: fastTokens}
	engine := usherload.Engine{}
	if point.Variant == Paced {
		w.tokens, engine.Gap = pacedTokens, pacedGap
	}
	var err error
	if w.load, err = usherload.Start(); err != nil {
		return nil, err
	}
	if w.engine, err = w.load.Engine(engine); err != nil {
		return nil, err
	}
	gateway, err := newGateway(w.engine, w.tokens)
	if err != nil {
		return nil, err
	}
	if w.gateway, err = serve(gateway.Routes()); err != nil {
		return nil, err
	}
	w.copyProxy, err = serve(newCopyProxy(w.engine))
	return w, err
}

type tokenCost struct{ processor, allocations float64 }

// measureCost sends requests and returns their cost per token in this process.
func (w *relaySetup) measureCost(requests usherload.StreamRequests) (tokenCost, error) {
	before := takeSample()
	seen, err := w.load.Call(requests)
	if err != nil {
		return tokenCost{}, err
	}
	_, processor, allocations := takeSample().since(before)
	tokens := float64(seen.Tokens)
	return tokenCost{float64(processor.Nanoseconds()) / 1e3 / tokens, allocations / tokens}, nil
}

func (w *relaySetup) engineRequests(address string, point Point) usherload.StreamRequests {
	body := `{"generation_id":"kochi-gateway-000/1790000000000000000/1","max_tokens":` + strconv.Itoa(w.tokens) + `,"prompt":"Appraise this entry."}`
	return usherload.StreamRequests{URL: "http://" + address + "/v1/generations", Body: body, Streams: point.Streams, Spread: spread(point)}
}

func (w *relaySetup) gatewayRequests(point Point) usherload.StreamRequests {
	body := `{"template":"` + usherload.Template + `","parameters":{"entry":"a shawl of kasavu"}}`
	return usherload.StreamRequests{
		URL: "http://" + w.gateway + "/v1/requests", Body: body, Streams: point.Streams, Spread: spread(point),
		Headers: []usherload.Header{{Name: "Usher-Workspace", Value: usherload.Workspace(0)}, {Name: "Authorization", Value: "Bearer " + usherload.APIKey}},
	}
}

func spread(point Point) time.Duration {
	if point.Variant == Paced {
		return time.Second
	}
	return 0
}

// newGateway returns a gateway with one engine. Its schedulers grant every request.
func newGateway(engine string, tokens int) (*ushergateway.Gateway, error) {
	address, err := netip.ParseAddrPort(engine)
	if err != nil {
		return nil, err
	}
	snapshot := usherload.Fleet{Schedulers: 1, Gateways: 1, Targets: 1, Workspaces: 1}.Snapshot()
	snapshot.Targets[0].Address = address
	snapshot.Templates[0].MaxOutputTokens = tokens
	view, err := usherload.NewView(snapshot)
	if err != nil {
		return nil, err
	}
	keyring, err := usherrequest.NewKeyring(bytes.Repeat([]byte{7}, 32))
	if err != nil {
		return nil, err
	}
	return ushergateway.New(ushergateway.Options{
		Name: usherload.Gateway(0), DataCentre: usherload.DataCentre, Address: view.Hosts("gateway")[0].Address, Incarnation: 1, Keyring: keyring,
		Config: view, Grants: staticGrants{usherload.NewGranter(address)}, Targets: ushertarget.NewClient(),
		Log: slog.New(slog.DiscardHandler), Metrics: metrics.NewRegistry(),
	})
}

// newCopyProxy returns a proxy that copies the engine's response to its caller and flushes after each event.
func newCopyProxy(engine string) http.Handler {
	client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 2048, DisableCompression: true}}
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		request, err := http.NewRequestWithContext(r.Context(), http.MethodPost, "http://"+engine+"/v1/generations", r.Body)
		if err != nil {
			http.Error(w, err.Error(), http.StatusBadGateway)
			return
		}
		response, err := client.Do(request)
		if err != nil {
			http.Error(w, err.Error(), http.StatusBadGateway)
			return
		}
		defer response.Body.Close()
		w.Header().Set("Content-Type", "text/event-stream")
		copyEvents(w, response.Body)
	})
}

// copyEvents copies events one by one.
func copyEvents(w http.ResponseWriter, body io.Reader) {
	control := http.NewResponseController(w)
	lines := bufio.NewReaderSize(body, copyBytes)
	var event []byte
	for {
		line, err := lines.ReadSlice('\n')
		event = append(event, line...)
		if err == nil && len(line) > 1 {
			continue
		}
		if _, failure := w.Write(event); failure != nil || err != nil {
			return
		}
		event = event[:0]
		if err := control.Flush(); err != nil {
			return
		}
	}
}

// Acquire implements ushergateway.Grants.
func (g staticGrants) Acquire(ctx context.Context, _ string, request ushergrant.Request) (ushergrant.Grant, error) {
	return g.Scheduler.Acquire(ctx, request)
}

// Progress implements ushergateway.Grants.
func (staticGrants) Progress(context.Context, string, uint64, []ushergrant.RunningAttempt) error {
	return nil
}

// Finish implements ushergateway.Grants.
func (staticGrants) Finish(context.Context, string, ushergrant.AttemptResult) error { return nil }

func milliseconds(micros int64) float64 { return float64(micros) / 1e3 }
