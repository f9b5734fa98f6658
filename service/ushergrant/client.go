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
	// Link sends messages to other processes; *usherlink.Node implements it.
	Link interface {
		Call(ctx context.Context, address, kind string, value, response any) error
		SendDatagram(address, kind string, value any) error
	}

	// Client is the gateway's side of the protocol.
	Client struct {
		link Link
	}
)

const (
	// replyMargin is how long a reply may take beyond the poll timeout.
	replyMargin = time.Second
	// pollTimeout bounds how long the scheduler holds one call while the request is in the queue.
	pollTimeout = time.Second
	// maxDatagramAttempts is the number of attempts above which a progress message is not tried as a datagram.
	maxDatagramAttempts = 200
)

func NewClient(link Link) *Client {
	return &Client{link: link}
}

// Acquire polls the scheduler at address once for a grant. The error is ErrWaiting if the request is still in the
// scheduler's queue and Acquire must be called again, or a usherrequest.Refusal if the scheduler refused the request.
func (c *Client) Acquire(ctx context.Context, address string, request Request) (Grant, error) {
	request.PollTimeout = min(pollTimeout, request.QueueTimeout)
	return c.poll(ctx, address, request)
}

func (c *Client) poll(ctx context.Context, address string, request Request) (Grant, error) {
	ctx, cancel := context.WithTimeout(ctx, request.PollTimeout+replyMargin)
	defer cancel()
	var reply grantReplyWire
	if err := c.link.Call(ctx, address, kindAcquire, request.wire(), &reply); err != nil {
		return Grant{}, err
	}
	return reply.grant()
}

// Progress sends the scheduler at address all attempts that run on the targets that it holds. If the message fits, it
// is sent as a datagram, whose loss does no harm because the next message repeats its content.
func (c *Client) Progress(ctx context.Context, address string, incarnation uint64, running []RunningAttempt) error {
	message := encodeProgress(incarnation, running)
	if len(running) <= maxDatagramAttempts {
		if err := c.link.SendDatagram(address, kindProgress, message); !errorx.IsOfType(err, usherlink.ErrTooLarge) {
			return err
		}
	}
	return c.link.Call(ctx, address, kindProgress, message, nil)
}

// encodeProgress groups the attempts by target and sorts them by counter, so that the differences of the counters are
// small.
func encodeProgress(incarnation uint64, running []RunningAttempt) progressWire {
	sorted := slices.Clone(running)
	slices.SortFunc(sorted, func(a, b RunningAttempt) int {
		return cmp.Or(cmp.Compare(a.Target, b.Target), cmp.Compare(a.Incarnation, b.Incarnation), cmp.Compare(a.Attempt.Counter, b.Attempt.Counter))
	})
	message := progressWire{Incarnation: incarnation}
	previous := uint64(0)
	for i, r := range sorted {
		if i == 0 || r.Target != sorted[i-1].Target || r.Incarnation != sorted[i-1].Incarnation {
			message.Targets = append(message.Targets, targetProgressWire{Target: r.Target, Incarnation: r.Incarnation})
			previous = 0
		}
		t := &message.Targets[len(message.Targets)-1]
		t.Attempts = append(t.Attempts, r.Attempt.Counter-previous, uint64(r.GeneratedTokens))
		previous = r.Attempt.Counter
	}
	return message
}

// Finish reports the end of an attempt to the scheduler at address.
func (c *Client) Finish(ctx context.Context, address string, result AttemptResult) error {
	message := attemptResultWire{
		Incarnation: result.Attempt.Incarnation, Counter: result.Attempt.Counter, Target: result.Target,
		GeneratedTokens: result.GeneratedTokens, Completed: result.Completed, Lost: result.Lost, Unsent: result.Unsent,
	}
	return c.link.Call(ctx, address, kindFinish, message, nil)
}

// Advertise sends a as a datagram to the gateway at address; it may be lost.
func Advertise(link Link, address string, a Advertisement) error {
	message := advertisementWire{Revision: a.Revision, Stopping: a.Stopping}
	for _, key := range a.Held {
		message.Held = binary.BigEndian.AppendUint32(message.Held, uint32(key))
	}
	for _, r := range a.Capacities {
		message.Capacities = append(message.Capacities, capacityWire{Service: r.Service, Requests: r.Requests, Waiting: r.Waiting})
	}
	return link.SendDatagram(address, kindAdvertise, message)
}

var _ Link = (*usherlink.Node)(nil)
