package ushernet

import (
	"sync"
	"syscall"
)

// socketError is the error of one end of a connection that the other end has reset. As that of a kernel's socket, it is returned
// once: by the write that was blocked at the reset, if there was one, else by the next read or write.
type socketError struct {
	mu       sync.Mutex
	err      error
	forWrite bool
	// writes counts the writes in progress.
	writes int
}

// set records a reset by the other end.
func (e *socketError) set() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.err, e.forWrite = syscall.ECONNRESET, e.writes > 0
}

// take returns the error, if it is for a write or a read.
func (e *socketError) take(forWrite bool) error {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.forWrite && !forWrite {
		return nil
	}
	err := e.err
	e.err = nil
	return err
}

// addWrites changes the number of writes in progress.
func (e *socketError) addWrites(n int) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.writes += n
}

// SetLinger makes Close reset the connection if the time is 0, as net.TCPConn does. Other times have no effect.
func (c *conn) SetLinger(seconds int) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.resets = seconds == 0
	return nil
}
