package usherview

import "github.com/samphireusher/samphireusher/pkg/usherconfig"

// SetNewer replaces the comparison of versions, so that tests can check that a wrong one is detected.
func (s *Store) SetNewer(newer func(a, b usherconfig.Version) bool) {
	s.newer = newer
}
