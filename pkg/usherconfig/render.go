package usherconfig

import (
	"bytes"
	"cmp"
	"crypto/sha256"
	"encoding/hex"
	"fmt"

	"github.com/cespare/xxhash/v2"
)

// Layout of the published values.
const (
	// IndexKey is the key of the value that names all shards of a revision.
	IndexKey = "usher/index"

	shardPrefix      = "usher/shard/"
	indexFormat      = 1
	shardTargetBytes = 32 << 10
	maxShardBytes    = 512 << 10
	maxShards        = 1 << 14
)

// Kinds of items, in their order in the index.
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
	// Digest is the first half of the SHA-256 of a published value.
	Digest [sha256.Size / 2]byte

	// Value is a published value under its key.
	Value struct {
		Key  string
		Data []byte
	}

	// Shard is a part of a configuration that the index names.
	Shard struct {
		Key    string
		Digest Digest
	}

	// Version orders configurations: by revision, and where two were published under one revision, by digest.
	Version struct {
		Revision uint64
		Digest   Digest
	}

	// Index names the shards of one revision.
	Index struct {
		Version Version
		shards  [][]Digest // by kind and number
	}
)

var shardNames = [shardKinds]string{"services", "targets", "data_centres", "hosts", "templates", "workspaces"}

// Render returns the values to be published for a snapshot that Check finds without fault, the index last. A shard's key
// holds its digest: publish the shards before the index, and a reader of either index always finds what it names.
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
	if err := decoding.Unmarshal(data, &wire); err != nil {
		return Index{}, ErrFormat.New("index is malformed: %s", err)
	}
	if wire.Format != indexFormat {
		return Index{}, ErrFormat.New("index has format %d; this version reads %d", wire.Format, indexFormat)
	}
	if len(wire.Shards) != shardKinds {
		return Index{}, ErrFormat.New("index has %d kinds of shards, want %d", len(wire.Shards), shardKinds)
	}
	for kind, digests := range wire.Shards {
		if n := len(digests); n&(n-1) != 0 || n > maxShards {
			return Index{}, ErrFormat.New("index has %d shards of %s, want a power of two", n, shardNames[kind])
		}
	}
	return Index{Version: Version{Revision: wire.Revision, Digest: DigestOf(data)}, shards: wire.Shards}, nil
}

// Shards returns all shards that the index names.
func (x Index) Shards() []Shard {
	var shards []Shard
	for kind, digests := range x.shards {
		for number, digest := range digests {
			shards = append(shards, Shard{Key: shardKey(kind, number, digest), Digest: digest})
		}
	}
	return shards
}

// Compare returns -1, 0 or 1 if v is older than, equal to or newer than other.
func (v Version) Compare(other Version) int {
	return cmp.Or(cmp.Compare(v.Revision, other.Revision), bytes.Compare(v.Digest[:], other.Digest[:]))
}

// String returns the revision and the beginning of the digest.
func (v Version) String() string {
	return fmt.Sprintf("%d-%s", v.Revision, hex.EncodeToString(v.Digest[:4]))
}

// DigestOf returns the digest of a value.
func DigestOf(data []byte) Digest {
	sum := sha256.Sum256(data)
	return Digest(sum[:len(Digest{})])
}

// String returns the digest in hexadecimal.
func (d Digest) String() string {
	return hex.EncodeToString(d[:])
}

// renderShards puts each item into the shard that its name hashes to. The number of shards is a power of two that grows
// with the whole size, so that a change of one item leaves all other shards as they are.
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

// shardName returns what messages call a shard.
func shardName(kind, number int) string {
	return fmt.Sprintf("%s shard %d", shardNames[kind], number)
}
