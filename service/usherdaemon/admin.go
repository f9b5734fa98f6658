package usherdaemon

import (
	"encoding/json"
	"net/http"

	"github.com/justinas/alice"
	"github.com/rcrowley/go-metrics"
)

// dumpWire is the state of a process as operators see it.
type dumpWire struct {
	Process       string `json:"process"`
	DataCentre    string `json:"data_centre"`
	Configuration any    `json:"configuration"`
	State         any    `json:"state"`
}

// adminRoutes serves the dump and the metrics.
func (d *daemon) adminRoutes(p part) http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /dump", func(w http.ResponseWriter, r *http.Request) {
		d.answer(w, dumpWire{
			Process: d.settings.Process.Name, DataCentre: d.settings.Process.DataCentre,
			Configuration: d.feed.Dump(), State: p.Dump(r.Context()),
		})
	})
	mux.HandleFunc("GET /metrics", func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Content-Type", "application/json")
		metrics.WriteJSONOnce(d.metrics, w)
	})
	return alice.New(noStore).Then(mux)
}

func (d *daemon) answer(w http.ResponseWriter, value any) {
	data, err := json.MarshalIndent(value, "", "  ")
	if err != nil {
		http.Error(w, err.Error(), http.StatusInternalServerError)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	_, _ = w.Write(append(data, '\n'))
}

func noStore(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set("Cache-Control", "no-store")
		next.ServeHTTP(w, r)
	})
}
