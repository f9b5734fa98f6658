package daemon_test

import (
	"os"
	"os/exec"
	"path/filepath"
	"syscall"
	"testing"
	"time"
)

// SIGHUP to a host that had just been started ended its process. Found by TestSoakPlannedWork, seed 12002.
func TestReloadDuringStartDoesNotEndTheHost(t *testing.T) {
	// The host waits for its settings until the other end of the FIFO is closed.
	settings := filepath.Join(t.TempDir(), "settings.ini")
	if err := syscall.Mkfifo(settings, 0o600); err != nil {
		t.Fatal(err)
	}
	command := exec.CommandContext(t.Context(), os.Args[0])
	command.Env = append(os.Environ(), soakSettings+"="+settings)
	if err := command.Start(); err != nil {
		t.Fatal(err)
	}
	pipe, err := os.OpenFile(settings, os.O_WRONLY, 0)
	if err != nil {
		t.Fatal(err)
	}
	if err := command.Process.Signal(syscall.SIGHUP); err != nil {
		t.Fatal(err)
	}
	time.Sleep(100 * time.Millisecond)
	if err := pipe.Close(); err != nil {
		t.Fatal(err)
	}
	_ = command.Wait()
	if state := command.ProcessState; !state.Exited() {
		t.Errorf("the process ended with %v, want an error about its empty settings", state)
	}
}
