package ushergateway

import (
	"sync"
	"time"

	"github.com/samphireusher/samphireusher/pkg/usherrequest"
)

type (
	// outcomes keeps how requests ended, the oldest dropped first.
	outcomes struct {
		mu       sync.Mutex
		capacity int
		byID     map[string]ended
		order    []string
	}

	// ended is how one request ended.
	ended struct {
		Workspace string
		Outcome   usherrequest.Outcome
		Reason    usherrequest.Reason
		Answer    answer
		At        time.Time
	}
)

func (o *outcomes) keep(idText string, e ended) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.byID == nil {
		o.byID = map[string]ended{}
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

func (o *outcomes) find(idText string) (ended, bool) {
	o.mu.Lock()
	defer o.mu.Unlock()
	e, ok := o.byID[idText]
	return e, ok
}
