// Package usherring joins goroutines by bounded queues.
//
// Each duty of a process runs in a goroutine of its own and hands its messages to the next duty through a Ring.
// A full ring refuses a message instead of blocking its sender, so that one slow duty never stops another;
// the sender decides what a refused message means (a dropped report, a refused request).
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

// New returns a ring that holds at most capacity items; a capacity below one counts as one.
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

// Items returns the receiving end. It is closed after Close once the ring is drained.
func (r *Ring[T]) Items() <-chan T {
	return r.items
}

// Len returns how many items wait.
func (r *Ring[T]) Len() int {
	return len(r.items)
}

// Close ends the ring. Only the one goroutine that offers may call it.
func (r *Ring[T]) Close() {
	close(r.items)
}
