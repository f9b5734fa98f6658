package usherlease

import (
	"encoding/binary"

	"github.com/cespare/xxhash/v2"
	"github.com/samphireusher/samphireusher/pkg/ushermember"
)

// assignment maps each candidate to the targets for which it ranks first by rendezvous hash.
type assignment struct {
	byMember map[ushermember.Key][]*target
}

// assign returns the assignment of the targets to the candidates, from the cache if possible.
func (l *Leases) assign(candidates []ushermember.Key) *assignment {
	digest := ushermember.DigestOf(candidates)
	if a, ok := l.assignments.Get(digest); ok {
		return a
	}
	a := &assignment{byMember: make(map[ushermember.Key][]*target, len(candidates))}
	for _, t := range l.targets {
		if first, ok := firstFor(t.hash, candidates); ok {
			a.byMember[first] = append(a.byMember[first], t)
		}
	}
	l.assignments.Add(digest, a)
	return a
}

// firstFor returns the candidate with the greatest weight for the target. Ties go to the greater key.
func firstFor(target uint64, candidates []ushermember.Key) (first ushermember.Key, ok bool) {
	var greatest uint64
	for _, candidate := range candidates {
		weight := rendezvousWeight(target, candidate)
		if !ok || weight > greatest || weight == greatest && candidate > first {
			first, greatest, ok = candidate, weight, true
		}
	}
	return first, ok
}

func rendezvousWeight(target uint64, member ushermember.Key) uint64 {
	var buf [16]byte
	binary.LittleEndian.PutUint64(buf[:8], target)
	binary.LittleEndian.PutUint64(buf[8:], uint64(member))
	return xxhash.Sum64(buf[:])
}
