package ushergrant

import (
	"context"
	"time"

	"github.com/samphireusher/samphireusher/pkg/usherlink"
)

type (
	// Link carries messages to other processes; *usherlink.Node is one.
	Link interface {
		Call(ctx context.Context, address, kind string, value, answer any) error
		Post(address, kind string, value any) error
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
)

// NewClient returns a client that sends over link.
func NewClient(link Link) *Client {
	return &Client{link: link}
}

// Acquire asks the scheduler at address for a grant, for one slice. ErrWaiting says that the request waits in the
// scheduler's queue and is to be asked for again; a usherrequest.Refusal that the scheduler has no grant for it.
func (c *Client) Acquire(ctx context.Context, address string, request Request) (Grant, error) {
	request.Slice = min(slice, request.Wait)
	return c.ask(ctx, address, request)
}

func (c *Client) ask(ctx context.Context, address string, request Request) (Grant, error) {
	ctx, cancel := context.WithTimeout(ctx, request.Slice+answerSlack)
	defer cancel()
	var answer answerWire
	if err := c.link.Call(ctx, address, kindAcquire, request.wire(), &answer); err != nil {
		return Grant{}, err
	}
	return answer.grant()
}

// Progress tells the scheduler at address all that runs at the targets that it holds.
func (c *Client) Progress(ctx context.Context, address string, incarnation uint64, running []Running) error {
	message := progressWire{Incarnation: incarnation, Running: make([]runningWire, 0, len(running))}
	for _, r := range running {
		message.Running = append(message.Running, runningWire{
			Counter: r.Attempt.Counter, Target: r.Target, Incarnation: r.Incarnation,
			PromptTokens: r.PromptTokens, MadeTokens: r.MadeTokens, Template: r.Template, Workspace: r.Workspace,
		})
	}
	return c.link.Call(ctx, address, kindProgress, message, nil)
}

// Finish tells the scheduler at address how an attempt ended.
func (c *Client) Finish(ctx context.Context, address string, end End) error {
	message := finishWire{
		Incarnation: end.Attempt.Incarnation, Counter: end.Attempt.Counter, Target: end.Target,
		MadeTokens: end.MadeTokens, Completed: end.Completed, Lost: end.Lost, Unsent: end.Unsent,
	}
	return c.link.Call(ctx, address, kindFinish, message, nil)
}

// Advertise tells the gateway at address what the scheduler holds. It may be lost.
func Advertise(link Link, address string, a Advertisement) error {
	message := advertisementWire{Revision: a.Revision, Stopping: a.Stopping, Held: a.Held}
	for _, r := range a.Rooms {
		message.Rooms = append(message.Rooms, roomWire{Service: r.Service, Requests: r.Requests, Waiting: r.Waiting})
	}
	return link.Post(address, kindAdvertise, message)
}

var _ Link = (*usherlink.Node)(nil)
