// Package usherhttp decodes requests to the stand-ins and writes their JSON responses.
//
// # Usage
//
//	var body callRequest
//	if err := usherhttp.Decode(w, r, &body); err != nil {
//		usherhttp.Refuse(w, http.StatusBadRequest, err.Error())
//		return
//	}
//	usherhttp.Reply(w, http.StatusOK, response)
package usherhttp

import (
	"encoding/json"
	"net/http"
	"strconv"

	"github.com/joomcode/errorx"
)

// MaxBodyBytes is the maximum size of a JSON request body.
const MaxBodyBytes = 256 << 20

type errorResponse struct {
	Error  string `json:"error"`
	NotRun bool   `json:"not_run,omitempty"`
}

// Decode decodes the JSON body of r into value. Unknown fields are an error.
func Decode(w http.ResponseWriter, r *http.Request, value any) error {
	decoder := json.NewDecoder(http.MaxBytesReader(w, r.Body, MaxBodyBytes))
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(value); err != nil {
		return errorx.IllegalFormat.Wrap(err, "malformed JSON body")
	}
	return nil
}

// QueryInt returns a query parameter as a non-negative integer, or zero if the parameter is absent.
func QueryInt(r *http.Request, name string) (int64, error) {
	text := r.URL.Query().Get(name)
	if text == "" {
		return 0, nil
	}
	number, err := strconv.ParseInt(text, 10, 64)
	if err != nil || number < 0 {
		return 0, errorx.IllegalFormat.New("query parameter %s is not a non-negative integer: %q", name, text)
	}
	return number, nil
}

// Reply writes a response with value as its JSON body.
func Reply(w http.ResponseWriter, status int, value any) {
	body, err := json.Marshal(value)
	if err != nil {
		http.Error(w, err.Error(), http.StatusInternalServerError)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	w.Write(append(body, '\n'))
}

// Refuse writes an error response with the reason.
func Refuse(w http.ResponseWriter, status int, reason string) {
	Reply(w, status, errorResponse{Error: reason})
}

// RefuseNotRun writes an error response which states that the request was not run.
func RefuseNotRun(w http.ResponseWriter, status int, reason string) {
	Reply(w, status, errorResponse{Error: reason, NotRun: true})
}
