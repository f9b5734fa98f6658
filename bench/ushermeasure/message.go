package ushermeasure

import (
	"context"
	"time"

	"github.com/samphireusher/samphireusher/bench/usherload"
	"github.com/samphireusher/samphireusher/pkg/usherlink"
	"github.com/samphireusher/samphireusher/service/ushergrant"
)

const (
	messageCount = 400
	messageEvery = 5 * time.Millisecond
	connectTime  = 500 * time.Millisecond
)

// discardListener ignores advertisements.
type discardListener struct{}

// runMessage measures the cost of one message of a kind to its sender and to its receiver, including the reply and
// acknowledgements.
func runMessage(plan Plan, write Writer) error {
	fleet := usherload.Fleet{Schedulers: 1, Gateways: 1, Targets: 1, Workspaces: 1}
	s, err := newSubject(usherload.Gateway(0), fleet)
	if err != nil {
		return err
	}
	defer s.close()
	view, err := s.view(fleet)
	if err != nil {
		return err
	}
	ushergrant.Register(s.mux, usherload.NewGranter(view.Snapshot().Targets[0].Address))
	ushergrant.RegisterListener(s.mux, discardListener{})
	messages := usherload.Messages{Kind: usherload.MessageKind(plan.Point.Variant), Items: plan.Point.Items, Count: messageCount, Every: messageEvery}
	if err := s.connect(messages); err != nil {
		return err
	}
	for repeat := range plan.Repeats {
		r := recorder{plan: plan, repeat: repeat, write: write}
		err := s.measureExchange(r, "sender", func() (int, error) { return messages.Send(context.Background(), s.node, s.peers), nil })
		if err != nil {
			return err
		}
		if err := s.measureExchange(r, "receiver", func() (int, error) { return s.load.Send(messages) }); err != nil {
			return err
		}
	}
	return nil
}

// connect makes both sides dial, so that handshakes are not measured.
func (s *subject) connect(messages usherload.Messages) error {
	messages.Count = 1
	messages.Send(context.Background(), s.node, s.peers)
	if _, err := s.load.Send(messages); err != nil {
		return err
	}
	time.Sleep(connectTime)
	return nil
}

// measureExchange measures this process while send runs. Its processor time when idle is subtracted.
func (s *subject) measureExchange(r recorder, side string, send func() (int, error)) error {
	idleStart := takeSample()
	time.Sleep(connectTime)
	idleTime, idleProcessor, _ := takeSample().since(idleStart)
	first, err := s.load.Traffic()
	if err != nil {
		return err
	}
	before := takeSample()
	failed, err := send()
	if err != nil {
		return err
	}
	elapsed, processor, _ := takeSample().since(before)
	last, err := s.load.Traffic()
	if err != nil {
		return err
	}
	processor -= time.Duration(float64(idleProcessor) * elapsed.Seconds() / idleTime.Seconds())
	bytes := last.SentBytes - first.SentBytes + last.ReceivedBytes - first.ReceivedBytes
	return r.recordAll(
		measurement{side + "_processor", "us/message", float64(processor.Nanoseconds()) / 1e3 / messageCount},
		measurement{side + "_bytes", "B/message", float64(bytes) / messageCount},
		measurement{side + "_failed", "share", float64(failed) / messageCount},
	)
}

// Advertised implements ushergrant.Listener.
func (discardListener) Advertised(ushergrant.Advertisement) {}

var _ ushergrant.Link = (*usherlink.Node)(nil)
