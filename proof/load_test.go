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

// callerPatience is longer than any timeout of a template: a request that is still open then hangs.
const callerPatience = 3 * time.Minute

// maxTokens is the longest answer of a load.
const maxTokens = 120

type (
	// work makes a request of each kind.
	work struct {
		stream, whole func(mark string, tokens int) usherclient.Request
		lookup        func(mark string) usherclient.Request
		once          func(mark, id string) usherclient.Request
	}

	// load is callers that send every kind of work to every gateway until it ends.
	load struct {
		work
		history *usherhistory.History
		marks   atomic.Uint64
		cancel  context.CancelFunc
		callers sync.WaitGroup
	}

	// loadCaller is one of them.
	loadCaller struct {
		usherhistory.Caller
		load     *load
		random   *rand.Rand
		gateways []string
	}
)

// startLoad starts callers, which are dealt to the clients in turn.
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

// startLoad starts callers of two workspaces.
func (w *world) startLoad(callers int, seed uint64) *load {
	l := &load{history: w.history, work: work{stream: appraisal, whole: plan, lookup: standing, once: allotment}}
	clients := []*usherclient.Client{w.fleet.NewClient(), w.fleet.NewClientOf(usherfleet.OtherWorkspace, usherfleet.OtherAPIKey)}
	return startLoad(w.t.Context(), l, w.gateways(), clients, callers, seed)
}

// end waits until every request has ended.
func (l *load) end() {
	l.cancel()
	l.callers.Wait()
}

func (l *load) mark() string {
	return fmt.Sprintf("mark-%06d", l.marks.Add(1))
}

func (c *loadCaller) run(ctx context.Context) {
	for ctx.Err() == nil {
		sending, cancel := context.WithTimeout(context.WithoutCancel(ctx), callerPatience)
		c.send(sending)
		cancel()
		time.Sleep(time.Duration(1+c.random.IntN(200)) * time.Millisecond)
	}
}

// send sends one request of some kind.
func (c *loadCaller) send(ctx context.Context) {
	mark := c.load.mark()
	from := c.random.IntN(len(c.gateways))
	addresses := append(append([]string{}, c.gateways[from:]...), c.gateways[:from]...)
	tokens := 1 + c.random.IntN(maxTokens)
	switch kind := c.random.IntN(100); {
	case kind < 45:
		c.Stream(ctx, addresses, mark, c.load.stream(mark, tokens))
	case kind < 60:
		c.Stream(ctx, addresses[:1], mark, c.load.whole(mark, tokens))
	case kind < 75:
		c.Call(ctx, addresses[0], mark, c.load.lookup(mark))
	default:
		c.allot(ctx, addresses, mark)
	}
}

// allot sends an allotment under one id, and often again: at once, later, and to other gateways.
func (c *loadCaller) allot(ctx context.Context, addresses []string, mark string) {
	id, err := c.Client.NewRequestID(ctx, addresses[0], "")
	if err != nil {
		return
	}
	sendings := sync.WaitGroup{}
	for range 1 + c.random.IntN(3) {
		address := addresses[c.random.IntN(min(2, len(addresses)))]
		sendings.Go(func() { c.Call(ctx, address, mark, c.load.once(mark, id)) })
		time.Sleep(time.Duration(1+c.random.IntN(30)) * time.Millisecond)
	}
	sendings.Wait()
	if c.random.IntN(3) == 0 {
		time.Sleep(time.Duration(1+c.random.IntN(3000)) * time.Millisecond)
		c.Call(ctx, addresses[c.random.IntN(len(addresses))], mark, c.load.once(mark, id))
	}
}
