package usherview

import (
	"slices"
	"time"
)

type (
	// Counts are the counters of a store since its start.
	Counts struct {
		Reads        int `json:"reads"`
		FailedReads  int `json:"failed_reads"`
		Adopted      int `json:"adopted"`
		Pauses       int `json:"pauses"`
		UnusedShards int `json:"unused_shards"`
	}

	// Pending describes a version that is being fetched.
	Pending struct {
		Version       string `json:"version"`
		IndexKnown    bool   `json:"index_known"`
		MissingShards int    `json:"missing_shards"`
		Sources       int    `json:"sources"`
	}

	// Dump is a snapshot of a store's state for operators.
	Dump struct {
		State           string        `json:"state"`
		Version         string        `json:"version"`
		Revision        uint64        `json:"revision"`
		AdoptedAt       time.Time     `json:"adopted_at"`
		ConfirmedBy     string        `json:"confirmed_by"`
		ConfirmedAt     time.Time     `json:"confirmed_at"`
		ConfirmedAge    time.Duration `json:"confirmed_age_nanoseconds"`
		PlatformVersion string        `json:"platform_version"`
		PlatformBehind  bool          `json:"platform_behind"` // the platform has an older version than the one in force
		PlatformSeenAt  time.Time     `json:"platform_seen_at"`
		Reader          bool          `json:"reader"`
		Members         int           `json:"members"`
		Workspaces      int           `json:"workspaces"`
		Rejected        []Rejected    `json:"rejected,omitempty"`
		Pending         []Pending     `json:"pending,omitempty"`
		Counts          Counts        `json:"counts"`
	}
)

// Dump returns a snapshot of the store's state at now.
func (s *Store) Dump(now time.Time) Dump {
	state := s.State(now)
	source, at := s.Confirmed()
	dump := Dump{
		State: state, Version: s.Version().String(), Revision: s.Version().Revision, AdoptedAt: s.adoptedAt,
		ConfirmedBy: source, ConfirmedAt: at, PlatformVersion: s.platformVersion.String(),
		PlatformBehind: s.platformAnswered && s.newer(s.Version(), s.platformVersion), PlatformSeenAt: s.platformSeenAt,
		Reader: s.reader, Members: len(s.members), Workspaces: s.view.WorkspaceCount(),
		Rejected: slices.Clone(s.rejected), Counts: s.counts,
	}
	if !at.IsZero() {
		dump.ConfirmedAge = now.Sub(at)
	}
	for _, c := range s.candidates {
		dump.Pending = append(dump.Pending, Pending{
			Version: c.version.String(), IndexKnown: c.index != nil, MissingShards: len(c.missing), Sources: len(c.sources),
		})
	}
	return dump
}
