package usherview

import (
	"time"

	"github.com/samphireusher/samphireusher/pkg/usherconfig"
)

// Reasons for which a target or host is not eligible for new work.
const (
	NotDeclared        Reason = "not_declared"
	TargetOut          Reason = "target_out_of_service"
	HostOut            Reason = "host_out_of_service"
	DataCentreOut      Reason = "data_centre_out_of_service"
	StoreStarting      Reason = "configuration_starting"
	StorePaused        Reason = "configuration_paused"
	StoreUnconfirmed   Reason = "configuration_unconfirmed"
	returnedTarget            = "target "
	returnedHost              = "host "
	returnedDataCentre        = "data_centre "
)

type (
	// Reason says why something is not eligible.
	Reason string

	// Eligibility says whether a target or host may get new work.
	Eligibility struct {
		OK     bool
		Reason Reason // empty if OK
		// ReturnedAt is when it, or its data centre, came back into service, as far as this process saw that; its load is
		// ramped from then.
		ReturnedAt time.Time
	}
)

// Eligible says whether a target may get new work. While nobody confirms the view, only targets of the process's own data
// centre are eligible, and none just after a pause.
func (s *Store) Eligible(now time.Time, target string) Eligibility {
	t, found := s.view.Snapshot().Target(target)
	if !found {
		return Eligibility{Reason: NotDeclared}
	}
	if !t.InService {
		return Eligibility{Reason: TargetOut}
	}
	return s.eligibleIn(now, t.DataCentre, returnedTarget+target)
}

// EligibleHost says whether callers may be sent to a host.
func (s *Store) EligibleHost(now time.Time, host string) Eligibility {
	h, found := s.view.Snapshot().Host(host)
	if !found {
		return Eligibility{Reason: NotDeclared}
	}
	if !h.InService {
		return Eligibility{Reason: HostOut}
	}
	return s.eligibleIn(now, h.DataCentre, returnedHost+host)
}

func (s *Store) eligibleIn(now time.Time, dataCentre, name string) Eligibility {
	d, found := s.view.Snapshot().DataCentre(dataCentre)
	if !found || !d.InService {
		return Eligibility{Reason: DataCentreOut}
	}
	if reason := s.restriction(now, dataCentre); reason != "" {
		return Eligibility{Reason: reason}
	}
	returnedAt := s.returned[name]
	if at := s.returned[returnedDataCentre+dataCentre]; at.After(returnedAt) {
		returnedAt = at
	}
	return Eligibility{OK: true, ReturnedAt: returnedAt}
}

// restriction returns what the state of the store forbids in a data centre.
func (s *Store) restriction(now time.Time, dataCentre string) Reason {
	switch s.State(now) {
	case Starting:
		return StoreStarting
	case Unconfirmed:
		if now.Sub(s.wokenAt) < s.settings.SettleTime {
			return StorePaused
		}
		if dataCentre != s.settings.DataCentre {
			return StoreUnconfirmed
		}
	}
	return ""
}

// noteReturns remembers what comes back into service with the next snapshot.
func (s *Store) noteReturns(now time.Time, next usherconfig.Snapshot) {
	before := s.view.Snapshot()
	for _, d := range next.DataCentres {
		old, found := before.DataCentre(d.Name)
		s.noteReturn(now, returnedDataCentre+d.Name, found && !old.InService && d.InService)
	}
	for _, t := range next.Targets {
		old, found := before.Target(t.Name)
		s.noteReturn(now, returnedTarget+t.Name, found && !old.InService && t.InService)
	}
	for _, h := range next.Hosts {
		old, found := before.Host(h.Name)
		s.noteReturn(now, returnedHost+h.Name, found && !old.InService && h.InService)
	}
}

func (s *Store) noteReturn(now time.Time, name string, returned bool) {
	if returned {
		s.returned[name] = now
	}
}
