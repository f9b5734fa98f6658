package usheradmit

import (
	"container/heap"
	"slices"
	"time"
)

const (
	maxInteractiveInRow = 8 // interactive assignments in a row before a queued batch request is served
	interactiveClass    = 0
	batchClass          = 1
	classCount          = 2
	drainHalfLife       = 5 * time.Second
	minRetryAfter       = 100 * time.Millisecond
	maxRetryAfter       = 60 * time.Second
	assumedDrainRate    = 1_000.0 // tokens per second, until something has been dequeued
)

type (
	// Queue is a bounded queue of requests. Interactive requests are served first. Within a class, workspaces are served by
	// start-time fair queueing, so that each gets tokens in proportion to its weight regardless of how much the others
	// send. Capacity must be set; the zero value accepts nothing.
	Queue struct {
		Capacity int
		FIFO     bool // a single first-in first-out queue instead of one per workspace

		classes          [classCount]class
		length           int
		interactiveInRow int
		drained          decayingSum
	}

	// class holds the flows of one class of requests, interactive or batch.
	class struct {
		flows       map[string]*flow
		active      flowHeap
		virtualTime float64
	}

	// flow holds the queued requests of one workspace.
	flow struct {
		workspace    string
		items        []*queuedRequest
		virtualStart float64 // virtual time at which its next request starts
		weight       float64
		cost         float64
		index        int
	}

	queuedRequest struct {
		request  Request
		queuedAt time.Time
		deadline time.Time
		cost     float64 // expected tokens
	}

	flowHeap []*flow
)

// push appends an item and returns true. If the item is refused, push returns false and the time after which it is likely
// to be accepted.
func (q *Queue) push(now time.Time, item *queuedRequest) (time.Duration, bool) {
	c := &q.classes[classOf(item.request)]
	f := c.flow(q.flowOf(item.request))
	f.weight = orDefault(item.request.Weight, 1)
	// A flow may hold as many items as there are free places, times its weight, so that places remain for other flows.
	if free := q.Capacity - q.length; float64(len(f.items)) >= f.weight*float64(free) {
		return q.retryAfter(now, c, f, item.cost), false
	}
	if len(f.items) == 0 {
		f.virtualStart = max(f.virtualStart, c.virtualTime)
		heap.Push(&c.active, f)
	}
	f.items = append(f.items, item)
	f.cost += item.cost
	q.length++
	return 0, true
}

// dispatch calls try with the first request of up to lookahead workspaces in each class, in the order of service, until try
// accepts one. It reports whether one was accepted.
func (q *Queue) dispatch(now time.Time, lookahead int, try func(*queuedRequest) bool) bool {
	order := [classCount]int{interactiveClass, batchClass}
	if q.interactiveInRow >= maxInteractiveInRow {
		order = [classCount]int{batchClass, interactiveClass}
	}
	for _, i := range order {
		c := &q.classes[i]
		for _, f := range c.front(lookahead) {
			if !try(f.items[0]) {
				continue
			}
			q.dequeue(now, c, f)
			q.interactiveInRow++
			if i == batchClass {
				q.interactiveInRow = 0
			}
			return true
		}
	}
	return false
}

// expire removes and returns the requests whose deadline has passed.
func (q *Queue) expire(now time.Time) []*queuedRequest {
	var expired []*queuedRequest
	for i := range q.classes {
		c := &q.classes[i]
		for _, f := range append(flowHeap(nil), c.active...) {
			kept := f.items[:0]
			for _, item := range f.items {
				if item.deadline.After(now) {
					kept = append(kept, item)
					continue
				}
				expired = append(expired, item)
				f.cost -= item.cost
				q.length--
			}
			f.items = kept
			if len(f.items) == 0 {
				heap.Remove(&c.active, f.index)
			}
		}
		c.dropIdleFlows()
	}
	return expired
}

