package usherhttp

import "net/http"

// FaultSwitcher is a stand-in with fault switches.
type FaultSwitcher[F any] interface {
	Faults() F
	SetFaults(F)
}

// HandleControl serves the fault switches of a stand-in at /faults and its record at /record. A POST to /faults sets
// only the switches that are present in its body.
func HandleControl[F, R any](mux *http.ServeMux, standin FaultSwitcher[F], record func() R) {
	mux.HandleFunc("GET /record", func(w http.ResponseWriter, _ *http.Request) {
		Reply(w, http.StatusOK, record())
	})
	mux.HandleFunc("GET /faults", func(w http.ResponseWriter, _ *http.Request) {
		Reply(w, http.StatusOK, standin.Faults())
	})
	mux.HandleFunc("POST /faults", func(w http.ResponseWriter, r *http.Request) {
		faults := standin.Faults()
		if err := Decode(w, r, &faults); err != nil {
			Refuse(w, http.StatusBadRequest, err.Error())
			return
		}
		standin.SetFaults(faults)
		Reply(w, http.StatusOK, standin.Faults())
	})
}
