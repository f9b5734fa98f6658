package usherconfig

import (
	"bytes"
	"cmp"
	"crypto/sha256"
	"encoding/hex"
	"fmt"

	"github.com/cespare/xxhash/v2"
)

// Keys and sizes of the published values.
const (
	// IndexKey is the key of the index, which lists all shards of a revision.
	IndexKey = "usher/index"

	shardPrefix      = "usher/shard/"
	indexFormat      = 1
	shardTargetBytes = 32 << 10
	maxShardBytes    = 512 << 10
	maxShards        = 1 << 14
)

// Kinds of shards, in the order of the index.
const (
	serviceShards = iota
	targetShards
	dataCentreShards
	hostShards
	templateShards
	workspaceShards
	shardKinds
)

type (
	// Digest is the SHA-256 of a published value, truncated to its first half.
	Digest [sha256.Size / 2]byte

	// Value is a published key/value pair.
	Value struct {
		Key  string
		Data []byte
	}

	// Shard is the key and digest of a shard that the index lists.
	Shard struct {
		Key    string
		Digest Digest
	}

	// Version identifies a published configuration. Versions are ordered by revision, and by digest if two
	// configurations were published under the same revision.
	Version struct {
		Revision uint64
		Digest   Digest
	}

	// Index lists the shards of one revision.
	Index struct {
		Version Version
		shards  [][]Digest // by kind and number
	}
)

var shardNames = [shardKinds]string{"services", "targets", "data_centres", "hosts", "templates", "workspaces"}

// Render returns the values to publish for a snapshot without violations, the index last. The key of a shard contains
// its digest. If shards are published before the index, readers of both the old and the new index find all its shards.
func Render(s Snapshot) []Value {
	kinds := [shardKinds][][]byte{
		serviceShards:    renderShards(s.Services, encodeService),
		targetShards:     renderShards(s.Targets, encodeTarget),
		dataCentreShards: renderShards(s.DataCentres, encodeDataCentre),
		hostShards:       renderShards(s.Hosts, encodeHost),
		templateShards:   renderShards(s.Templates, encodeTemplate),
		workspaceShards:  renderShards(s.Workspaces, encodeWorkspace),
	}
	var values []Value
	index := indexWire{Format: indexFormat, Revision: s.Revision, Shards: make([][]Digest, shardKinds)}
	for kind, shards := range kinds {
		for number, data := range shards {
			digest := DigestOf(data)
			index.Shards[kind] = append(index.Shards[kind], digest)
			values = append(values, Value{Key: shardKey(kind, number, digest), Data: data})
		}
	}
	return append(values, Value{Key: IndexKey, Data: encode(index)})
}

// DecodeIndex reads a published index.
func DecodeIndex(data []byte) (Index, error) {
	var wire indexWire
	if err := decMode.Unmarshal(data, &wire); err != nil {
		return Index{}, ErrFormat.New("index is malformed: %s", err)
	}
	if wire.Format != indexFormat {
		return Index{}, ErrFormat.New("index has format %d; this version reads %d", wire.Format, indexFormat)
	}
	if len(wire.Shards) != shardKinds {
		return Index{}, ErrFormat.New("index lists %d kinds of shards, want %d", len(wire.Shards), shardKinds)
	}
	for kind, digests := range wire.Shards {
		if n := len(digests); n&(n-1) != 0 || n > maxShards {
			return Index{}, ErrFormat.New("index lists %d shards of %s, want a power of two", n, shardNames[kind])
		}
	}
	return Index{Version: Version{Revision: wire.Revision, Digest: DigestOf(data)}, shards: wire.Shards}, nil
}

// Shards returns all shards that the index lists.
func (x Index) Shards() []Shard {
	var shards []Shard
	for kind, digests := range x.shards {
		for number, digest := range digests {
			shards = append(shards, Shard{Key: shardKey(kind, number, digest), Digest: digest})
		}
	}
	return shards
}

// Compare returns -1 if v is older than other, 0 if they are equal and 1 if v is newer.
func (v Version) Compare(other Version) int {
	return cmp.Or(cmp.Compare(v.Revision, other.Revision), bytes.Compare(v.Digest[:], other.Digest[:]))
}

// String returns the revision and the first 4 bytes of the digest.
func (v Version) String() string {
	return fmt.Sprintf("%d-%s", v.Revision, hex.EncodeToString(v.Digest[:4]))
}

// DigestOf returns the digest of an encoded value.
func DigestOf(data []byte) Digest {
	sum := sha256.Sum256(data)
	return Digest(sum[:len(Digest{})])
}

// String returns the digest in hexadecimal.
func (d Digest) String() string {
	return hex.EncodeToString(d[:])
}

// renderShards assigns each item to a shard by the hash of its name. The number of shards is a power of two that grows
// with the total size, so that a change to one item usually changes only its own shard.
func renderShards[T item](items []T, encodeItem func(T) []byte) [][]byte {
	if len(items) == 0 {
		return nil
	}
	encoded := make([][]byte, len(items))
	total := 0
	for i, v := range items {
		encoded[i] = encodeItem(v)
		total += len(encoded[i])
	}
	count := 1
	for count*shardTargetBytes < total {
		count *= 2
	}
	for {
		shards, largest := make([][]byte, count), 0
		for i, v := range items {
			number := shardNumber(v.itemName(), count)
			shards[number] = append(shards[number], encoded[i]...)
			largest = max(largest, len(shards[number]))
		}
		if largest <= maxShardBytes || count == maxShards {
			return shards
		}
		count *= 2
	}
}

func shardNumber(name string, count int) int {
	return int(xxhash.Sum64String(name) & uint64(count-1))
}

func shardKey(kind, number int, digest Digest) string {
	return fmt.Sprintf("%s%s-%d-%s", shardPrefix, shardNames[kind], number, digest)
}

// shardName returns the name of a shard for error messages.
func shardName(kind, number int) string {
	return fmt.Sprintf("%s shard %d", shardNames[kind], number)
}
