// Package usherring provides bounded queues between goroutines.
//
// Each task of a process runs in its own goroutine and passes messages to the next one through a Ring. A full ring
// rejects a message instead of blocking its sender, so that a slow task never stops another one; the sender decides how
// to handle the rejection (for example by dropping a report or refusing a request).
//
// # Usage
//
//	ring := usherring.New[report](64)
//	if !ring.Offer(r) {
//		dropped.Inc(1)
//	}
//	for r := range ring.Items() {
//		handle(r)
//	}
package usherring

// Ring is a bounded first-in first-out queue between goroutines.
type Ring[T any] struct {
	items chan T
}

// New returns a ring that holds at most capacity items. A capacity below one counts as one.
func New[T any](capacity int) *Ring[T] {
	return &Ring[T]{items: make(chan T, max(capacity, 1))}
}

// Offer appends item and reports whether there was room for it.
func (r *Ring[T]) Offer(item T) bool {
	select {
	case r.items <- item:
		return true
	default:
		return false
	}
}

// Items returns the receiving end. It is closed once Close was called and the ring is drained.
func (r *Ring[T]) Items() <-chan T {
	return r.items
}

// Len returns the number of queued items.
func (r *Ring[T]) Len() int {
	return len(r.items)
}

// Close closes the ring. Only the goroutine that calls Offer may call it.
func (r *Ring[T]) Close() {
	close(r.items)
}
