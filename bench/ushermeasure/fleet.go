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
	fleetTimeout       = 90 * time.Second
	fleetPollInterval  = 20 * time.Millisecond
	fleetDataCentres   = 3
	fleetEngines       = 6
	fleetCallers       = 8
	outOfServiceWindow = 8 * time.Second
	callInterval       = 5 * time.Millisecond
)

type (
	// schedulerDump is the part of a scheduler's dump that the benchmark needs.
	schedulerDump struct {
		Targets []struct {
			Name  string `json:"name"`
			Votes int    `json:"votes"`
			Total int    `json:"total"`
		} `json:"targets"`
	}

	// callers send short requests until stop is called.
	callers struct {
		fleet     *usherfleet.Fleet
		cancel    context.CancelFunc
		running   sync.WaitGroup
		mu        sync.Mutex
		completed int
	}
)

var errNoMajorities = errors.New("timed out waiting until every target is held by a majority of votes")

// runFleet measures a fleet in one process with the production timeouts: the time until a data centre that was taken
// out of service gets no more generations, and the time until other schedulers hold the targets of a killed scheduler.
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
		DataCentres: fleetDataCentres, Gateways: fleetDataCentres, Schedulers: fleetDataCentres, Engines: fleetEngines, MaxColdConcurrency: fleetCallers,
		Member: ushermember.Options{Interval: time.Second}, Engine: usherengine.Config{}, Directory: directory,
	})
	if err != nil {
		return err
	}
	defer f.Close()
	if _, err := awaitMajorities(ctx, f, f.Schedulers); err != nil {
		return err
	}
	if err := measureDataCentreOut(r, f); err != nil {
		return err
	}
	if err := f.Schedulers[0].Kill(); err != nil {
		return err
	}
	took, err := awaitMajorities(ctx, f, f.Schedulers[1:])
	if err != nil {
		return err
	}
	return r.record("takeover", "s", took.Seconds())
}

// measureDataCentreOut takes a data centre out of service under load and measures the time until its last generation
// started.
func measureDataCentreOut(r recorder, f *usherfleet.Fleet) error {
	c := startCallers(f)
	time.Sleep(2 * time.Second)
	out := f.Snapshot().DataCentres[0]
	began := time.Now()
	if err := f.Publish(f.Snapshot().WithDataCentre(out.WithInService(false))); err != nil {
		return err
	}
	time.Sleep(outOfServiceWindow)
	completed := c.stop()
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
	return r.recordAll(measurement{"out_until_nothing", "s", last.Sub(began).Seconds()}, measurement{"answers", "", float64(completed)})
}

// awaitMajorities waits until each target is held by one of the schedulers with a majority of the votes, and returns
// the time that took.
func awaitMajorities(ctx context.Context, f *usherfleet.Fleet, schedulers []*usherfleet.Daemon) (time.Duration, error) {
	began := time.Now()
	for time.Since(began) < fleetTimeout {
		found := map[string]bool{}
		for _, s := range schedulers {
			data, err := json.Marshal(s.Dump(ctx))
			if err != nil {
				return 0, err
			}
			var h schedulerDump
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
		time.Sleep(fleetPollInterval)
	}
	return 0, errNoMajorities
}

func startCallers(f *usherfleet.Fleet) *callers {
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
			c.completed++
			c.mu.Unlock()
		}
		time.Sleep(callInterval)
	}
}

func (c *callers) stop() int {
	c.cancel()
	c.running.Wait()
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.completed
}
