package usherspeed_test

import (
	"testing"
	"time"

	"github.com/samphireusher/samphireusher/pkg/usherspeed"
)

// Calls that get slower: the tail follows them within as many calls as it remembers.
func TestTailFollowsCalls(t *testing.T) {
	var tail usherspeed.Tail
	if _, known := tail.Quantile(0.95); known {
		t.Error("the quantile of no calls is known")
	}
	for _, factor := range []time.Duration{1, 3} {
		for i := range 300 {
			tail.Add(factor * time.Duration(i%100) * time.Millisecond)
		}
		if d, known := tail.Quantile(0.95); !known || d < factor*90*time.Millisecond || d > factor*99*time.Millisecond {
			t.Errorf("quantile %s, want about %s", d, factor*95*time.Millisecond)
		}
	}
}
