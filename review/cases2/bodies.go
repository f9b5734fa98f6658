package main

import (
	"bufio"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"os"
	"strconv"
	"strings"
	"sync"
	"time"
)

const (
	// bodyMemoryMB is the memory of a machine of kcjc-jury, bodyConsumers the number of its consumers.
	bodyMemoryMB  = 134
	bodyConsumers = 38
	// bodyBytes is below maxBodyBytes, 4,194,304.
	bodyBytes   = 4000000
	bodyEvents  = 235
	bodyRounds  = 2
	memoryPause = 10 * time.Millisecond
	// settleTime is contactMs and the time for which consumers keep an answer of the directory.
	settleTime = 5 * time.Second
	// lostAllowed is the number of lost requests that the rule allows.
	lostAllowed = 3
)

// largeBodies checks that the hosts that are left bear the requests of all consumers, with bodies within the configured limit. The platform kills a
// process that exceeds its memory, and starts it again.
func largeBodies(record string, trouble bool) (bool, error) {
	l, err := newLab(record, bodyMemoryMB)
	if err != nil {
		return false, err
	}
	defer l.close()
	l.publish("op/config", configuration(7))
	fleet, err := l.startEngines(12)
	if err != nil {
		return false, err
	}
	if err := l.startHosts(9); err != nil {
		return false, err
	}
	left := l.hosts[4]
	if trouble {
		for _, h := range l.hosts {
			if h != left {
				_ = h.command.Process.Kill()
				<-h.exited
			}
		}
		l.note("eight of the nine machines are lost; %s is left", left.name)
	}
	time.Sleep(settleTime)
	ctx, cancel := context.WithCancel(context.Background())
	watch := &memoryWatch{lab: l}
	var watching sync.WaitGroup
	watching.Go(func() { watch.run(ctx, left, trouble) })
	defer watching.Wait()
	defer cancel()
	body := strings.Repeat("x", bodyBytes)
	lost, complete := 0, 0
	for round := range bodyRounds {
		addresses, err := l.resolve(left)
		if err != nil {
			return false, err
		}
		l.note("round %d: the directory names %v; each of %d consumers sends one request with %d bytes", round+1, addresses, bodyConsumers, bodyBytes)
		results := make([]streamResult, bodyConsumers)
		var sending sync.WaitGroup
		for i := range bodyConsumers {
			sending.Go(func() {
				results[i] = keptStream(addresses[rand.IntN(len(addresses))], fmt.Sprintf("%016x", 0x6600000000+round*256+2*i), body, i)
			})
		}
		sending.Wait()
		ran := fleet.attempts()
		for _, r := range results {
			l.note("consumer: %s at %s: status %d, %d events, complete %v, error %v, passed on %v", r.attempt, r.host, r.status, r.events, r.complete, r.err, ran[r.attempt])
			switch {
			case r.complete:
				complete++
			case ran[r.attempt] && r.err != nil:
				lost++
			}
		}
		if err := l.awaitReady(left); err != nil {
			return false, err
		}
		time.Sleep(time.Second)
	}
	l.say("%d requests of %d bytes: %d complete, %d passed on to a replica and then cut off by the end of their host's process; %d times a process exceeded %d MB (most: %d MB)",
		bodyRounds*bodyConsumers, bodyBytes, complete, lost, watch.kills, bodyMemoryMB, watch.peak)
	if !trouble && complete < bodyRounds*bodyConsumers {
		return false, fmt.Errorf("only %d requests were complete without the loss of machines", complete)
	}
	return watch.kills > 0 && lost > lostAllowed, nil
}

// memoryWatch is the part of the platform that kills processes over their memory.
type memoryWatch struct {
	lab   *lab
	kills int
	peak  int
}

// run watches all hosts, or only the one that is left.
func (w *memoryWatch) run(ctx context.Context, left *hostProcess, lost bool) {
	for ctx.Err() == nil {
		for _, h := range w.lab.hosts {
			if lost && h != left {
				continue
			}
			used := residentMB(h.command.Process.Pid)
			w.peak = max(w.peak, used)
			if used <= bodyMemoryMB {
				continue
			}
			w.kills++
			w.lab.note("the process of %s uses %d MB of %d: the platform kills it and starts it again", h.name, used, bodyMemoryMB)
			_ = h.command.Process.Kill()
			<-h.exited
			time.Sleep(500 * time.Millisecond)
			if err := w.lab.startHost(h, false); err != nil {
				w.lab.note("%s could not start again: %v", h.name, err)
			}
		}
		time.Sleep(memoryPause)
	}
}

// residentMB returns the resident memory of a process.
func residentMB(pid int) int {
	data, err := os.ReadFile(fmt.Sprintf("/proc/%d/statm", pid))
	if err != nil {
		return 0
	}
	fields := strings.Fields(string(data))
	if len(fields) < 2 {
		return 0
	}
	pages, err := strconv.Atoi(fields[1])
	if err != nil {
		return 0
	}
	return pages * os.Getpagesize() >> 20
}

// resolve asks the directory of a host.
func (l *lab) resolve(h *hostProcess) ([]string, error) {
	response, err := (&http.Client{Timeout: time.Second}).Get(fmt.Sprintf("http://%s:%d/resolve?name=loans.example&region=luzon&zone=%s", h.ip, findPort, h.zone))
	if err != nil {
		return nil, err
	}
	defer response.Body.Close()
	var answer struct {
		Addresses []string `json:"addresses"`
	}
	if err := json.NewDecoder(response.Body).Decode(&answer); err != nil {
		return nil, err
	}
	if len(answer.Addresses) == 0 {
		return nil, errors.New("the directory names no host")
	}
	return answer.Addresses, nil
}

// attempts returns which attempts ran at a replica.
func (f *engines) attempts() map[string]bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	ran := map[string]bool{}
	for _, r := range f.runs {
		ran[r.attempt] = true
	}
	return ran
}

// keptStream sends a small request and then, on the same connection, one with the given body.
func keptStream(address, attempt, body string, i int) streamResult {
	client := &http.Client{Transport: &http.Transport{DisableCompression: true, MaxConnsPerHost: 1}}
	first := fmt.Sprintf("%015xf", i)
	if r := sendStream(client, address, first+attempt[12:], "a lesson plan", 1, i); r.err != nil {
		return r
	}
	return sendStream(client, address, attempt, body, bodyEvents, i)
}

func sendStream(client *http.Client, address, attempt, body string, events, i int) streamResult {
	result := streamResult{attempt: attempt, host: address}
	request, err := http.NewRequest(http.MethodPost, fmt.Sprintf("http://%s/draft/%d", address, events), strings.NewReader(body))
	if err != nil {
		result.err = err
		return result
	}
	request.Host = "loans.example"
	for name, value := range map[string]string{
		"Attempt-Id": attempt, "Model": "m", "Token-Counts": fmt.Sprintf("3000,%d", 4*events), "Prompt-Prefix": fmt.Sprintf("%08x:48,%08x:32", i%20, i+1000),
		"Deadline-Ms": "39000", "Api-Key": apiKey,
	} {
		request.Header.Set(name, value)
	}
	response, err := client.Do(request)
	if err != nil {
		result.err = err
		return result
	}
	defer response.Body.Close()
	result.status = response.StatusCode
	scanner := bufio.NewScanner(response.Body)
	for scanner.Scan() {
		if strings.HasPrefix(scanner.Text(), "id: ") {
			result.events++
		}
	}
	if result.err = scanner.Err(); result.err == nil {
		_, result.err = io.Copy(io.Discard, response.Body)
	}
	result.complete = result.err == nil && result.events == events
	return result
}
