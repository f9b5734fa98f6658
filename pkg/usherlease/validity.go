package usherlease

import "time"

// Validity tells a gateway until when it may begin to write a request. The gateway connects to the target, takes the
// time, asks for the grant, and checks the validity right before it writes.
type Validity struct {
	askedAt  time.Time
	validFor time.Duration
}

// NewValidity returns the validity of a grant that was asked for at askedAt on the gateway's clock.
func NewValidity(askedAt time.Time, validFor time.Duration) Validity {
	return Validity{askedAt: askedAt, validFor: validFor}.WithMargin(defaultMargin)
}

// WithMargin returns the validity shortened by a fraction, for the rate between two clocks.
func (v Validity) WithMargin(margin float64) Validity {
	v.validFor = scale(v.validFor, 1-margin)
	return v
}

// Covers reports whether a write may begin at now.
func (v Validity) Covers(now time.Time) bool {
	return now.Sub(v.askedAt) < v.validFor
}
