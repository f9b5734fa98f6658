package ushermember

import (
	"encoding/binary"
	"slices"
	"strings"

	"github.com/cespare/xxhash/v2"
)

type (
	// Key is the hash of a member's ID. It identifies the member in heartbeats and in rendezvous hashing.
	Key uint64

	// Member is one entry of the published list.
	Member struct {
		ID         string
		Address    string
		DataCentre string
		Leaving    bool
	}

	// List is a published list of the members of a cell, sorted by ID. It is immutable.
	List struct {
		revision uint64
		members  []Member
		keys     []Key
		digest   uint64
	}
)

// KeyOf returns the key for a member ID.
func KeyOf(id string) Key {
	return Key(xxhash.Sum64String(id))
}

func (m Member) Key() Key {
	return KeyOf(m.ID)
}

// NewList returns the list published under revision. Members are sorted by ID, and duplicate IDs are dropped.
func NewList(revision uint64, members []Member) List {
	sorted := slices.Clone(members)
	slices.SortFunc(sorted, func(a, b Member) int { return strings.Compare(a.ID, b.ID) })
	sorted = slices.CompactFunc(sorted, func(a, b Member) bool { return a.ID == b.ID })
	keys := make([]Key, len(sorted))
	for i, m := range sorted {
		keys[i] = m.Key()
	}
	return List{revision: revision, members: sorted, keys: keys, digest: DigestOf(keys)}
}

func (l List) Revision() uint64 { return l.revision }

func (l List) Len() int { return len(l.members) }

// Members returns a copy of the members, sorted by ID.
func (l List) Members() []Member { return slices.Clone(l.members) }

// Digest returns a hash of the member IDs. It does not cover the revision, addresses and leaving flags.
func (l List) Digest() uint64 { return l.digest }

// Contains reports whether a member with the key is listed.
func (l List) Contains(key Key) bool { return slices.Contains(l.keys, key) }

// encode returns a bitmap over the list of the members for which include returns true.
func (l List) encode(include func(Key) bool) []byte {
	bits := make([]byte, (len(l.keys)+7)/8)
	for i, key := range l.keys {
		if include(key) {
			bits[i/8] |= 1 << (i % 8)
		}
	}
	return bits
}

// decode returns the keys that are set in a bitmap made by encode.
func (l List) decode(bits []byte) []Key {
	keys := make([]Key, 0, len(l.keys))
	for i, key := range l.keys {
		if i/8 < len(bits) && bits[i/8]&(1<<(i%8)) != 0 {
			keys = append(keys, key)
		}
	}
	return keys
}

// DigestOf returns a hash of keys, which depends on their order.
func DigestOf(keys []Key) uint64 {
	var d xxhash.Digest
	d.Reset()
	var buf [8]byte
	for _, key := range keys {
		binary.LittleEndian.PutUint64(buf[:], uint64(key))
		_, _ = d.Write(buf[:])
	}
	return d.Sum64()
}
