package main

import (
	"bufio"
	"context"
	"fmt"
	"net/http"
	"strconv"
	"strings"
	"time"
)

// streamResult is what a consumer saw of a stream.
type streamResult struct {
	attempt  string
	host     string
	status   int
	events   int
	complete bool
	faults   []string
	err      error
	began    time.Time
}

// stream sends one request for a stream to a host and reads the response.
func stream(ctx context.Context, h *hostProcess, attempt, path string, tokens, events int, deadline time.Duration, body, prefix string) streamResult {
	result := streamResult{attempt: attempt, host: h.name, began: time.Now()}
	ctx, cancel := context.WithTimeout(ctx, deadline)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+h.front()+path, strings.NewReader(body))
	if err != nil {
		result.err = err
		return result
	}
	request.Host = "loans.example"
	request.Header.Set("Attempt-Id", attempt)
	request.Header.Set("Model", "m")
	request.Header.Set("Token-Counts", fmt.Sprintf("%d,%d", tokens, 4*events))
	request.Header.Set("Prompt-Prefix", prefix)
	request.Header.Set("Deadline-Ms", strconv.FormatInt(deadline.Milliseconds(), 10))
	request.Header.Set("Api-Key", apiKey)
	client := &http.Client{Transport: &http.Transport{DisableKeepAlives: true, DisableCompression: true}}
	response, err := client.Do(request)
	if err != nil {
		result.err = err
		return result
	}
	defer response.Body.Close()
	result.status = response.StatusCode
	if response.StatusCode != http.StatusOK {
		return result
	}
	scanner := bufio.NewScanner(response.Body)
	last := 0
	for scanner.Scan() {
		id, found := strings.CutPrefix(scanner.Text(), "id: ")
		if !found {
			continue
		}
		n, err := strconv.Atoi(id)
		if err != nil || n != last+1 {
			result.faults = append(result.faults, fmt.Sprintf("event %q after %d", id, last))
		}
		last = n
		result.events++
	}
	result.err = scanner.Err()
	result.complete = result.err == nil && last == events
	return result
}
