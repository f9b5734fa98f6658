package usherdaemon

import (
	"encoding/json"
	"net/http"

	"github.com/justinas/alice"
	"github.com/rcrowley/go-metrics"
)

// dumpWire is the response of the admin endpoint /dump.
type dumpWire struct {
	Process       string `json:"process"`
	DataCentre    string `json:"data_centre"`
	Configuration any    `json:"configuration"`
	State         any    `json:"state"`
}

// adminRoutes returns the handler of the admin endpoints /dump and /metrics.
func (d *daemon) adminRoutes(c component) http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /dump", func(w http.ResponseWriter, r *http.Request) {
		d.writeJSON(w, dumpWire{
			Process: d.settings.Process.Name, DataCentre: d.settings.Process.DataCentre,
			Configuration: d.feed.Dump(), State: c.Dump(r.Context()),
		})
	})
	mux.HandleFunc("GET /metrics", func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Content-Type", "application/json")
		metrics.WriteJSONOnce(d.metrics, w)
	})
	return alice.New(noStore).Then(mux)
}

func (d *daemon) writeJSON(w http.ResponseWriter, value any) {
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
