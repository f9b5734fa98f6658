package ushermeasure

import (
	"context"
	"encoding/json"
	"errors"
	"os"
	"sync"
	"time"

	"github.com/samphireusher/samphireusher/pkg/ushermember"
	"github.com/samphireusher/samphireusher/service/usherclient"
	"github.com/samphireusher/samphireusher/standin/usherengine"
	"github.com/samphireusher/samphireusher/standin/usherfleet"
)

const (
	fleetSettle  = 90 * time.Second
	fleetLook    = 20 * time.Millisecond
	fleetPlaces  = 3
	fleetEngines = 6
	fleetCallers = 8
	outWindow    = 8 * time.Second
	callPause    = 5 * time.Millisecond
)

type (
	// held is what the benchmark reads of a scheduler's dump.
	held struct {
		Targets []struct {
			Name  string `json:"name"`
			Votes int    `json:"votes"`
			Total int    `json:"total"`
		} `json:"targets"`
	}

	// callers send short requests until they are told to stop.
	callers struct {
		fleet   *usherfleet.Fleet
		cancel  context.CancelFunc
		running sync.WaitGroup
		mu      sync.Mutex
		answers int
	}
)

var errUnsettled = errors.New("the fleet does not hold its targets")

// runFleet measures, in a fleet in one process with the product's own times, how long it takes until a data centre that was
// taken out gets nothing, and until the targets of a scheduler that died are held by others.
func runFleet(plan Plan, write Writer) error {
	for repeat := range plan.Repeats {
		if err := measureFleet(recorder{plan: plan, repeat: repeat, write: write}); err != nil {
			return err
		}
	}
	return nil
}

func measureFleet(r recorder) error {
	directory, err := os.MkdirTemp("", "usher-bench-")
	if err != nil {
		return err
	}
	defer os.RemoveAll(directory)
	ctx := context.Background()
	f, err := usherfleet.Start(ctx, usherfleet.Config{
		DataCentres: fleetPlaces, Gateways: fleetPlaces, Schedulers: fleetPlaces, Engines: fleetEngines, ColdCapacity: fleetCallers,
		Member: ushermember.Options{Interval: time.Second}, Engine: usherengine.Config{}, Directory: directory,
	})
	if err != nil {
		return err
	}
	defer f.Close()
	if _, err := awaitHeld(ctx, f, f.Schedulers); err != nil {
		return err
	}
	if err := measureOut(r, f); err != nil {
		return err
	}
	if err := f.Schedulers[0].Kill(); err != nil {
		return err
	}
	took, err := awaitHeld(ctx, f, f.Schedulers[1:])
	if err != nil {
		return err
	}
	return r.figure("takeover", "s", took.Seconds())
}

// measureOut takes a data centre out under load and looks when its last generation began.
func measureOut(r recorder, f *usherfleet.Fleet) error {
	c := call(f)
	time.Sleep(2 * time.Second)
	out := f.Snapshot().DataCentres[0]
	began := time.Now()
	if err := f.Publish(f.Snapshot().WithDataCentre(out.WithInService(false))); err != nil {
		return err
	}
	time.Sleep(outWindow)
	answers := c.stop()
	last := began
	for i, target := range f.Snapshot().TargetsOf("appraiser") {
		if target.DataCentre != out.Name {
			continue
		}
		for _, g := range f.Engines[i].Record().Generations {
			if at := time.UnixMilli(g.StartedAtMS); at.After(last) {
				last = at
			}
		}
	}
	return r.figures(figure{"out_until_nothing", "s", last.Sub(began).Seconds()}, figure{"answers", "", float64(answers)})
}

// awaitHeld waits until each target is held with a majority of the votes by one of the schedulers.
func awaitHeld(ctx context.Context, f *usherfleet.Fleet, schedulers []*usherfleet.Daemon) (time.Duration, error) {
	began := time.Now()
	for time.Since(began) < fleetSettle {
		found := map[string]bool{}
		for _, s := range schedulers {
			data, err := json.Marshal(s.Dump(ctx))
			if err != nil {
				return 0, err
			}
			var h held
			if err := json.Unmarshal(data, &h); err != nil {
				return 0, err
			}
			for _, t := range h.Targets {
				if 2*t.Votes > t.Total {
					found[t.Name] = true
				}
			}
		}
		if len(found) == len(f.Snapshot().Targets) {
			return time.Since(began), nil
		}
		time.Sleep(fleetLook)
	}
	return 0, errUnsettled
}

// call starts callers.
func call(f *usherfleet.Fleet) *callers {
	ctx, cancel := context.WithCancel(context.Background())
	c := &callers{fleet: f, cancel: cancel}
	for i := range fleetCallers {
		c.running.Go(func() { c.run(ctx, f.Gateways[i%len(f.Gateways)].Address()) })
	}
	return c
}

func (c *callers) run(ctx context.Context, gateway string) {
	client := c.fleet.NewClient()
	for ctx.Err() == nil {
		request := usherclient.Request{Template: "appraisal", Parameters: map[string]string{"entry": "a shawl, tokens=5"}}
		if _, err := client.Send(ctx, gateway, request, nil); err == nil {
			c.mu.Lock()
			c.answers++
			c.mu.Unlock()
		}
		time.Sleep(callPause)
	}
}

func (c *callers) stop() int {
	c.cancel()
	c.running.Wait()
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.answers
}
