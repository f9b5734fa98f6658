package usherhost

import "time"

// bootClock is a steady clock that also counts the time in which the machine is suspended. What hosts know and tell of each other has its
// times, so that it is as old as it seems, also right after a suspension. The zero value is the steady clock of the process.
type bootClock struct {
	uptime func() time.Duration
	// startedAt is a time of the process's clock, startUptime that of uptime then.
	startedAt   time.Time
	startUptime time.Duration
}

// newBootClock returns the clock that uptime reads. Without it, or if it reads nothing, that of the process is used.
func newBootClock(uptime func() time.Duration) bootClock {
	if uptime == nil {
		return bootClock{}
	}
	c := bootClock{uptime: uptime, startedAt: time.Now(), startUptime: uptime()}
	if c.startUptime <= 0 {
		c.uptime = nil
	}
	return c
}

// now returns the time. It may be compared only with other times of this clock.
func (c bootClock) now() time.Time {
	if c.uptime == nil {
		return time.Now()
	}
	return c.startedAt.Add(c.uptime() - c.startUptime)
}
