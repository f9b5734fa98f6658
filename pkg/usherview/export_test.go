package usherview

import "github.com/samphireusher/samphireusher/pkg/usherconfig"

// SetNewer replaces the order of versions, so that a test can show that it finds a wrong one.
func (s *Store) SetNewer(newer func(a, b usherconfig.Version) bool) {
	s.newer = newer
}
