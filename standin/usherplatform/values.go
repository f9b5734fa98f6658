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

// maxRevisions is the number of revisions of each value that are kept for Faults.Stale.
const maxRevisions = 32

type (
	// Value is a key and its value in the configuration service.
	Value struct {
		Key  string `json:"key"`
		Body []byte `json:"value"`
	}

	revision struct {
		version int64
		body    []byte
	}

	// store holds the revisions of each value, oldest first.
	store struct {
		version   int64
		revisions map[string][]revision
	}

	batchRequest struct {
		Values []Value `json:"values"`
	}

	writeResponse struct {
		Version int64 `json:"version"`
	}

	watchResponse struct {
		Version int64    `json:"version"`
		Keys    []string `json:"keys"`
	}
)

// Publish writes all values as one version. If one of them is invalid, it writes none.
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
	p.notifyWatches()
	return p.values.version, nil
}

func (s *store) write(values []Value) {
	if s.revisions == nil {
		s.revisions = map[string][]revision{}
	}
	s.version++
	for _, value := range values {
		history := append(s.revisions[value.Key], revision{s.version, slices.Clone(value.Body)})
		s.revisions[value.Key] = history[max(0, len(history)-maxRevisions):]
	}
}

// read returns the value of a key as of a version.
func (s *store) read(key string, version int64) (revision, bool) {
	for _, r := range slices.Backward(s.revisions[key]) {
		if r.version <= version {
			return r, true
		}
	}
	return revision{}, false
}

// changes returns the keys that were written after version after and up to version upTo.
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

// visibleVersion returns the version that readers see. The caller must hold the lock.
func (p *Platform) visibleVersion() int64 {
	if p.faults.Stale {
		return min(p.faults.StaleVersion, p.values.version)
	}
	return p.values.version
}

func (p *Platform) serveValue(w http.ResponseWriter, r *http.Request) {
	p.mu.Lock()
	visible := p.visibleVersion()
	value, found := p.values.read(r.PathValue("key"), visible)
	p.mu.Unlock()
	if !found {
		w.Header().Set(VersionHeader, strconv.FormatInt(visible, 10))
		usherhttp.Refuse(w, http.StatusNotFound, "unknown_key")
		return
	}
	w.Header().Set(VersionHeader, strconv.FormatInt(value.version, 10))
	w.Header().Set("Content-Type", "application/octet-stream")
	w.Write(value.body)
}

// serveWatch responds as soon as there is a version after the given one, or without keys at the timeout.
func (p *Platform) serveWatch(w http.ResponseWriter, r *http.Request) {
	after, err := usherhttp.QueryInt(r, "after")
	if err != nil {
		usherhttp.Refuse(w, http.StatusBadRequest, err.Error())
		return
	}
	timeout := time.NewTimer(p.config.WatchTimeout)
	defer timeout.Stop()
	for timedOut := false; ; {
		response, changed, down := p.watchState(after)
		if down {
			panic(http.ErrAbortHandler)
		}
		if response.Version > after || timedOut {
			usherhttp.Reply(w, http.StatusOK, response)
			return
		}
		select {
		case <-changed:
		case <-timeout.C:
			timedOut = true
		case <-r.Context().Done():
			return
		}
	}
}

// watchState returns the response that a watch would get now, a channel that is closed at the next change, and whether
// the platform is down.
func (p *Platform) watchState(after int64) (response watchResponse, changed <-chan struct{}, down bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	visible := p.visibleVersion()
	return watchResponse{visible, p.values.changes(after, visible)}, p.changed, p.faults.Down
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
	var body batchRequest
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
	usherhttp.Reply(w, http.StatusOK, writeResponse{version})
}
