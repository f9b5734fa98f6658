package usherring_test

import (
	"testing"

	"github.com/samphireusher/samphireusher/pkg/usherring"
)

func TestOfferRejectsWhenFull(t *testing.T) {
	ring := usherring.New[int](2)
	for i := range 3 {
		if got, want := ring.Offer(i), i < 2; got != want {
			t.Fatalf("Offer(%d) = %v, want %v", i, got, want)
		}
	}
	ring.Close()
	next := 0
	for item := range ring.Items() {
		if item != next {
			t.Fatalf("received item %d, want %d", next, item)
		}
		next++
	}
	if next != 2 {
		t.Fatalf("received %d items, want 2", next)
	}
}
