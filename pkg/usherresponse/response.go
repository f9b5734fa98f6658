// Package usherresponse refuses HTTP responses with malformed headers that net/http accepts.
//
// The name of a field is a token (RFC 9110, 5.1) without blanks before the colon (RFC 9112, 5.1). net/http refuses other bytes in
// names, but keeps names with blanks as they are. A "Content-Length " then does not count as a Content-Length, and the body that is read
// may not be the one that was sent. So nothing in such a response counts. Folded values, which net/http joins, are allowed. Trailers are
// not checked, as the last chunk has shown the end of the body before them.
//
// # Usage
//
//	client := &http.Client{Transport: usherresponse.Transport{Base: &http.Transport{}}}
//
//	response, err := http.ReadResponse(reader, request)
//	if err == nil {
//		err = usherresponse.Check(response)
//	}
package usherresponse

import (
	"net/http"
	"strings"

	"github.com/joomcode/errorx"
)

// tokenSymbols are the characters of a token besides letters and digits.
const tokenSymbols = "!#$%&'*+-.^_`|~"

var (
	// Errors is the namespace of this package's errors.
	Errors = errorx.NewNamespace("usher_response").ApplyModifiers(errorx.TypeModifierOmitStackTrace)
	// ErrMalformed is the type of errors for responses with a malformed header.
	ErrMalformed = Errors.NewType("malformed")
)

// Transport is an http.RoundTripper that returns an error for responses that Check refuses, and does not use their connection again. The
// zero value uses http.DefaultTransport.
type Transport struct {
	Base http.RoundTripper
}

// Check returns an error if the name of a field in the response's header is no token.
func Check(r *http.Response) error {
	for name := range r.Header {
		if !isToken(name) {
			return ErrMalformed.New("response with status %d has a field with the name %q", r.StatusCode, name)
		}
	}
	return nil
}

// RoundTrip implements http.RoundTripper.
func (t Transport) RoundTrip(request *http.Request) (*http.Response, error) {
	response, err := t.base().RoundTrip(request)
	if err != nil {
		return nil, err
	}
	if err := Check(response); err != nil {
		_ = response.Body.Close()
		if response.Body == http.NoBody {
			// Its connection is idle by now, and what follows there may be the rest of this response.
			t.CloseIdleConnections()
		}
		return nil, err
	}
	return response, nil
}

// CloseIdleConnections closes the idle connections of the base.
func (t Transport) CloseIdleConnections() {
	if base, ok := t.base().(interface{ CloseIdleConnections() }); ok {
		base.CloseIdleConnections()
	}
}

func (t Transport) base() http.RoundTripper {
	if t.Base == nil {
		return http.DefaultTransport
	}
	return t.Base
}

func isToken(name string) bool {
	return name != "" && !strings.ContainsFunc(name, func(c rune) bool {
		isAlphanumeric := 'a' <= c && c <= 'z' || 'A' <= c && c <= 'Z' || '0' <= c && c <= '9'
		return !isAlphanumeric && !strings.ContainsRune(tokenSymbols, c)
	})
}
