package usherlease

import (
	"time"

	"github.com/samphireusher/samphireusher/pkg/ushermember"
)

type (
	// Dump is a snapshot of the state of a Leases, for diagnostics.
	Dump struct {
		Abstaining bool
		Returning  bool
		Loans      int
		Attempts   int
		Targets    []TargetDump
	}

	// TargetDump is the state of one target.
	TargetDump struct {
		ID          string
		Incarnation uint64
		Budget      Budget
		Requests    int // running or waiting, by the last load report
		Foreign     int // upper bound on those granted by other schedulers
		ReportAge   time.Duration
		Lenders     []ushermember.Key
		LentTo      ushermember.Key // zero if this member's vote isn't lent
	}
)

// Dump returns the state at now. It lists the targets on which votes are held, or all targets if all is set.
func (l *Leases) Dump(now time.Time, all bool) Dump {
	d := Dump{
		Abstaining: l.view.Abstain || now.Before(l.abstainUntil), Returning: l.returning,
		Loans: len(l.loans), Attempts: len(l.attempts),
	}
	for _, t := range l.targets {
		if td := l.dumpTarget(now, t); all || len(td.Lenders) > 0 {
			d.Targets = append(d.Targets, td)
		}
	}
	return d
}

func (l *Leases) dumpTarget(now time.Time, t *target) TargetDump {
	td := TargetDump{
		ID: t.ID, Incarnation: t.load.incarnation, Budget: l.Budget(now, t.ID), Requests: t.load.requests,
		Foreign: t.load.foreign, ReportAge: now.Sub(t.load.requestedAt), Lenders: l.Lenders(now, t.ID),
	}
	if current, ok := l.loans[t.hash]; ok && now.Before(current.until) {
		td.LentTo = current.holder.key
	}
	return td
}

// Lenders returns the members that lend this member their votes on a target at now.
func (l *Leases) Lenders(now time.Time, id string) []ushermember.Key {
	t := l.byID[id]
	if t == nil {
		return nil
	}
	var lenders []ushermember.Key
	for _, v := range t.votes {
		if now.Before(v.until) && l.view.IsVoter(v.lender) {
			lenders = append(lenders, v.lender)
		}
	}
	return lenders
}
