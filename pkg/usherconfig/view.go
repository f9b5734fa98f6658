package usherconfig

import (
	"bytes"
	"slices"

	"github.com/cespare/xxhash/v2"
	lru "github.com/hashicorp/golang-lru/v2"
)

// decodedCacheSize is the number of decoded workspaces that a view caches.
const decodedCacheSize = 1024

type (
	// View is a published configuration as a daemon holds it. Workspaces stay encoded until they are used.
	// A View is immutable and safe for concurrent use. The zero View has revision 0 and declares nothing.
	View struct {
		index      Index
		indexData  []byte
		snapshot   Snapshot // without workspaces
		shards     map[Digest][]byte
		workspaces []workspaceShard
		decoded    *lru.Cache[string, Workspace]
		count      int
	}

	// workspaceShard is an encoded shard of workspaces with an index for lookups by name.
	workspaceShard struct {
		digest  Digest
		data    []byte
		entries []workspaceEntry // sorted by hash
	}

	// workspaceEntry holds the offset of an encoded workspace in its shard.
	workspaceEntry struct {
		hash   uint32 // upper half of the hash of the name
		offset uint32
	}
)

// Assemble builds a view from an index and its shards, keyed by digest. It verifies the digests of the shards and the
// rules of Check.
func Assemble(index []byte, shards map[Digest][]byte) (View, error) {
	return View{}.Advance(index, shards)
}

// Advance returns the view of another index. Shards that v already holds are reused and need not be given.
func (v View) Advance(index []byte, shards map[Digest][]byte) (View, error) {
	decoded, err := DecodeIndex(index)
	if err != nil {
		return View{}, err
	}
	next := View{index: decoded, indexData: bytes.Clone(index), shards: map[Digest][]byte{}}
	if err := next.collectShards(v, shards); err != nil {
		return View{}, err
	}
	if err := next.decodeFleet(); err != nil {
		return View{}, err
	}
	if err := next.readWorkspaces(v); err != nil {
		return View{}, err
	}
	if next.decoded, err = lru.New[string, Workspace](decodedCacheSize); err != nil {
		return View{}, err
	}
	return next, nil
}

// Version returns the version of the view.
func (v View) Version() Version {
	return v.index.Version
}

// Index returns the encoded index as it was published. It is empty for the zero View.
func (v View) Index() []byte {
	return v.indexData
}

// Shard returns the encoded shard with the given digest.
func (v View) Shard(digest Digest) ([]byte, bool) {
	data, found := v.shards[digest]
	return data, found
}

// Snapshot returns the contents of the view without the workspaces.
func (v View) Snapshot() Snapshot {
	return v.snapshot
}

// WorkspaceCount returns the number of declared workspaces.
func (v View) WorkspaceCount() int {
	return v.count
}

// Workspace returns the workspace called name.
func (v View) Workspace(name string) (Workspace, bool) {
	if len(v.workspaces) == 0 {
		return Workspace{}, false
	}
	if w, found := v.decoded.Get(name); found {
		return w, true
	}
	w, found := v.workspaces[shardNumber(name, len(v.workspaces))].find(name)
	if found {
		v.decoded.Add(name, w)
	}
	return w, found
}

// Resolve validates a request against the view and fills in values that the request omits.
func (v View) Resolve(workspace, template string, arguments []Argument) (ResolvedRequest, error) {
	w, found := v.Workspace(workspace)
	if !found {
		return ResolvedRequest{}, ErrNoWorkspace.New("workspace %q is not declared", workspace)
	}
	return v.snapshot.resolveIn(w, template, arguments)
}

// collectShards collects and verifies the shards that the index lists.
func (v *View) collectShards(previous View, shards map[Digest][]byte) error {
	for _, shard := range v.index.Shards() {
		if data, found := previous.shards[shard.Digest]; found {
			v.shards[shard.Digest] = data
			continue
		}
		data, found := shards[shard.Digest]
		if !found {
			return ErrMissingShard.New("%s is missing", shard.Key)
		}
		if DigestOf(data) != shard.Digest {
			return ErrDigestMismatch.New("%s does not match its digest", shard.Key)
		}
		if len(data) > maxShardBytes {
			return ErrFormat.New("%s is larger than %d bytes", shard.Key, maxShardBytes)
		}
		v.shards[shard.Digest] = data
	}
	return nil
}

