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
	// Fast has the engine send as fast as the reader reads; Paced leaves the letter's 36 ms between tokens.
	Fast  = "fast"
	Paced = "paced"

	pacedGap    = 36 * time.Millisecond
	fastTokens  = 20_000
	pacedTokens = 150
	copyBytes   = 4 << 10
	// streamsWarmUp is a time at which all paced streams run.
	streamsWarmUp = 3 * time.Second
)

type (
	// ways are the two ways to an engine, both in the measured process: the gateway and a bare copy.
	ways struct {
		load           *usherload.Load
		engine         string
		gateway, plain string
		tokens         int
	}

	// grants grants every request the one engine.
	grants struct{ ushergrant.Scheduler }
)

// runRelay measures the processor time and the allocations of a token through the gateway, against a bare copy of the
// same event stream.
func runRelay(plan Plan, write Writer) error {
	w, err := openWays(plan.Point)
	if err != nil {
		return err
	}
	defer w.load.Close()
	for repeat := range plan.Repeats {
		r := recorder{plan: plan, repeat: repeat, write: write}
		copied, err := w.cost(w.plainCalls(w.plain, plan.Point))
		if err != nil {
			return err
		}
		relayed, err := w.cost(w.gatewayCalls(plan.Point))
		if err != nil {
			return err
		}
		err = r.figures(
			figure{"copy_processor", "us/token", copied.processor}, figure{"relay_processor", "us/token", relayed.processor},
			figure{"copy_allocations", "1/token", copied.allocations}, figure{"relay_allocations", "1/token", relayed.allocations},
			figure{"processor_ratio", "", relayed.processor / copied.processor},
			figure{"extra_allocations", "1/token", relayed.allocations - copied.allocations},
		)
		if err != nil {
			return err
		}
	}
	return nil
}

// runLatency measures what the gateway adds before the first token and between tokens, against a direct connection.
func runLatency(plan Plan, write Writer) error {
	w, err := openWays(plan.Point)
	if err != nil {
		return err
	}
	defer w.load.Close()
	for repeat := range plan.Repeats {
		direct, err := w.load.Call(w.plainCalls(w.engine, plan.Point))
		if err != nil {
			return err
		}
		relayed, err := w.load.Call(w.gatewayCalls(plan.Point))
		if err != nil {
			return err
		}
		r := recorder{plan: plan, repeat: repeat, write: write}
		err = r.figures(
			figure{"direct_first_p99", "ms", milliseconds(direct.First.Tail)}, figure{"relay_first_p99", "ms", milliseconds(relayed.First.Tail)},
			figure{"direct_gap_p99", "ms", milliseconds(direct.Gap.Tail)}, figure{"relay_gap_p99", "ms", milliseconds(relayed.Gap.Tail)},
			figure{"direct_delay_p99", "ms", milliseconds(direct.Delay.Tail)}, figure{"relay_delay_p99", "ms", milliseconds(relayed.Delay.Tail)},
			figure{"added_first_p99", "ms", milliseconds(relayed.First.Tail - direct.First.Tail)},
			figure{"added_gap_p99", "ms", milliseconds(relayed.Gap.Tail - direct.Gap.Tail)},
			figure{"added_first_median", "ms", milliseconds(relayed.First.Median - direct.First.Median)},
		)
		if err != nil {
			return err
		}
	}
	return nil
}

// runStreams measures the memory of a gateway while streams run.
func runStreams(plan Plan, write Writer) error {
	w, err := openWays(plan.Point)
	if err != nil {
		return err
	}
	defer w.load.Close()
	for repeat := range plan.Repeats {
		ended := make(chan error, 1)
		go func() {
			_, err := w.load.Call(w.gatewayCalls(plan.Point))
			ended <- err
		}()
		time.Sleep(streamsWarmUp)
		heap := heapBytes()
		rss, err := resident()
		if err != nil {
			return err
		}
		if err := <-ended; err != nil {
			return err
		}
		r := recorder{plan: plan, repeat: repeat, write: write}
		if err := r.figures(figure{"heap", "MB", heap / 1e6}, figure{"resident", "MB", rss / 1e6}); err != nil {
			return err
		}
	}
	return nil
}

func openWays(point Point) (*ways, error) {
	w := &ways{tokens: fastTokens}
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
	w.plain, err = serve(plainCopy(w.engine))
	return w, err
}

type cost struct{ processor, allocations float64 }

// cost runs calls and returns what a token cost this process.
func (w *ways) cost(calls usherload.Calls) (cost, error) {
	before := take()
	seen, err := w.load.Call(calls)
	if err != nil {
		return cost{}, err
	}
	_, processor, allocations := take().since(before)
	tokens := float64(seen.Tokens)
	return cost{float64(processor.Nanoseconds()) / 1e3 / tokens, allocations / tokens}, nil
}

func (w *ways) plainCalls(address string, point Point) usherload.Calls {
	body := `{"generation_id":"kochi-gateway-000/1790000000000000000/1","max_tokens":` + strconv.Itoa(w.tokens) + `,"prompt":"Appraise this entry."}`
	return usherload.Calls{URL: "http://" + address + "/v1/generations", Body: body, Streams: point.Streams, Spread: spread(point)}
}

func (w *ways) gatewayCalls(point Point) usherload.Calls {
	body := `{"template":"` + usherload.Template + `","parameters":{"entry":"a shawl of kasavu"}}`
	return usherload.Calls{
		URL: "http://" + w.gateway + "/v1/requests", Body: body, Streams: point.Streams, Spread: spread(point),
		Headers: []usherload.Header{{Name: "Usher-Workspace", Value: usherload.Workspace(0)}, {Name: "Authorization", Value: "Bearer " + usherload.Key}},
	}
}

func spread(point Point) time.Duration {
	if point.Variant == Paced {
		return time.Second
	}
	return 0
}

// newGateway returns a gateway before one engine, whose schedulers grant everything.
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
		Config: view, Grants: grants{usherload.NewGranter(address)}, Targets: ushertarget.NewClient(),
		Log: slog.New(slog.DiscardHandler), Metrics: metrics.NewRegistry(),
	})
}

// plainCopy returns a server that copies the engine's answer to its caller, flushing after each event.
func plainCopy(engine string) http.Handler {
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

// copyEvents copies one event after another.
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
func (g grants) Acquire(ctx context.Context, _ string, request ushergrant.Request) (ushergrant.Grant, error) {
	return g.Scheduler.Acquire(ctx, request)
}

// Progress implements ushergateway.Grants.
func (grants) Progress(context.Context, string, uint64, []ushergrant.Running) error { return nil }

// Finish implements ushergateway.Grants.
func (grants) Finish(context.Context, string, ushergrant.AttemptResult) error { return nil }

func milliseconds(micros int64) float64 { return float64(micros) / 1e3 }
