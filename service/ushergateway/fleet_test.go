package ushergateway_test

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"os"
	"testing"
	"testing/synctest"
	"time"

	"github.com/samphireusher/samphireusher/service/usherclient"
	"github.com/samphireusher/samphireusher/standin/usherfleet"
)

// inBubble runs test in parallel in a synctest bubble, that is, in virtual time.
func inBubble(t *testing.T, test func(t *testing.T)) {
	t.Helper()
	t.Parallel()
	synctest.Test(t, test)
}

// step runs a named part of a test, because t.Run is not allowed in a synctest bubble.
func step(t *testing.T, name string, part func(t *testing.T)) {
	t.Helper()
	t.Log(name)
	part(t)
	if t.Failed() {
		t.Fatalf("failed at %q", name)
	}
}

// startFleet starts a fleet and waits until its schedulers grant requests.
func startFleet(t *testing.T, config usherfleet.Config) *usherfleet.Fleet {
	t.Helper()
	config.Directory = t.TempDir()
	if os.Getenv("USHER_LOG") != "" {
		config.Log = slog.New(slog.NewTextHandler(os.Stderr, &slog.HandlerOptions{Level: slog.LevelDebug}))
	}
	fleet, err := usherfleet.Start(t.Context(), config)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = fleet.Close() })
	warmUp(t, fleet)
	return fleet
}

func appraisal(tokens int) usherclient.Request {
	return usherclient.Request{Template: "appraisal", Parameters: map[string]string{"entry": fmt.Sprintf("a kasavu sari, tokens=%d", tokens)}}
}

// warmUp sends short requests to each gateway until one completes.
func warmUp(t *testing.T, fleet *usherfleet.Fleet) {
	t.Helper()
	client := fleet.NewClient()
	ctx, cancel := context.WithTimeout(t.Context(), 60*time.Second)
	defer cancel()
	for _, gateway := range fleet.Gateways {
		for {
			_, err := client.Send(ctx, gateway.Address(), appraisal(1), nil)
			if err == nil {
				break
			}
			var refusal usherclient.Refusal
			if !errors.As(err, &refusal) || refusal.Outcome != "not_run" || ctx.Err() != nil {
				t.Fatalf("warming up %s: %v", gateway.Name(), err)
			}
			time.Sleep(50 * time.Millisecond)
		}
	}
}
