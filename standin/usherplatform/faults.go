package usherplatform

// Faults are the switches of a platform; all of them stay until they are set again.
type Faults struct {
	// Down drops the connection of each reader.
	Down bool `json:"down"`
	// Stale shows the values as they were at StaleVersion, or as they are now if that is zero.
	Stale        bool  `json:"stale"`
	StaleVersion int64 `json:"stale_version"`
	// SlowMS makes each answer late.
	SlowMS int64 `json:"slow_ms"`
	// HostLagMS changes the lag of the host list; zero leaves the platform's own.
	HostLagMS int64 `json:"host_lag_ms"`
}

// Faults returns the switches as they stand.
func (p *Platform) Faults() Faults {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.faults
}

// SetFaults sets all switches at once.
func (p *Platform) SetFaults(faults Faults) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if !faults.Stale {
		faults.StaleVersion = 0
	} else if faults.StaleVersion == 0 {
		faults.StaleVersion = p.values.version
	}
	p.faults = faults
	p.wake()
}
