package usherview

import (
	"time"

	"github.com/samphireusher/samphireusher/pkg/usherconfig"
)

// Reasons why a target or host is not eligible for new requests, and prefixes of the keys under which returns to
// service are recorded.
const (
	NotDeclared            Reason = "not_declared"
	TargetOutOfService     Reason = "target_out_of_service"
	HostOutOfService       Reason = "host_out_of_service"
	DataCentreOutOfService Reason = "data_centre_out_of_service"
	StoreStarting          Reason = "configuration_starting"
	StorePaused            Reason = "configuration_paused"
	StoreUnconfirmed       Reason = "configuration_unconfirmed"
	targetReturnKey               = "target "
	hostReturnKey                 = "host "
	dataCentreReturnKey           = "data_centre "
)

type (
	// Reason is the reason why a target or host is not eligible.
	Reason string

	// Eligibility reports whether a target or host may get new requests.
	Eligibility struct {
		OK     bool
		Reason Reason // empty if OK
		// ReturnedAt is when the target or host, or its data centre, last returned to service as observed by this
		// process; its load is ramped up from then.
		ReturnedAt time.Time
	}
)

// Eligible reports whether a target may get new requests. While the view is unconfirmed, only targets in the process's
// own data centre are eligible, and none within SettleTime after a pause.
func (s *Store) Eligible(now time.Time, target string) Eligibility {
	t, found := s.view.Snapshot().Target(target)
	if !found {
		return Eligibility{Reason: NotDeclared}
	}
	if !t.InService {
		return Eligibility{Reason: TargetOutOfService}
	}
	return s.eligibleInDataCentre(now, t.DataCentre, targetReturnKey+target)
}

// EligibleHost reports whether callers may be directed to a host.
func (s *Store) EligibleHost(now time.Time, host string) Eligibility {
	h, found := s.view.Snapshot().Host(host)
	if !found {
		return Eligibility{Reason: NotDeclared}
	}
	if !h.InService {
		return Eligibility{Reason: HostOutOfService}
	}
	return s.eligibleInDataCentre(now, h.DataCentre, hostReturnKey+host)
}

func (s *Store) eligibleInDataCentre(now time.Time, dataCentre, name string) Eligibility {
	d, found := s.view.Snapshot().DataCentre(dataCentre)
	if !found || !d.InService {
		return Eligibility{Reason: DataCentreOutOfService}
	}
	if reason := s.stateRestriction(now, dataCentre); reason != "" {
		return Eligibility{Reason: reason}
	}
	returnedAt := s.returned[name]
	if at := s.returned[dataCentreReturnKey+dataCentre]; at.After(returnedAt) {
		returnedAt = at
	}
	return Eligibility{OK: true, ReturnedAt: returnedAt}
}

// stateRestriction returns the reason why the state of the store excludes a data centre, or an empty one.
func (s *Store) stateRestriction(now time.Time, dataCentre string) Reason {
	switch s.State(now) {
	case Starting:
		return StoreStarting
	case Unconfirmed:
		if now.Sub(s.resumedAt) < s.settings.SettleTime {
			return StorePaused
		}
		if dataCentre != s.settings.DataCentre {
			return StoreUnconfirmed
		}
	}
	return ""
}

// recordReturns records which data centres, targets and hosts return to service with the next snapshot.
func (s *Store) recordReturns(now time.Time, next usherconfig.Snapshot) {
	before := s.view.Snapshot()
	for _, d := range next.DataCentres {
		old, found := before.DataCentre(d.Name)
		s.recordReturn(now, dataCentreReturnKey+d.Name, found && !old.InService && d.InService)
	}
	for _, t := range next.Targets {
		old, found := before.Target(t.Name)
		s.recordReturn(now, targetReturnKey+t.Name, found && !old.InService && t.InService)
	}
	for _, h := range next.Hosts {
		old, found := before.Host(h.Name)
		s.recordReturn(now, hostReturnKey+h.Name, found && !old.InService && h.InService)
	}
}

func (s *Store) recordReturn(now time.Time, name string, returned bool) {
	if returned {
		s.returned[name] = now
	}
}
