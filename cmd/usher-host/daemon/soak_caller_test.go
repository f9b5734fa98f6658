package daemon_test

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"strconv"
	"strings"
	"time"
)

// sendRequests sends requests to random hosts over keep-alive connections until ctx ends.
func (s *soak) sendRequests(ctx context.Context, random *rand.Rand) {
	client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 2}}
	defer client.CloseIdleConnections()
	paths := append([]string{"/allotment/x", "/status/x"}, soakStreams...)
	for ctx.Err() == nil {
		h := s.hosts[random.IntN(len(s.hosts))]
		if _, err := s.send(context.WithoutCancel(ctx), client, h.ip, paths[random.IntN(len(paths))]); err != nil {
			sleepFor(ctx, 20*time.Millisecond)
		}
	}
}

// send sends one request and checks the response.
func (s *soak) send(ctx context.Context, client *http.Client, ip, path string) (int, error) {
	ctx, cancel := context.WithTimeout(ctx, soakTimeout)
	defer cancel()
	method := http.MethodPost
	if strings.HasPrefix(path, "/status/") || strings.HasPrefix(path, "/v") {
		method = http.MethodGet
	}
	attempt, parts := s.nextAttempt(path)
	r, err := http.NewRequestWithContext(ctx, method, fmt.Sprintf("http://%s:%d%s", ip, soakPort, path), nil)
	if err != nil {
		return 0, err
	}
	r.Host = hostName
	for name, value := range map[string]string{
		"Attempt-Id": attempt, "Deadline-Ms": strconv.FormatInt(soakTimeout.Milliseconds(), 10), "Api-Key": apiKey, "Model": "m", "Token-Counts": "3000,900", "Prompt-Prefix": parts,
	} {
		r.Header.Set(name, value)
	}
	s.noteSent(attempt, ip)
	response, err := client.Do(r)
	if err != nil {
		return 0, err
	}
	defer response.Body.Close()
	s.notePassedOn(attempt, ip, response.Header)
	body, err := io.ReadAll(response.Body)
	s.noteResult(path, attempt, response.StatusCode, response.Header, string(body), err)
	return response.StatusCode, err
}

// nextAttempt returns the id of a new request and the parts of its prompt.
func (s *soak) nextAttempt(path string) (attempt, parts string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.attempts++
	parts = "a:50,b:50,own:900"
	if !s.plannedOnly && s.attempts%soakDeadlyShare == 0 && (path == soakStreams[0] || path == soakStreams[1]) {
		parts = "a:50," + soakDeadlyPart + ":50,own:900"
	}
	return fmt.Sprintf("%016x", s.attempts), parts
}

// noteResult checks a response and records what it promises. err is the error of reading its body.
func (s *soak) noteResult(path, attempt string, status int, header http.Header, body string, err error) {
	s.mu.Lock()
	s.statuses[status]++
	s.mu.Unlock()
	if answered := header.Get("Attempt-Id"); answered != "" && answered != attempt {
		s.fail("%s: %s: response to %s", attempt, path, answered)
	}
	if seal := header.Get("Server-Seal"); seal != "" && status != http.StatusOK && status != http.StatusInternalServerError {
		s.fail("%s: %s: status %d with the proof of origin of a target that does not send it", attempt, path, status)
	}
	if promisesNotRun(status) {
		s.mu.Lock()
		s.notRun = append(s.notRun, attempt)
		s.mu.Unlock()
	}
	switch {
	case status == http.StatusOK:
		s.checkResponse(path, attempt, header, body, err)
	case status < http.StatusInternalServerError && status != http.StatusTooManyRequests && !strings.HasPrefix(path, "/v"):
		s.fail("%s: unexpected status of %s: %d: %s", attempt, path, status, body)
	}
}

func promisesNotRun(status int) bool {
	switch status {
	case http.StatusRequestTimeout, http.StatusMisdirectedRequest, http.StatusTooManyRequests, http.StatusServiceUnavailable:
		return true
	}
	return false
}

// checkResponse checks that a response comes from the target and belongs to the attempt, and that it is complete unless
// reading it failed.
func (s *soak) checkResponse(path, attempt string, header http.Header, body string, err error) {
	if !strings.HasSuffix(header.Get("Server-Seal"), "."+attempt) {
		s.fail("%s: %s: success without the target's proof of origin: Server-Seal %q", attempt, path, header.Get("Server-Seal"))
	}
	path, _, _ = strings.Cut(path, "?")
	last := path[strings.LastIndexByte(path, '/')+1:]
	n, parseErr := strconv.Atoi(last)
	if parseErr != nil {
		if want := " by " + strings.TrimSuffix(header.Get("Server-Seal"), "."+attempt); err == nil && !strings.HasSuffix(body, want) {
			s.fail("%s: %s: incomplete body %q", attempt, path, body)
		}
		return
	}
	if err == nil && !isComplete(body, attempt, n) {
		s.fail("%s: %s: incomplete stream ended without an error: events %v", attempt, path, events(body))
	}
	for i, id := range events(body) {
		if id != strconv.Itoa(i+1) {
			s.fail("%s: %s: got event %s, want %d", attempt, path, id, i+1)
			break
		}
	}
}

// checkRuns compares the runs of the targets with the results that callers got.
func (s *soak) checkRuns() {
	runs := map[string]int{}
	unsafe := map[string]bool{}
	for _, target := range s.targets {
		for _, r := range target.Runs() {
			if r.KVFrom == "" {
				runs[r.Attempt]++
			}
			if strings.HasPrefix(r.URI, "/allotment/") || strings.HasPrefix(r.URI, "/appraisal/") {
				unsafe[r.Attempt] = true
			}
		}
	}
	for attempt, n := range runs {
		if unsafe[attempt] && n > 1 {
			s.fail("%s may run at most once, but ran %d times", attempt, n)
		}
	}
	for _, attempt := range s.notRun {
		if unsafe[attempt] && runs[attempt] > 0 {
			s.fail("%s was reported as not run, but ran", attempt)
		}
	}
	s.t.Logf("%d requests, responses by status %v, version %d, %d targets", s.attempts, s.statuses, s.planned.version, len(s.targets))
}
