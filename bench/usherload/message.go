package usherload

import (
	"context"
	"net/netip"
	"time"

	"github.com/samphireusher/samphireusher/pkg/usherrequest"
	"github.com/samphireusher/samphireusher/service/ushergrant"
)

// Kinds of messages.
const (
	Acquire   MessageKind = "acquire"
	Progress  MessageKind = "progress"
	Finish    MessageKind = "finish"
	Advertise MessageKind = "advertise"
)

// targetsPerScheduler is the number of targets held by one scheduler of a cell.
const targetsPerScheduler = 10

type (
	// MessageKind is a kind of message between gateways and schedulers.
	MessageKind string

	// Messages are messages of one kind and size, sent one after another, round-robin to several processes.
	Messages struct {
		Kind MessageKind
		// Items is the number of attempts in a progress message, or of targets in an advertisement.
		Items int
		Count int
		// Every is the interval between messages.
		Every time.Duration
	}

	// granter is a scheduler that grants every request at once.
	granter struct{ address netip.AddrPort }
)

// Send sends the messages and returns the number that failed.
func (m Messages) Send(ctx context.Context, link ushergrant.Link, to []string) (failed int) {
	client := ushergrant.NewClient(link)
	next := time.Now()
	for i := range m.Count {
		if err := m.sendOne(ctx, client, link, to[i%len(to)], uint64(i)); err != nil {
			failed++
		}
		next = next.Add(m.Every)
		time.Sleep(time.Until(next))
	}
	return failed
}

func (m Messages) sendOne(ctx context.Context, client *ushergrant.Client, link ushergrant.Link, to string, i uint64) error {
	id := usherrequest.AttemptID{Gateway: Gateway(0), Incarnation: uint64(time.Now().UnixNano()), Counter: 1_000_000 + i}
	switch m.Kind {
	case Acquire:
		_, err := client.Acquire(ctx, to, ushergrant.Request{
			Attempt: id, Service: engineService, Template: Template, Workspace: Workspace(0), PromptTokens: 600, MaxOutputTokens: 4000, Priority: 5,
			Prefix: id.Incarnation, ContentHash: id.Incarnation, Revision: 1, QueueTimeout: time.Minute,
		})
		return err
	case Finish:
		return client.Finish(ctx, to, ushergrant.AttemptResult{Attempt: id, Target: Target(0), GeneratedTokens: 321, Completed: true})
	case Progress:
		return client.Progress(ctx, to, id.Incarnation, m.progressItems(id))
	default:
		held := make([]ushergrant.TargetKey, m.Items)
		for i := range held {
			held[i] = ushergrant.KeyOf(Target(i))
		}
		capacities := []ushergrant.ServiceCapacity{{Service: engineService, Requests: 100, Waiting: 10}}
		return ushergrant.Advertise(link, to, ushergrant.Advertisement{Scheduler: Scheduler(0), Revision: 1, Capacities: capacities, Held: held})
	}
}

func (m Messages) progressItems(id usherrequest.AttemptID) []ushergrant.RunningAttempt {
	running := make([]ushergrant.RunningAttempt, m.Items)
	for i := range running {
		id.Counter++
		running[i] = ushergrant.RunningAttempt{
			Attempt: id, Target: Target(i % targetsPerScheduler), Incarnation: id.Incarnation, GeneratedTokens: 160 + i,
		}
	}
	return running
}

// Send implements the RPC Load.Send.
func (s *service) Send(messages Messages, failed *int) error {
	if len(s.peers.addresses) == 0 {
		return errNoPeers
	}
	p := s.peers.byAddress[s.peers.addresses[0]]
	*failed = messages.Send(context.Background(), p.node, []string{s.peers.toSubject})
	return nil
}

// Send makes the first peer send messages to the measured process and returns the number that failed.
func (l *Load) Send(messages Messages) (int, error) {
	var failed int
	err := l.client.Call("Load.Send", messages, &failed)
	return failed, err
}

func newGranter(f Fleet) granter {
	if targets := f.Snapshot().Targets; len(targets) > 0 {
		return granter{address: targets[0].Address}
	}
	return granter{}
}

// Acquire implements ushergrant.Scheduler.
func (g granter) Acquire(context.Context, ushergrant.Request) (ushergrant.Grant, error) {
	return ushergrant.Grant{Target: Target(0), Address: g.address, Incarnation: incarnation, Revision: 1, ValidFor: time.Minute}, nil
}

// Progress implements ushergrant.Scheduler.
func (granter) Progress(string, []ushergrant.RunningAttempt) {}

// Finish implements ushergrant.Scheduler.
func (granter) Finish(ushergrant.AttemptResult) {}

// NewGranter returns a scheduler that grants every request at once, with the target at address.
func NewGranter(address netip.AddrPort) ushergrant.Scheduler { return granter{address: address} }