func (v *View) decodeFleet() (err error) {
	s := &v.snapshot
	s.Revision = v.index.Version.Revision
	if s.Services, err = decodeShards(v, serviceShards, decodeService); err != nil {
		return err
	}
	if s.Targets, err = decodeShards(v, targetShards, decodeTarget); err != nil {
		return err
	}
	if s.DataCentres, err = decodeShards(v, dataCentreShards, decodeDataCentre); err != nil {
		return err
	}
	if s.Hosts, err = decodeShards(v, hostShards, decodeHost); err != nil {
		return err
	}
	if s.Templates, err = decodeShards(v, templateShards, decodeTemplate); err != nil {
		return err
	}
	for _, t := range s.Templates {
		if !strictlySorted(t.Parameters) {
			return ErrFormat.New("template %q: parameters are not sorted or not unique", t.Name)
		}
	}
	c := &checker{snapshot: *s}
	c.checkFleet()
	return c.err()
}

// readWorkspaces reads and checks the shards of workspaces. Shards that the previous view has checked against the same
// templates are not checked again.
func (v *View) readWorkspaces(previous View) error {
	checked := map[Digest]workspaceShard{}
	if slices.Equal(previous.digests(templateShards), v.digests(templateShards)) {
		for _, shard := range previous.workspaces {
			checked[shard.digest] = shard
		}
	}
	digests := v.digests(workspaceShards)
	for number, digest := range digests {
		shard, found := checked[digest]
		if !found {
			var err error
			if shard, err = v.readWorkspaceShard(number, digest); err != nil {
				return err
			}
		}
		v.workspaces = append(v.workspaces, shard)
		v.count += len(shard.entries)
	}
	return nil
}

func (v *View) readWorkspaceShard(number int, digest Digest) (workspaceShard, error) {
	shard := workspaceShard{digest: digest, data: v.shards[digest]}
	c := &checker{snapshot: v.snapshot}
	previous := ""
	for rest := shard.data; len(rest) > 0; {
		offset := len(shard.data) - len(rest)
		w, after, err := decodeWorkspace(rest)
		if err != nil {
			return shard, ErrFormat.New("%s is malformed: %s", shardName(workspaceShards, number), err)
		}
		if w.Name <= previous || shardNumber(w.Name, len(v.digests(workspaceShards))) != number {
			return shard, ErrFormat.New("%s: workspace %q is out of order or in the wrong shard", shardName(workspaceShards, number), w.Name)
		}
		if !slices.IsSortedFunc(w.Values, compareParameterValues) {
			return shard, ErrFormat.New("workspace %q: values are not sorted", w.Name)
		}
		c.checkWorkspace(w)
		shard.entries = append(shard.entries, workspaceEntry{hash: entryHash(w.Name), offset: uint32(offset)})
		previous, rest = w.Name, after
	}
	slices.SortFunc(shard.entries, func(a, b workspaceEntry) int { return int(a.hash) - int(b.hash) })
	shard.entries = slices.Clip(shard.entries)
	return shard, c.err()
}

func (v View) digests(kind int) []Digest {
	if len(v.index.shards) == 0 {
		return nil
	}
	return v.index.shards[kind]
}

func (s workspaceShard) find(name string) (Workspace, bool) {
	hash := entryHash(name)
	i, _ := slices.BinarySearchFunc(s.entries, hash, func(e workspaceEntry, hash uint32) int {
		return int(e.hash) - int(hash)
	})
	for ; i < len(s.entries) && s.entries[i].hash == hash; i++ {
		if w, _, err := decodeWorkspace(s.data[s.entries[i].offset:]); err == nil && w.Name == name {
			return w, true
		}
	}
	return Workspace{}, false
}

// decodeShards decodes all items of a kind and returns them sorted by name.
func decodeShards[T item](v *View, kind int, decode func([]byte) (T, []byte, error)) ([]T, error) {
	var items []T
	digests := v.digests(kind)
	for number, digest := range digests {
		for rest := v.shards[digest]; len(rest) > 0; {
			var (
				value T
				err   error
			)
			if value, rest, err = decode(rest); err != nil {
				return nil, ErrFormat.New("%s is malformed: %s", shardName(kind, number), err)
			}
			if shardNumber(value.itemName(), len(digests)) != number {
				return nil, ErrFormat.New("%s: %q is in the wrong shard", shardName(kind, number), value.itemName())
			}
			items = append(items, value)
		}
	}
	slices.SortStableFunc(items, compareItems)
	if !strictlySorted(items) {
		return nil, ErrFormat.New("%s: a name is declared twice", shardNames[kind])
	}
	return items, nil
}

// strictlySorted reports whether items are sorted by name without duplicates.
func strictlySorted[T item](items []T) bool {
	for i := 1; i < len(items); i++ {
		if items[i-1].itemName() >= items[i].itemName() {
			return false
		}
	}
	return true
}

// err returns an error that names the first violation and their number, or nil if there are none.
func (c *checker) err() error {
	if len(c.violations) == 0 {
		return nil
	}
	return ErrInvalid.New("%s (%d violations)", c.violations[0], len(c.violations))
}

func entryHash(name string) uint32 {
	return uint32(xxhash.Sum64String(name) >> 32)
}