// chargeExtra charges a workspace for the tokens that a request used beyond the expected number, or credits it if tokens is
// negative.
func (q *Queue) chargeExtra(request Request, tokens float64) {
	c := &q.classes[classOf(request)]
	if f, known := c.flows[q.flowOf(request)]; known {
		f.virtualStart += tokens / f.weight
		if len(f.items) > 0 {
			heap.Fix(&c.active, f.index)
		}
	}
}

// remove removes a request from the queue and reports whether it was queued.
func (q *Queue) remove(attempt string) bool {
	for i := range q.classes {
		c := &q.classes[i]
		for _, f := range c.active {
			at := slices.IndexFunc(f.items, func(item *queuedRequest) bool { return item.request.Attempt == attempt })
			if at < 0 {
				continue
			}
			f.cost -= f.items[at].cost
			f.items = slices.Delete(f.items, at, at+1)
			q.length--
			if len(f.items) == 0 {
				heap.Remove(&c.active, f.index)
			}
			return true
		}
	}
	return false
}

// retryAfter estimates when a flow can accept another request, from its backlog and the rate at which the queue drains.
func (q *Queue) retryAfter(now time.Time, c *class, f *flow, cost float64) time.Duration {
	weights := 0.0
	for _, other := range c.active {
		weights += other.weight
	}
	rate := q.drained.rate(now, drainHalfLife)
	if rate == 0 {
		rate = assumedDrainRate
	}
	share := min(f.weight/max(weights, f.weight), 1)
	needed := cost
	if len(f.items) > 0 {
		needed = f.cost / float64(len(f.items)) * float64(classCount)
	}
	return min(max(time.Duration(needed/(rate*share)*float64(time.Second)), minRetryAfter), maxRetryAfter)
}

func (q *Queue) flowOf(request Request) string {
	if q.FIFO {
		return ""
	}
	return request.Workspace
}

func (q *Queue) dequeue(now time.Time, c *class, f *flow) {
	item := f.items[0]
	f.items[0] = nil
	f.items = f.items[1:]
	f.cost -= item.cost
	c.virtualTime = max(c.virtualTime, f.virtualStart)
	f.virtualStart += item.cost / f.weight
	q.length--
	q.drained.add(now, item.cost, drainHalfLife)
	if len(f.items) == 0 {
		heap.Remove(&c.active, f.index)
		return
	}
	heap.Fix(&c.active, f.index)
}

func (c *class) flow(workspace string) *flow {
	f, known := c.flows[workspace]
	if !known {
		if c.flows == nil {
			c.flows = make(map[string]*flow)
		}
		f = &flow{workspace: workspace, virtualStart: c.virtualTime}
		c.flows[workspace] = f
	}
	return f
}

// front returns up to count active flows with low virtual start times. Only the first is guaranteed to be the lowest, since
// the flows are in heap order.
func (c *class) front(count int) []*flow {
	return c.active[:min(count, len(c.active))]
}

// dropIdleFlows removes empty flows whose virtual start time has passed, to bound the size of the map.
func (c *class) dropIdleFlows() {
	for workspace, f := range c.flows {
		if len(f.items) == 0 && f.virtualStart <= c.virtualTime {
			delete(c.flows, workspace)
		}
	}
}

func classOf(request Request) int {
	if request.Interactive {
		return interactiveClass
	}
	return batchClass
}

func (h flowHeap) Len() int           { return len(h) }
func (h flowHeap) Less(i, j int) bool { return h[i].virtualStart < h[j].virtualStart }
func (h flowHeap) Swap(i, j int) {
	h[i], h[j] = h[j], h[i]
	h[i].index, h[j].index = i, j
}

// Push implements heap.Interface.
func (h *flowHeap) Push(x any) {
	f := x.(*flow)
	f.index = len(*h)
	*h = append(*h, f)
}

// Pop implements heap.Interface.
func (h *flowHeap) Pop() any {
	last := len(*h) - 1
	f := (*h)[last]
	*h = (*h)[:last]
	return f
}
