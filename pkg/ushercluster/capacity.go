package ushercluster

import "cmp"

// Capacity is what a host can carry. A quantity of zero is not named.
type Capacity struct {
	// MilliCores is the processor time that the host has in each second, in thousandths of one core.
	MilliCores uint32 `cbor:"1,keyasint,omitempty"`
	LinkMbps   uint32 `cbor:"2,keyasint,omitempty"`
}

// Compare compares capacities by their processors and then by their links. It returns a positive number if c is larger.
func (c Capacity) Compare(other Capacity) int {
	return cmp.Or(cmp.Compare(c.MilliCores, other.MilliCores), cmp.Compare(c.LinkMbps, other.LinkMbps))
}
