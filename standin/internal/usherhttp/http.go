// Package usherhttp reads and writes the JSON bodies of the stand-ins.
//
// # Usage
//
//	var body callBody
//	if err := usherhttp.Decode(w, r, &body); err != nil {
//		usherhttp.Refuse(w, http.StatusBadRequest, err.Error())
//		return
//	}
//	usherhttp.Reply(w, http.StatusOK, answer)
package usherhttp

import (
	"encoding/json"
	"net/http"
	"strconv"

	"github.com/joomcode/errorx"
)

// MaxBodyBytes bounds the body of a JSON request.
const MaxBodyBytes = 256 << 20

type refusal struct {
	Error  string `json:"error"`
	NotRun bool   `json:"not_run,omitempty"`
}

// Decode reads the JSON body of r into value and refuses unknown fields.
func Decode(w http.ResponseWriter, r *http.Request, value any) error {
	decoder := json.NewDecoder(http.MaxBytesReader(w, r.Body, MaxBodyBytes))
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(value); err != nil {
		return errorx.IllegalFormat.Wrap(err, "malformed JSON body")
	}
	return nil
}

// QueryInt returns the query parameter name as a number that is zero or more; an absent one counts as zero.
func QueryInt(r *http.Request, name string) (int64, error) {
	text := r.URL.Query().Get(name)
	if text == "" {
		return 0, nil
	}
	number, err := strconv.ParseInt(text, 10, 64)
	if err != nil || number < 0 {
		return 0, errorx.IllegalFormat.New("query parameter %s is not a number of zero or more: %q", name, text)
	}
	return number, nil
}

// Reply writes value as the JSON body of an answer.
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

// Refuse answers with an error and nothing else.
func Refuse(w http.ResponseWriter, status int, reason string) {
	Reply(w, status, refusal{Error: reason})
}

// RefuseNotRun answers with an error and states that the request did not run.
func RefuseNotRun(w http.ResponseWriter, status int, reason string) {
	Reply(w, status, refusal{Error: reason, NotRun: true})
}
