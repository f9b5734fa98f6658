package ushergrant

import (
	"cmp"
	"context"
	"encoding/binary"
	"slices"
	"time"

	"github.com/joomcode/errorx"

	"github.com/samphireusher/samphireusher/pkg/usherlink"
)

type (
	// Link carries messages to other processes; *usherlink.Node is one.
	Link interface {
		Call(ctx context.Context, address, kind string, value, answer any) error
		SendDatagram(address, kind string, value any) error
	}

	// Client is a gateway's side of the protocol.
	Client struct {
		link Link
	}
)

const (
	// answerSlack is how long an answer may take beyond the slice.
	answerSlack = time.Second
	// slice is how long one asking waits in the queue.
	slice = time.Second
	// postedRunning is how many attempts may fit a datagram.
	postedRunning = 200
)

// NewClient returns a client that sends over link.
func NewClient(link Link) *Client {
	return &Client{link: link}
}

// Acquire asks the scheduler at address for a grant, for one slice. ErrWaiting says that the request waits in the
// scheduler's queue and is to be asked for again; a usherrequest.Refusal that the scheduler has no grant for it.
func (c *Client) Acquire(ctx context.Context, address string, request Request) (Grant, error) {
	request.PollTimeout = min(slice, request.MaxWait)
	return c.ask(ctx, address, request)
}

func (c *Client) ask(ctx context.Context, address string, request Request) (Grant, error) {
	ctx, cancel := context.WithTimeout(ctx, request.PollTimeout+answerSlack)
	defer cancel()
	var answer answerWire
	if err := c.link.Call(ctx, address, kindAcquire, request.wire(), &answer); err != nil {
		return Grant{}, err
	}
	return answer.grant()
}

// Progress tells the scheduler at address all that runs at the targets that it holds. What fits a datagram goes in one,
// and may be lost: the next message says it all again.
func (c *Client) Progress(ctx context.Context, address string, incarnation uint64, running []Running) error {
	message := progressOf(incarnation, running)
	if len(running) <= postedRunning {
		if err := c.link.SendDatagram(address, kindProgress, message); !errorx.IsOfType(err, usherlink.ErrTooLarge) {
			return err
		}
	}
	return c.link.Call(ctx, address, kindProgress, message, nil)
}

// progressOf groups what runs by target, in the order of the attempts, so that counters are small differences.
func progressOf(incarnation uint64, running []Running) progressWire {
	sorted := slices.Clone(running)
	slices.SortFunc(sorted, func(a, b Running) int {
		return cmp.Or(cmp.Compare(a.Target, b.Target), cmp.Compare(a.Incarnation, b.Incarnation), cmp.Compare(a.Attempt.Counter, b.Attempt.Counter))
	})
	message := progressWire{Incarnation: incarnation}
	last := uint64(0)
	for i, r := range sorted {
		if i == 0 || r.Target != sorted[i-1].Target || r.Incarnation != sorted[i-1].Incarnation {
			message.Targets = append(message.Targets, targetProgressWire{Target: r.Target, Incarnation: r.Incarnation})
			last = 0
		}
		t := &message.Targets[len(message.Targets)-1]
		t.Attempts = append(t.Attempts, r.Attempt.Counter-last, uint64(r.MadeTokens))
		last = r.Attempt.Counter
	}
	return message
}

// Finish tells the scheduler at address how an attempt ended.
func (c *Client) Finish(ctx context.Context, address string, end AttemptResult) error {
	message := finishWire{
		Incarnation: end.Attempt.Incarnation, Counter: end.Attempt.Counter, Target: end.Target,
		MadeTokens: end.MadeTokens, Completed: end.Completed, Lost: end.Lost, Unsent: end.Unsent,
	}
	return c.link.Call(ctx, address, kindFinish, message, nil)
}

// Advertise tells the gateway at address what the scheduler holds. It may be lost.
func Advertise(link Link, address string, a Advertisement) error {
	message := advertisementWire{Revision: a.Revision, Stopping: a.Stopping}
	for _, key := range a.Held {
		message.Held = binary.BigEndian.AppendUint32(message.Held, uint32(key))
	}
	for _, r := range a.Capacities {
		message.Rooms = append(message.Rooms, roomWire{Service: r.Service, Requests: r.Requests, Waiting: r.Waiting})
	}
	return link.SendDatagram(address, kindAdvertise, message)
}

var _ Link = (*usherlink.Node)(nil)
