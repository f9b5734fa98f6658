package usherhost

import (
	"net/netip"
	"sync"
	"sync/atomic"
	"time"
)

type (
	// contacts has the time at which something last came from each address of a target. The zero value is ready for use.
	contacts struct {
		byAddress sync.Map
	}

	// contact is the time at which something last came from an address.
	contact struct {
		at atomic.Pointer[time.Time]
	}
)

// of returns the contact of an address.
func (c *contacts) of(address netip.AddrPort) *contact {
	known, _ := c.byAddress.LoadOrStore(address, &contact{})
	return known.(*contact)
}

// heardSince reports whether something has come from an address after the given time.
func (c *contacts) heardSince(address netip.AddrPort, since time.Time) bool {
	at := c.of(address).at.Load()
	return at != nil && at.After(since)
}

func (c *contact) record() {
	now := time.Now()
	c.at.Store(&now)
}
