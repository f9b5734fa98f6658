package usherproof_test

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"github.com/samphireusher/samphireusher/proof/usherhistory"
	"github.com/samphireusher/samphireusher/service/usherclient"
	"github.com/samphireusher/samphireusher/standin/usherfleet"
)

// requestTimeout is longer than the timeout of any template: a request that is still open after this time hangs.
const requestTimeout = 3 * time.Minute

// maxTokens is the maximum length of the responses that the load requests.
const maxTokens = 120

type (
	// requestBuilders creates the requests of each kind.
	requestBuilders struct {
		stream, nonStreaming func(mark string, tokens int) usherclient.Request
		lookup               func(mark string) usherclient.Request
		atMostOnce           func(mark, id string) usherclient.Request
	}

	// load runs concurrent callers that send every kind of request to every gateway until it is stopped.
	load struct {
		requestBuilders
		history  *usherhistory.History
		lastMark atomic.Uint64
		cancel   context.CancelFunc
		callers  sync.WaitGroup
	}

	// loadCaller is one caller of a load.
	loadCaller struct {
		usherhistory.Caller
		load     *load
		random   *rand.Rand
		gateways []string
	}
)

// startLoad starts the callers and assigns the clients to them in turn.
func startLoad(ctx context.Context, l *load, gateways []string, clients []*usherclient.Client, callers int, seed uint64) *load {
	ctx, l.cancel = context.WithCancel(ctx)
	for i := range callers {
		c := &loadCaller{
			Caller: usherhistory.Caller{History: l.history, Client: clients[i%len(clients)]}, load: l,
			random: rand.New(rand.NewPCG(seed, uint64(i+1))), gateways: gateways,
		}
		l.callers.Go(func() { c.run(ctx) })
	}
	return l
}

// startLoad starts callers in two workspaces.
func (env *testEnv) startLoad(callers int, seed uint64) *load {
	l := &load{history: env.history, requestBuilders: requestBuilders{
		stream: appraisalRequest, nonStreaming: planRequest, lookup: standingRequest, atMostOnce: allotmentRequest,
	}}
	clients := []*usherclient.Client{env.fleet.NewClient(), env.fleet.NewClientOf(usherfleet.OtherWorkspace, usherfleet.OtherAPIKey)}
	return startLoad(env.t.Context(), l, env.gateways(), clients, callers, seed)
}

// stop stops the callers and waits until every request has ended.
func (l *load) stop() {
	l.cancel()
	l.callers.Wait()
}

func (l *load) newMark() string {
	return fmt.Sprintf("mark-%06d", l.lastMark.Add(1))
}

func (c *loadCaller) run(ctx context.Context) {
	for ctx.Err() == nil {
		sendCtx, cancel := context.WithTimeout(context.WithoutCancel(ctx), requestTimeout)
		c.send(sendCtx)
		cancel()
		time.Sleep(time.Duration(1+c.random.IntN(200)) * time.Millisecond)
	}
}

// send sends one request of a randomly chosen kind.
func (c *loadCaller) send(ctx context.Context) {
	mark := c.load.newMark()
	first := c.random.IntN(len(c.gateways))
	addresses := append(append([]string{}, c.gateways[first:]...), c.gateways[:first]...)
	tokens := 1 + c.random.IntN(maxTokens)
	switch kind := c.random.IntN(100); {
	case kind < 45:
		c.Stream(ctx, addresses, mark, c.load.stream(mark, tokens))
	case kind < 60:
		c.Stream(ctx, addresses[:1], mark, c.load.nonStreaming(mark, tokens))
	case kind < 75:
		c.Call(ctx, addresses[0], mark, c.load.lookup(mark))
	default:
		c.sendAllotment(ctx, addresses, mark)
	}
}

// sendAllotment sends an allotment one to three times under the same request ID, partly concurrently and to two
// gateways. In one of three cases it sends it once more after up to 3 s to any gateway.
func (c *loadCaller) sendAllotment(ctx context.Context, addresses []string, mark string) {
	id, err := c.Client.NewRequestID(ctx, addresses[0], "")
	if err != nil {
		return
	}
	sends := sync.WaitGroup{}
	for range 1 + c.random.IntN(3) {
		address := addresses[c.random.IntN(min(2, len(addresses)))]
		sends.Go(func() { c.Call(ctx, address, mark, c.load.atMostOnce(mark, id)) })
		time.Sleep(time.Duration(1+c.random.IntN(30)) * time.Millisecond)
	}
	sends.Wait()
	if c.random.IntN(3) == 0 {
		time.Sleep(time.Duration(1+c.random.IntN(3000)) * time.Millisecond)
		c.Call(ctx, addresses[c.random.IntN(len(addresses))], mark, c.load.atMostOnce(mark, id))
	}
}
