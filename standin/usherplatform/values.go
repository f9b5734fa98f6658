package usherplatform

import (
	"io"
	"net/http"
	"slices"
	"strconv"
	"time"

	"github.com/joomcode/errorx"

	"github.com/samphireusher/samphireusher/standin/internal/usherhttp"
)

// maxRevisions is how many revisions of a value are kept for a stale platform to serve.
const maxRevisions = 32

type (
	// Value is one value of the configuration service.
	Value struct {
		Key  string `json:"key"`
		Body []byte `json:"value"`
	}

	revision struct {
		version int64
		body    []byte
	}

	// store keeps the revisions of each value, oldest first.
	store struct {
		version   int64
		revisions map[string][]revision
	}

	batchBody struct {
		Values []Value `json:"values"`
	}

	writeAnswer struct {
		Version int64 `json:"version"`
	}

	watchAnswer struct {
		Version int64    `json:"version"`
		Keys    []string `json:"keys"`
	}
)

// Publish writes all values as one version, or none of them.
func (p *Platform) Publish(values []Value) (version int64, err error) {
	for _, value := range values {
		if value.Key == "" {
			return 0, errorx.IllegalArgument.New("a value has no key")
		}
		if len(value.Body) > MaxValueBytes {
			return 0, errorx.IllegalArgument.New("value %q has more than %d bytes", value.Key, MaxValueBytes)
		}
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.values.write(values)
	p.wake()
	return p.values.version, nil
}

func (s *store) write(values []Value) {
	if s.revisions == nil {
		s.revisions = map[string][]revision{}
	}
	s.version++
	for _, value := range values {
		kept := append(s.revisions[value.Key], revision{s.version, slices.Clone(value.Body)})
		s.revisions[value.Key] = kept[max(0, len(kept)-maxRevisions):]
	}
}

// read returns a value as it was at a version.
func (s *store) read(key string, version int64) (revision, bool) {
	for _, old := range slices.Backward(s.revisions[key]) {
		if old.version <= version {
			return old, true
		}
	}
	return revision{}, false
}

// changes returns the keys that were written after one version and up to another.
func (s *store) changes(after, upTo int64) []string {
	keys := []string{}
	for key, revisions := range s.revisions {
		if slices.ContainsFunc(revisions, func(r revision) bool { return r.version > after && r.version <= upTo }) {
			keys = append(keys, key)
		}
	}
	slices.Sort(keys)
	return keys
}

// shown returns the version that readers see. The caller holds the lock.
func (p *Platform) shown() int64 {
	if p.faults.Stale {
		return min(p.faults.StaleVersion, p.values.version)
	}
	return p.values.version
}

func (p *Platform) serveValue(w http.ResponseWriter, r *http.Request) {
	p.mu.Lock()
	shown := p.shown()
	value, found := p.values.read(r.PathValue("key"), shown)
	p.mu.Unlock()
	if !found {
		w.Header().Set(VersionHeader, strconv.FormatInt(shown, 10))
		usherhttp.Refuse(w, http.StatusNotFound, "unknown_key")
		return
	}
	w.Header().Set(VersionHeader, strconv.FormatInt(value.version, 10))
	w.Header().Set("Content-Type", "application/octet-stream")
	w.Write(value.body)
}

// serveWatch answers as soon as there is a version after the given one, or without keys when it has waited long enough.
func (p *Platform) serveWatch(w http.ResponseWriter, r *http.Request) {
	after, err := usherhttp.QueryInt(r, "after")
	if err != nil {
		usherhttp.Refuse(w, http.StatusBadRequest, err.Error())
		return
	}
	timeout := time.NewTimer(p.config.WatchTimeout)
	defer timeout.Stop()
	for waited := false; ; {
		answer, changed, down := p.look(after)
		if down {
			panic(http.ErrAbortHandler)
		}
		if answer.Version > after || waited {
			usherhttp.Reply(w, http.StatusOK, answer)
			return
		}
		select {
		case <-changed:
		case <-timeout.C:
			waited = true
		case <-r.Context().Done():
			return
		}
	}
}

// look returns what a watch would answer now, and what it has to wait for.
func (p *Platform) look(after int64) (answer watchAnswer, changed <-chan struct{}, down bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	shown := p.shown()
	return watchAnswer{shown, p.values.changes(after, shown)}, p.changed, p.faults.Down
}

func (p *Platform) servePutValue(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, MaxValueBytes))
	if err != nil {
		usherhttp.Refuse(w, http.StatusBadRequest, err.Error())
		return
	}
	p.publish(w, []Value{{r.PathValue("key"), body}})
}

func (p *Platform) servePutBatch(w http.ResponseWriter, r *http.Request) {
	var body batchBody
	if err := usherhttp.Decode(w, r, &body); err != nil {
		usherhttp.Refuse(w, http.StatusBadRequest, err.Error())
		return
	}
	p.publish(w, body.Values)
}

func (p *Platform) publish(w http.ResponseWriter, values []Value) {
	version, err := p.Publish(values)
	if err != nil {
		usherhttp.Refuse(w, http.StatusBadRequest, err.Error())
		return
	}
	usherhttp.Reply(w, http.StatusOK, writeAnswer{version})
}
