package usherhost

import (
	"context"
	"fmt"
	"log/slog"
	"runtime/debug"
	"time"

	"github.com/rcrowley/go-metrics"
)

const (
	// restartDelay is the pause before a duty is resumed that has panicked, so that one that panics at once does not use up
	// the processor.
	restartDelay = 20 * time.Millisecond
	// maxStackBytes bounds the stack in a log line.
	maxStackBytes = 2 << 10
)

// errPanic is the type of errors for work that ended with a panic.
var errPanic = errNamespace.NewType("panic")

// containment keeps a panic in a goroutine outside the HTTP servers' from ending the process: a fault in one belief, message
// or timer of a host would otherwise end all hosts that share it. Every lock is released by a deferred call, so the state
// stays usable.
type containment struct {
	log    *slog.Logger
	panics metrics.Counter
}

func newContainment(log *slog.Logger, registry metrics.Registry) *containment {
	return &containment{log: log, panics: metrics.NewRegisteredCounter("process.panics", registry)}
}

// run runs f and returns an error if it panicked.
func (c *containment) run(task string, f func()) (err error) {
	defer func() {
		if cause := recover(); cause != nil {
			err = errPanic.New("%s: %v", task, cause)
			c.panics.Inc(1)
			stack := debug.Stack()
			c.log.Error("panic contained", "task", task, "error", errorText(errPanic.New("%s", fmt.Sprint(cause))), "stack", string(stack[:min(len(stack), maxStackBytes)]))
		}
	}()
	f()
	return nil
}

// keep runs f until it returns without a panic or ctx ends.
func (c *containment) keep(ctx context.Context, task string, f func()) {
	for c.run(task, f) != nil && ctx.Err() == nil {
		sleep(ctx, restartDelay)
	}
}
