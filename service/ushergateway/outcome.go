package ushergateway

import (
	"sync"
	"time"

	"github.com/samphireusher/samphireusher/pkg/usherrequest"
)

type (
	// outcomeCache stores how requests ended and evicts the oldest first.
	outcomeCache struct {
		mu       sync.Mutex
		capacity int
		byID     map[string]endedRequest
		order    []string
	}

	// endedRequest records how one request ended.
	endedRequest struct {
		Workspace string
		Outcome   usherrequest.Outcome
		Reason    usherrequest.Reason
		Answer    answer
		At        time.Time
	}
)

func (o *outcomeCache) add(idText string, e endedRequest) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.byID == nil {
		o.byID = map[string]endedRequest{}
	}
	if _, ok := o.byID[idText]; !ok {
		o.order = append(o.order, idText)
	}
	o.byID[idText] = e
	for len(o.order) > o.capacity || len(o.order) > 0 && e.At.Sub(o.byID[o.order[0]].At) > idLifetime {
		delete(o.byID, o.order[0])
		o.order = o.order[1:]
	}
}

func (o *outcomeCache) find(idText string) (endedRequest, bool) {
	o.mu.Lock()
	defer o.mu.Unlock()
	e, ok := o.byID[idText]
	return e, ok
}
