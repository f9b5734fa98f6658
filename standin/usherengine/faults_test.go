package usherengine_test

import (
	"encoding/json"
	"net/http"
	"slices"
	"testing"
	"time"

	"github.com/samphireusher/samphireusher/standin/usherengine"
)

const noLimit = 1 << 20

type cacheEvents struct {
	Events []struct {
		Seq      int    `json:"seq"`
		Kind     string `json:"kind"`
		CacheKey string `json:"cache_key"`
	} `json:"events"`
}

func (b fixture) switchFaults(body string) {
	b.Helper()
	if status, response := b.call("POST", "/faults", body); status != http.StatusOK {
		b.Fatalf("setting faults %s: status %d, body %s", body, status, response)
	}
}

func TestFaultsAreSetOneByOne(t *testing.T) {
	run(t, usherengine.Config{}, func(b fixture) {
		b.switchFaults(`{"duplicate":true}`)
		b.switchFaults(`{"delay_ms":20,"freeze_ms":1}`)
		var got usherengine.Faults
		if _, response := b.call("GET", "/faults", ""); json.Unmarshal([]byte(response), &got) != nil {
			b.Fatalf("faults: %s", response)
		}
		if want := (usherengine.Faults{Duplicate: true, DelayMS: 20}); got != want {
			b.Errorf("faults %+v, want %+v", got, want)
		}
		if status, _ := b.call("POST", "/faults", `{"unheard_of":true}`); status != http.StatusBadRequest {
			b.Errorf("unknown switch: status %d, want 400", status)
		}
	})
}

func TestCutStreamCanBeResumed(t *testing.T) {
	const prompt = "appraisal tokens=10"
	run(t, usherengine.Config{}, func(b fixture) {
		b.switchFaults(`{"cut_after_tokens":4}`)
		events, complete := b.read(b.send("POST", "/v1/generations", body("g1", prompt)), noLimit)
		if len(events) != 4 || complete {
			b.Fatalf("%d events, complete %v, want 4 and a broken stream", len(events), complete)
		}
		b.switchFaults(`{"cut_after_tokens":0}`)
		events, _ = b.read(b.send("GET", "/v1/generations/g1?from=4", ""), noLimit)
		b.checkStream(events, "g1", prompt, 4)
	})
}

func TestDuplicateAndForeignEvents(t *testing.T) {
	const prompt = "appraisal tokens=10"
	tests := []struct {
		name, faults, foreign string
		copies                int
	}{
		{"duplicate", `{"duplicate":true}`, "", 2},
		{"cross", `{"cross":true}`, "other", 1},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			run(t, usherengine.Config{}, func(b fixture) {
				b.startUnread("tokens=900", "other")
				b.switchFaults(test.faults)
				events := b.generate("g1", prompt)
				foreign := slices.DeleteFunc(slices.Clone(events), func(e event) bool { return e.GenerationID == "g1" })
				own := slices.DeleteFunc(events, func(e event) bool { return e.GenerationID != "g1" })
				if len(own) != 10*test.copies+1 {
					b.Errorf("%d own events, want %d", len(own), 10*test.copies+1)
				}
				if test.foreign != "" && (len(foreign) != 10 || foreign[0].GenerationID != test.foreign) {
					b.Errorf("foreign events: %+v", foreign)
				}
				b.checkStream(slices.Compact(own), "g1", prompt, 0)
			})
		})
	}
}

func TestSlowEngine(t *testing.T) {
	const prompt = "appraisal tokens=10"
	tests := []struct {
		name, faults string
		minimum      time.Duration
	}{
		{"none", `{}`, 100 * time.Millisecond},
		{"freeze", `{"freeze_ms":3000}`, 3 * time.Second},
		{"delay", `{"delay_ms":500}`, 6 * time.Second},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			run(t, usherengine.Config{}, func(b fixture) {
				b.switchFaults(test.faults)
				start := time.Now()
				b.checkStream(b.generate("g1", prompt), "g1", prompt, 0)
				if took := time.Since(start); took < test.minimum || took > test.minimum+time.Second {
					b.Errorf("took %v, want %v to one second more", took, test.minimum)
				}
			})
		})
	}
}

func TestFrozenEngineMakesNoTokens(t *testing.T) {
	run(t, usherengine.Config{}, func(b fixture) {
		b.startUnread("tokens=500", "g1")
		time.Sleep(time.Second)
		b.switchFaults(`{"freeze_ms":60000}`)
		time.Sleep(time.Second)
		before := b.engine.Record().Generations[0].Tokens
		time.Sleep(58 * time.Second)
		if after := b.engine.Record().Generations[0].Tokens; before == 0 || after != before {
			b.Errorf("%d tokens before, %d after, want the same", before, after)
		}
	})
}

func TestCrashLosesAllState(t *testing.T) {
	tests := []struct {
		name, before, prompt, after, reason string
	}{
		{"switched", `{}`, "tokens=500", `{"die":true}`, "switched"},
		{"poison", `{"poison":true}`, "poison tokens=500", `{}`, "poison"},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			run(t, usherengine.Config{}, func(b fixture) {
				b.switchFaults(`{"restart_after_ms":700}`)
				b.switchFaults(test.before)
				otherStream := b.send("POST", "/v1/generations", body("g1", "tokens=500"))
				b.startUnread(test.prompt, "g2")
				time.Sleep(time.Second / 2)
				b.switchFaults(test.after)
				if events, complete := b.read(otherStream, noLimit); complete {
					b.Errorf("other stream with %d events was not broken", len(events))
				}
				time.Sleep(700 * time.Millisecond)
				if got := b.report(); got.Incarnation != 2 || got.Warm || got.Running+got.Completed != 0 {
					b.Errorf("report after restart: %+v", got)
				}
				crashes := b.engine.Record().Crashes
				if len(crashes) != 1 || crashes[0].Reason != test.reason || crashes[0].Incarnation != 1 {
					b.Errorf("crashes: %+v, want one with reason %s", crashes, test.reason)
				}
			})
		})
	}
}

