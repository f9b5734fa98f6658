package daemon_test

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"syscall"
	"time"

	"github.com/samphireusher/samphireusher/platform/usherstandin"
)

// writeSettings writes a host's settings file. Each call changes the retry allowance a little.
func (s *soak) writeSettings(h *soakHost) string {
	s.mu.Lock()
	defer s.mu.Unlock()
	h.allowance = 58 - (58-h.allowance+1)%3
	settings := filepath.Join(s.directory, h.ip+".ini")
	at := func(offset int) string { return fmt.Sprintf("%s:%d", h.ip, soakPort+offset) }
	text := fmt.Sprintf("[process]\nname = host-%s\ndata_centre = %s\n[listen]\ncallers = %s\nready = %s\nlocate = %s\nadmin = %s\npeers = %s\n"+
		"[cluster]\nseeds = %s1:1, %s2:1, %s3:1\n[store]\naddress = %s250:%d\n[retries]\nallowance = %d\n[stop]\ngrace = %s\n",
		h.ip, dataCentres[len(h.ip)%len(dataCentres)], at(0), at(1), at(2), at(3), at(4), s.subnet, s.subnet, s.subnet, s.subnet, soakPort, h.allowance, soakGrace)
	// A process that starts meanwhile must not read half a file.
	if err := os.WriteFile(settings+".new", []byte(text), 0o600); err != nil {
		s.t.Error(err)
	}
	if err := os.Rename(settings+".new", settings); err != nil {
		s.t.Error(err)
	}
	return settings
}

// start starts a host's process.
func (s *soak) start(h *soakHost) {
	process, err := startProcess(s.writeSettings(h), filepath.Join(s.directory, h.ip+".log"))
	if err != nil {
		s.t.Fatal(err)
	}
	h.hostProcess = process
}

// startProcess starts the program as a process of its own, which appends to a log file. The kernel kills it if the test process
// dies.
func startProcess(settings, logFile string, env ...string) (hostProcess, error) {
	log, err := os.OpenFile(logFile, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return hostProcess{}, err
	}
	command := exec.Command(os.Args[0])
	// The race detector would sleep one second before the process exits.
	command.Env = append(os.Environ(), soakSettings+"="+settings, "GORACE="+os.Getenv("GORACE")+" atexit_sleep_ms=0")
	command.Env = append(command.Env, env...)
	command.Stdout, command.Stderr = log, log
	command.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := command.Start(); err != nil {
		return hostProcess{}, errors.Join(err, log.Close())
	}
	p := hostProcess{command: command, exited: make(chan struct{})}
	go func() {
		_ = command.Wait()
		_ = log.Close()
		close(p.exited)
	}()
	return p, nil
}

func (p hostProcess) signal(signal syscall.Signal) { _ = p.command.Process.Signal(signal) }

// injectHostFault kills, pauses or stops a host, and then starts or resumes it.
func (s *soak) injectHostFault(ctx context.Context, random *rand.Rand) {
	h := s.hosts[random.IntN(len(s.hosts))]
	pause := time.Duration(200+random.IntN(800)) * time.Millisecond
	fault := random.IntN(3)
	s.disturb(h.ip, func() { s.disturbHost(ctx, h, fault, pause) })
	sleepFor(ctx, pause/2)
}

func (s *soak) disturbHost(ctx context.Context, h *soakHost, fault int, pause time.Duration) {
	switch fault {
	case 0:
		h.signal(syscall.SIGKILL)
		<-h.exited
		sleepFor(ctx, pause)
		s.start(h)
	case 1:
		h.signal(syscall.SIGSTOP)
		sleepFor(ctx, 2*pause)
		h.signal(syscall.SIGCONT)
	case 2:
		h.signal(syscall.SIGTERM)
		select {
		case <-h.exited:
		case <-time.After(soakGrace + time.Second):
			s.fail("host %s did not exit within its grace period", h.ip)
			h.signal(syscall.SIGKILL)
			<-h.exited
		}
		s.start(h)
	}
}

// clearFaults ends all faults, restarts the hosts that have exited and publishes new declarations.
func (s *soak) clearFaults() {
	for _, p := range s.proxies {
		p.setMode(proxyPasses)
	}
	s.store.SetMode("", usherstandin.Serving)
	for _, h := range s.hosts {
		h.signal(syscall.SIGCONT)
		select {
		case <-h.exited:
			s.start(h)
		default:
		}
	}
	s.publish(1, nil)
}

// awaitServing waits until every host serves the latest declarations and both kinds of targets. It records a failure if
// that takes longer than soakRecovery.
func (s *soak) awaitServing(when string) {
	s.t.Helper()
	deadline := time.Now().Add(soakRecovery)
	for _, h := range s.hosts {
		for _, path := range []string{fmt.Sprintf("/v%d/x", s.planned.version), "/status/x", "/appraisal/2"} {
			for {
				status, err := s.send(s.t.Context(), http.DefaultClient, h.ip, path)
				if status == http.StatusOK && err == nil {
					break
				}
				if time.Now().After(deadline) {
					s.fail("%s: host %s does not serve %s: status %d, error %v", when, h.ip, path, status, err)
					return
				}
				time.Sleep(100 * time.Millisecond)
			}
		}
	}
}
