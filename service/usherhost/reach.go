package usherhost

import (
	"context"
	"errors"
	"net"
	"syscall"
	"time"

	"github.com/samphireusher/samphireusher/pkg/ushercatalog"
)

const (
	// unreachableTime is how long a target must accept no connection to count as unreachable, with a new one tried each
	// reachInterval: on a link that loses three packets in ten, one try in two fails.
	unreachableTime = 2500 * time.Millisecond
	reachInterval   = 250 * time.Millisecond
	// lateTolerance is how much later than planned a wait may end. A process that did not run meanwhile has seen nothing of what came in.
	lateTolerance = 250 * time.Millisecond
)

// reach returns what shows that a target runs nothing that this host can reach: a refused connection, or none accepted for
// unreachableTime, in which nothing comes on older ones either. It returns endNone if the target accepts a connection, and an error if nothing is shown either way.
func (h *Host) reach(ctx context.Context, target ushercatalog.Target) (runEnd, error) {
	ctx, cancel := context.WithTimeout(ctx, unreachableTime)
	defer cancel()
	const tries = int(unreachableTime / reachInterval)
	results := make(chan error, tries)
	next := time.NewTicker(reachInterval)
	defer next.Stop()
	start, started, failed := time.Now(), 0, 0
	try := func() {
		started++
		go func() {
			if err := h.containment.run("connection to a target", func() { results <- h.openOnce(ctx, target) }); err != nil {
				results <- err
			}
		}()
	}
	try()
	for {
		select {
		case err := <-results:
			switch {
			case err == nil:
				return endNone, nil
			case isRefused(err):
				return endRefused, nil
			case !isPathError(err):
				return endNone, errStillRunning.Wrap(err, "no connection to %s tried", target.Address)
			}
			failed++
		case <-next.C:
			if started < tries {
				try()
			}
		}
		if failed < tries {
			continue
		}
		if took := time.Since(start); took > unreachableTime+lateTolerance || took < unreachableTime-reachInterval {
			return endNone, errStillRunning.New("%d tries to reach %s in %s show nothing", tries, target.Address, took)
		}
		if h.contacts.heardSince(target.Address, start) {
			return endNone, errStillRunning.New("%s accepts no connection, and sends on others", target.Address)
		}
		return endUnreachable, nil
	}
}

// openOnce opens a connection and closes it.
func (h *Host) openOnce(ctx context.Context, target ushercatalog.Target) error {
	conn, err := h.platform.Network.Dial(ctx, "tcp", target.Address.String())
	if err == nil {
		_ = conn.Close()
	}
	return err
}

// isRefused reports whether no process listens at the other end.
func isRefused(err error) bool { return errors.Is(err, syscall.ECONNREFUSED) }

// isPathError reports whether a connection could not be opened because nothing came back from the other end. Other errors, as of a
// process without free descriptors, say nothing about it.
func isPathError(err error) bool {
	var timeout net.Error
	return errors.As(err, &timeout) && timeout.Timeout() || errors.Is(err, syscall.EHOSTUNREACH) || errors.Is(err, syscall.ENETUNREACH)
}