func TestPoisonIsHarmlessUnlessEnabled(t *testing.T) {
	run(t, usherengine.Config{}, func(b fixture) {
		b.checkStream(b.generate("g1", "poison tokens=5"), "g1", "poison tokens=5", 0)
	})
}

func TestColdFaultShowsInTheDelayedReport(t *testing.T) {
	run(t, usherengine.Config{}, func(b fixture) {
		time.Sleep(time.Second)
		b.switchFaults(`{"cold":true}`)
		if got := b.report(); !got.Warm || got.Incarnation != 1 {
			b.Errorf("report before the lag: %+v", got)
		}
		time.Sleep(200 * time.Millisecond)
		if got := b.report(); got.Warm || got.Incarnation != 1 {
			b.Errorf("report after the lag: %+v", got)
		}
	})
}

func TestReportFaults(t *testing.T) {
	run(t, usherengine.Config{}, func(b fixture) {
		b.switchFaults(`{"lose_reports":true}`)
		if status, _ := b.call("GET", "/v1/report", ""); status != 0 {
			b.Errorf("status %d, want a dropped connection", status)
		}
		b.switchFaults(`{"lose_reports":false,"report_lag_ms":5000}`)
		time.Sleep(10 * time.Second)
		if age := time.Now().UnixMilli() - b.report().TakenAtMS; age != 5000 {
			b.Errorf("report age %d ms, want 5000", age)
		}
	})
}

func TestOrders(t *testing.T) {
	const (
		newOrder = `{"fence":5,"action":"load_model","name":"weaver-2"}`
		oldOrder = `{"fence":4,"action":"load_model","name":"weaver-1"}`
	)
	for _, enforced := range []bool{true, false} {
		run(t, usherengine.Config{EnforceFencing: enforced}, func(b fixture) {
			b.call("POST", "/v1/orders", newOrder)
			if status, response := b.call("POST", "/v1/generations", body("g1", "tokens=1")); status != http.StatusServiceUnavailable {
				b.Errorf("while loading: status %d, body %s, want 503", status, response)
			}
			time.Sleep(time.Second)
			if got := b.report(); got.Warm || got.Incarnation != 1 {
				b.Errorf("report after loading: %+v", got)
			}
			b.checkStream(b.generate("g1", "tokens=1"), "g1", "tokens=1", 0)

			wantStatus, wantModel := http.StatusOK, "weaver-1"
			if enforced {
				wantStatus, wantModel = http.StatusConflict, "weaver-2"
			}
			if status, _ := b.call("POST", "/v1/orders", oldOrder); status != wantStatus {
				b.Errorf("enforced %v: old order: status %d, want %d", enforced, status, wantStatus)
			}
			b.call("POST", "/v1/orders", `{"fence":6,"action":"load_adapter","name":"kasavu"}`)
			b.call("POST", "/v1/orders", `{"fence":6,"action":"set_role","name":"decode"}`)
			if status, _ := b.call("POST", "/v1/orders", `{"fence":7,"action":"explode","name":"x"}`); status != http.StatusBadRequest {
				b.Errorf("unknown action: status %d, want 400", status)
			}
			var got struct {
				Fence       int
				Model, Role string
				Adapters    []string
			}
			_, response := b.call("GET", "/v1/orders", "")
			if err := json.Unmarshal([]byte(response), &got); err != nil {
				b.Fatal(err)
			}
			if got.Fence != 6 || got.Model != wantModel || got.Role != "decode" || !slices.Equal(got.Adapters, []string{"kasavu"}) {
				b.Errorf("enforced %v: state %+v, want model %s", enforced, got, wantModel)
			}
		})
	}
}

func TestCacheEventsAreDelayedAndLost(t *testing.T) {
	run(t, usherengine.Config{CacheEventLossInterval: 3, CacheEventLag: time.Second}, func(b fixture) {
		for _, key := range []string{"a", "b", "a", "c", "d"} {
			b.call("POST", "/v1/generations", `{"generation_id":"`+key+`","prompt":"tokens=1","cache_key":"`+key+`"}`)
		}
		events := func(after string) (sequence []int) {
			var got cacheEvents
			_, response := b.call("GET", "/v1/cache_events?after="+after, "")
			if err := json.Unmarshal([]byte(response), &got); err != nil {
				b.Fatal(err)
			}
			for _, e := range got.Events {
				sequence = append(sequence, e.Seq)
			}
			return sequence
		}
		if got := events("0"); len(got) != 0 {
			b.Errorf("events %v before the lag, want none", got)
		}
		time.Sleep(time.Second)
		if got := events("0"); !slices.Equal(got, []int{1, 2, 4}) {
			b.Errorf("events %v, want 1, 2 and 4", got)
		}
		if got := events("2"); !slices.Equal(got, []int{4}) {
			b.Errorf("events %v after 2, want 4", got)
		}
	})
}
