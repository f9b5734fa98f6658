package usherview

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"
)

// Member is a process whose heartbeats are received.
type Member struct {
	Name       string
	DataCentre string
}

// Readers selects the k members of a data centre that read the platform, by rendezvous hashing. Processes with the same
// member list select the same readers, and adding or removing a member changes at most one of them.
func Readers(members []Member, dataCentre string, k int) []string {
	var local []string
	for _, m := range members {
		if m.DataCentre == dataCentre {
			local = append(local, m.Name)
		}
	}
	slices.SortFunc(local, func(a, b string) int {
		return cmp.Or(cmp.Compare(readerScore(b), readerScore(a)), cmp.Compare(a, b))
	})
	return local[:min(k, len(local))]
}

func readerScore(name string) uint64 {
	return xxhash.Sum64String("reader " + name)
}
