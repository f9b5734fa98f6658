package usherplatform

// Faults holds the fault switches of a platform. They stay in effect until they are set again.
type Faults struct {
	// Down closes the connection of each reader without a response.
	Down bool `json:"down"`
	// Stale serves values as of StaleVersion, or as of the time when the fault is set if StaleVersion is zero.
	Stale        bool  `json:"stale"`
	StaleVersion int64 `json:"stale_version"`
	// SlowMS delays each response by this number of milliseconds.
	SlowMS int64 `json:"slow_ms"`
	// HostLagMS overrides Config.HostLag, in milliseconds; zero keeps it.
	HostLagMS int64 `json:"host_lag_ms"`
}

// Faults returns the current fault switches.
func (p *Platform) Faults() Faults {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.faults
}

// SetFaults replaces all fault switches.
func (p *Platform) SetFaults(faults Faults) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if !faults.Stale {
		faults.StaleVersion = 0
	} else if faults.StaleVersion == 0 {
		faults.StaleVersion = p.values.version
	}
	p.faults = faults
	p.notifyWatches()
}
