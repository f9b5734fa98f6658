package ushermember

import (
	"context"

	"github.com/looplab/fsm"
)

const (
	// Unknown is the state of a listed member from which no heartbeat has been received.
	Unknown State = "unknown"
	// Joining is the state of a member whose heartbeats are received but don't yet echo one of this process.
	Joining State = "joining"
	// Alive is the state of a member whose heartbeats are received and echo those of this process.
	Alive State = "alive"
	// Suspect is the state of a member with missed heartbeats in either direction.
	Suspect State = "suspect"
	// Dead is the state of a member that has been suspect for too long.
	Dead State = "dead"
	// Leaving is the state of a member that has announced that it leaves or is published as leaving.
	Leaving State = "leaving"
)

const (
	eventHear   = "hear"
	eventJoin   = "join"
	eventMiss   = "miss"
	eventExpire = "expire"
	eventLeave  = "leave"
	eventReturn = "return"
)

type (
	// State is the state of a member.
	State string

	// lifecycle is the transition table shared by all members. Each peer stores only its state.
	lifecycle struct {
		machine *fsm.FSM
	}
)

func newLifecycle() lifecycle {
	staying := []string{string(Unknown), string(Joining), string(Alive), string(Suspect), string(Dead)}
	return lifecycle{machine: fsm.NewFSM(string(Unknown), fsm.Events{
		{Name: eventHear, Src: []string{string(Unknown), string(Dead)}, Dst: string(Joining)},
		{Name: eventJoin, Src: []string{string(Joining), string(Suspect)}, Dst: string(Alive)},
		{Name: eventMiss, Src: []string{string(Alive)}, Dst: string(Suspect)},
		{Name: eventExpire, Src: []string{string(Joining), string(Suspect)}, Dst: string(Dead)},
		{Name: eventLeave, Src: staying, Dst: string(Leaving)},
		{Name: eventReturn, Src: []string{string(Leaving)}, Dst: string(Unknown)},
	}, nil)}
}

// next returns the state after event, or state itself if it has no transition for the event.
func (l lifecycle) next(state State, event string) State {
	l.machine.SetState(string(state))
	if l.machine.Cannot(event) {
		return state
	}
	if err := l.machine.Event(context.Background(), event); err != nil {
		return state
	}
	return State(l.machine.Current())
}
