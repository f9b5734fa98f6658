package usherlease

import "time"

// Validity limits the time in which a gateway may start to write a request. The gateway connects to the target, reads its
// clock, requests the grant, and checks the validity immediately before it writes.
type Validity struct {
	requestedAt time.Time
	validFor    time.Duration
}

// NewValidity returns the validity of a grant that was requested at requestedAt on the gateway's clock.
func NewValidity(requestedAt time.Time, validFor time.Duration) Validity {
	return Validity{requestedAt: requestedAt, validFor: validFor}.WithMargin(defaultMargin)
}

// WithMargin returns the validity shortened by a fraction, to allow for differences in clock rate.
func (v Validity) WithMargin(margin float64) Validity {
	v.validFor = scale(v.validFor, 1-margin)
	return v
}

// Covers reports whether a write may start at now.
func (v Validity) Covers(now time.Time) bool {
	return now.Sub(v.requestedAt) < v.validFor
}
