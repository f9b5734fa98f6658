package usherhost

import (
	"bufio"
	"encoding/json"
	"io"
	"net/http"
	"strings"
	"time"

	"github.com/samphireusher/samphireusher/pkg/ushercall"
	"github.com/samphireusher/samphireusher/pkg/usherroute"
)

const (
	// maxQuestionBytes bounds a question, maxQuestionParts the parts of its prompt.
	maxQuestionBytes = 64 << 10
	maxQuestionParts = 16
)

// errQuestion is the type of errors for questions that cannot be understood.
var errQuestion = errNamespace.NewType("question")

type (
	// questionWire describes a request: by its head, or by its fields.
	questionWire struct {
		// Head is the request line and the headers as a caller would send them. With it no other field is read.
		Head         string             `json:"head,omitempty"`
		Method       string             `json:"method,omitempty"`
		Host         string             `json:"host,omitempty"`
		Path         string             `json:"path,omitempty"`
		Key          string             `json:"key,omitempty"`
		Model        string             `json:"model,omitempty"`
		PromptTokens int                `json:"prompt_tokens,omitempty"`
		OutputTokens int                `json:"output_tokens,omitempty"`
		Parts        []questionPartWire `json:"parts,omitempty"`
	}

	questionPartWire struct {
		ID     string `json:"id"`
		Tokens int    `json:"tokens"`
	}
)

// decodeQuestion returns the request in question, resolved as far as it is not refused.
func (h *Host) decodeQuestion(table *usherroute.Table, body io.Reader) (*requestState, *refusal, error) {
	var question questionWire
	decoder := json.NewDecoder(body)
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(&question); err != nil {
		return nil, nil, errQuestion.Wrap(err, "not a question about a request")
	}
	req := &requestState{received: time.Now()}
	if table == nil {
		return req, refuse(reasonNoConfiguration, retryAfterStarting, nil), nil
	}
	req.version = table.Version()
	var refusal *refusal
	var err error
	if question.Head == "" {
		req.Call, err = question.call()
	} else {
		req.Call, refusal, err = h.decodeHead(question.Head, table.Limits())
	}
	if err == nil && refusal == nil {
		refusal = req.resolve(table)
	}
	return req, refusal, err
}

func (h *Host) decodeHead(head string, limits usherroute.Limits) (ushercall.Call, *refusal, error) {
	r, err := http.ReadRequest(bufio.NewReader(strings.NewReader(strings.TrimRight(head, "\r\n") + "\r\n\r\n")))
	if err != nil {
		return ushercall.Call{}, nil, errQuestion.Wrap(err, "not the head of a request")
	}
	call, err := h.codec.DecodeCall(r)
	if err != nil {
		return call, refuse(reasonMalformed, noRetryAfter, err), nil
	}
	if limits.HeaderBytes > 0 && headerBytes(r) > limits.HeaderBytes {
		return call, refuse(reasonHeaderTooLarge, noRetryAfter, nil), nil
	}
	return call, nil, nil
}

// call returns the call that the fields describe.
func (q questionWire) call() (ushercall.Call, error) {
	path, _, _ := strings.Cut(q.Path, "?")
	call := ushercall.Call{Method: q.Method, Host: q.Host, URI: q.Path, Path: path, APIKey: q.Key, Model: q.Model, PromptTokens: q.PromptTokens, MaxOutputTokens: q.OutputTokens}
	if call.Method == "" {
		call.Method = http.MethodPost
	}
	switch {
	case q.Host == "" || !strings.HasPrefix(q.Path, "/"):
		return call, errQuestion.New("a host and a path that begins with a slash are needed")
	case q.PromptTokens < 0 || q.OutputTokens < 0:
		return call, errQuestion.New("numbers of tokens must not be negative")
	case len(q.Parts) > maxQuestionParts:
		return call, errQuestion.New("%d parts of a prompt, at most %d are allowed", len(q.Parts), maxQuestionParts)
	}
	for _, p := range q.Parts {
		if p.ID == "" || p.Tokens <= 0 {
			return call, errQuestion.New("part %q with %d tokens: an id and a number above zero are needed", p.ID, p.Tokens)
		}
		call.SharedParts, call.SharedTokens = append(call.SharedParts, p.ID), append(call.SharedTokens, p.Tokens)
	}
	return call, nil
}
