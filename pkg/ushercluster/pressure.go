package ushercluster

import (
	"encoding/binary"
	"math"
	"slices"
	"time"
)

const (
	// PressureTimeout is how long what a host says of its pressure counts, also through others.
	PressureTimeout = 2 * time.Second
	// pressureEntryBytes is the size of a host's entry in Report.Pressures: the incarnation ID, the level and the age.
	pressureEntryBytes = idBytes + 2
	// maxPressures bounds the hosts in Report.Pressures. If more are under pressure, they take turns.
	maxPressures = 32
)

// SetPressure sets the level of pressure that this host names; zero for none.
func (c *Cluster) SetPressure(now time.Time, level uint8) {
	if level > 0 || c.pressure > 0 {
		c.pressedAt = now
	}
	c.pressure = level
}

// Pressure returns the level of pressure that a host has named lately; zero if none.
func (c *Cluster) Pressure(now time.Time, name string) uint8 {
	if name == c.self.Name {
		return c.pressure
	}
	if m, known := c.members[name]; known && now.Sub(m.pressureAt) < PressureTimeout {
		return m.pressure
	}
	return 0
}

// pressures encodes the levels of this host and of those among alive for which include returns true. The end of pressure is
// told for as long as an earlier level would count.
func (c *Cluster) pressures(now time.Time, alive []*member, include func(m *member) bool) []byte {
	var out []byte
	add := func(id uint32, level uint8, age time.Duration) {
		units := (age + ageUnit - 1) / ageUnit
		out = append(binary.BigEndian.AppendUint32(out, id), level, byte(min(max(units, 0), math.MaxUint8)))
	}
	if c.pressure > 0 || now.Sub(c.pressedAt) < PressureTimeout {
		add(c.selfID, c.pressure, 0)
	}
	for _, m := range alive {
		if age := now.Sub(m.pressureAt); age < PressureTimeout && len(out) < maxPressures*pressureEntryBytes && include(m) {
			add(m.id, m.pressure, age)
		}
	}
	return out
}

// receivePressures processes levels of pressure. They do not count as news that a host is alive.
func (c *Cluster) receivePressures(now time.Time, pressures []byte) {
	pressures = pressures[:min(len(pressures), maxPressures*pressureEntryBytes)]
	for entry := range slices.Chunk(pressures, pressureEntryBytes) {
		if len(entry) < pressureEntryBytes {
			return
		}
		name, known := c.namesByID[binary.BigEndian.Uint32(entry)]
		if !known {
			continue
		}
		m := c.members[name]
		if at := now.Add(-time.Duration(entry[idBytes+1]) * ageUnit); at.After(m.pressureAt) {
			m.pressure, m.pressureAt = entry[idBytes], at
		}
	}
}
