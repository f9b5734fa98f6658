package usheradmit

import (
	"container/heap"
	"slices"
	"time"
)

const (
	interactiveInRow = 8 // interactive grants in a row before one of another kind that waits
	interactiveClass = 0
	patientClass     = 1
	classes          = 2
	drainHalfLife    = 5 * time.Second
	minRetryAfter    = 100 * time.Millisecond
	maxRetryAfter    = 60 * time.Second
	assumedDrain     = 1_000.0 // tokens a second that leave a queue nobody has taken from yet
)

type (
	// Queue holds waiting requests within a bound. Interactive kinds go first; within a kind workspaces are served
	// by start-time fair queueing, so that each gets tokens by its weight however much the others send.
	// The zero value holds nothing; set Capacity.
	Queue struct {
		Capacity int
		FirstIn  bool // one first-in first-out queue in place of fair ones

		classes [classes]class
		waiting int
		inRow   int
		drained decayed
	}

	// class holds the flows of one kind, interactive or not.
	class struct {
		flows       map[string]*flow
		active      flowHeap
		virtualTime float64
	}

	// flow holds the waiting requests of one workspace.
	flow struct {
		workspace string
		items     []*waiting
		served    float64 // virtual time at which its next request starts
		weight    float64
		cost      float64
		index     int
	}

	waiting struct {
		request  Request
		since    time.Time
		deadline time.Time
		cost     float64 // expected tokens
	}

	flowHeap []*flow
)

// push appends an item. If there is no room for it, push returns the time after which there is likely to be.
func (q *Queue) push(now time.Time, item *waiting) (time.Duration, bool) {
	c := &q.classes[classOf(item.request)]
	f := c.flow(q.flowOf(item.request))
	f.weight = orDefault(item.request.Weight, 1)
	// A flow may take as much as is free, by its weight, so that room always remains for one that comes later.
	if free := q.Capacity - q.waiting; float64(len(f.items)) >= f.weight*float64(free) {
		return q.retryAfter(now, c, f, item.cost), false
	}
	if len(f.items) == 0 {
		f.served = max(f.served, c.virtualTime)
		heap.Push(&c.active, f)
	}
	f.items = append(f.items, item)
	f.cost += item.cost
	q.waiting++
	return 0, true
}

// next calls try with the first request of up to lookahead workspaces, in the order of service, until one is taken.
// It reports whether one was.
func (q *Queue) next(now time.Time, lookahead int, try func(*waiting) bool) bool {
	order := [classes]int{interactiveClass, patientClass}
	if q.inRow >= interactiveInRow {
		order = [classes]int{patientClass, interactiveClass}
	}
	for _, i := range order {
		c := &q.classes[i]
		for _, f := range c.first(lookahead) {
			if !try(f.items[0]) {
				continue
			}
			q.take(now, c, f)
			q.inRow++
			if i == patientClass {
				q.inRow = 0
			}
			return true
		}
	}
	return false
}

// expire removes and returns the requests whose deadline has passed.
func (q *Queue) expire(now time.Time) []*waiting {
	var expired []*waiting
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
				q.waiting--
			}
			f.items = kept
			if len(f.items) == 0 {
				heap.Remove(&c.active, f.index)
			}
		}
		c.forget()
	}
	return expired
}

// correct charges a workspace for tokens that its request took beyond what was expected of it.
func (q *Queue) correct(request Request, tokens float64) {
	c := &q.classes[classOf(request)]
	if f, known := c.flows[q.flowOf(request)]; known {
		f.served += tokens / f.weight
		if len(f.items) > 0 {
			heap.Fix(&c.active, f.index)
		}
	}
}

// remove takes a request that is no longer wanted out of the queue, and reports whether it waited.
func (q *Queue) remove(attempt string) bool {
	for i := range q.classes {
		c := &q.classes[i]
		for _, f := range c.active {
			at := slices.IndexFunc(f.items, func(item *waiting) bool { return item.request.Attempt == attempt })
			if at < 0 {
				continue
			}
			f.cost -= f.items[at].cost
			f.items = slices.Delete(f.items, at, at+1)
			q.waiting--
			if len(f.items) == 0 {
				heap.Remove(&c.active, f.index)
			}
			return true
		}
	}
	return false
}

// retryAfter estimates when a flow will have room, from what waits before it and how fast the queue empties.
func (q *Queue) retryAfter(now time.Time, c *class, f *flow, cost float64) time.Duration {
	weights := 0.0
	for _, other := range c.active {
		weights += other.weight
	}
	rate := q.drained.rate(now, drainHalfLife)
	if rate == 0 {
		rate = assumedDrain
	}
	share := min(f.weight/max(weights, f.weight), 1)
	needed := cost
	if len(f.items) > 0 {
		needed = f.cost / float64(len(f.items)) * float64(classes)
	}
	return min(max(time.Duration(needed/(rate*share)*float64(time.Second)), minRetryAfter), maxRetryAfter)
}

func (q *Queue) flowOf(request Request) string {
	if q.FirstIn {
		return ""
	}
	return request.Workspace
}

func (q *Queue) take(now time.Time, c *class, f *flow) {
	item := f.items[0]
	f.items[0] = nil
	f.items = f.items[1:]
	f.cost -= item.cost
	c.virtualTime = max(c.virtualTime, f.served)
	f.served += item.cost / f.weight
	q.waiting--
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
		f = &flow{workspace: workspace, served: c.virtualTime}
		c.flows[workspace] = f
	}
	return f
}

// first returns up to count flows that were served least; the first is the least of all.
func (c *class) first(count int) []*flow {
	return c.active[:min(count, len(c.active))]
}

// forget drops idle flows that have no debt, so that the map stays as small as the traffic.
func (c *class) forget() {
	for workspace, f := range c.flows {
		if len(f.items) == 0 && f.served <= c.virtualTime {
			delete(c.flows, workspace)
		}
	}
}

func classOf(request Request) int {
	if request.Interactive {
		return interactiveClass
	}
	return patientClass
}

func (h flowHeap) Len() int           { return len(h) }
func (h flowHeap) Less(i, j int) bool { return h[i].served < h[j].served }
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
