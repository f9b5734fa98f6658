package usherengine_test

import (
	"encoding/json"
	"net/http"
	"slices"
	"testing"
	"time"

	"github.com/samphireusher/samphireusher/standin/usherengine"
)

const everything = 1 << 20

type cacheEvents struct {
	Events []struct {
		Seq      int    `json:"seq"`
		Kind     string `json:"kind"`
		CacheKey string `json:"cache_key"`
	} `json:"events"`
}

func (b bench) switchFaults(body string) {
	b.Helper()
	if status, answer := b.call("POST", "/faults", body); status != http.StatusOK {
		b.Fatalf("switching %s: status %d, body %s", body, status, answer)
	}
}

func TestFaultsAreSwitchedOneByOne(t *testing.T) {
	run(t, usherengine.Config{}, func(b bench) {
		b.switchFaults(`{"duplicate":true}`)
		b.switchFaults(`{"delay_ms":20,"freeze_ms":1}`)
		var got usherengine.Faults
		if _, answer := b.call("GET", "/faults", ""); json.Unmarshal([]byte(answer), &got) != nil {
			b.Fatalf("faults: %s", answer)
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
	run(t, usherengine.Config{}, func(b bench) {
		b.switchFaults(`{"cut_after_tokens":4}`)
		events, whole := b.read(b.send("POST", "/v1/generations", body("g1", prompt)), everything)
		if len(events) != 4 || whole {
			b.Fatalf("%d events, whole %v, want 4 and a broken stream", len(events), whole)
		}
		b.switchFaults(`{"cut_after_tokens":0}`)
		events, _ = b.read(b.send("GET", "/v1/generations/g1?from=4", ""), everything)
		b.wantWhole(events, "g1", prompt, 4)
	})
}

func TestDuplicateAndCrossedEvents(t *testing.T) {
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
			run(t, usherengine.Config{}, func(b bench) {
				b.open("tokens=900", "other")
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
				b.wantWhole(slices.Compact(own), "g1", prompt, 0)
			})
		})
	}
}

func TestSlowEngine(t *testing.T) {
	const prompt = "appraisal tokens=10"
	tests := []struct {
		name, faults string
		least        time.Duration
	}{
		{"none", `{}`, 100 * time.Millisecond},
		{"freeze", `{"freeze_ms":3000}`, 3 * time.Second},
		{"delay", `{"delay_ms":500}`, 6 * time.Second},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			run(t, usherengine.Config{}, func(b bench) {
				b.switchFaults(test.faults)
				start := time.Now()
				b.wantWhole(b.generate("g1", prompt), "g1", prompt, 0)
				if took := time.Since(start); took < test.least || took > test.least+time.Second {
					b.Errorf("took %v, want %v and less than a second more", took, test.least)
				}
			})
		})
	}
}

func TestFrozenEngineMakesNoTokens(t *testing.T) {
	run(t, usherengine.Config{}, func(b bench) {
		b.open("tokens=500", "g1")
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

func TestDeathLosesEverything(t *testing.T) {
	tests := []struct {
		name, before, prompt, after, reason string
	}{
		{"switched", `{}`, "tokens=500", `{"die":true}`, "switched"},
		{"poison", `{"poison":true}`, "poison tokens=500", `{}`, "poison"},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			run(t, usherengine.Config{}, func(b bench) {
				b.switchFaults(`{"restart_after_ms":700}`)
				b.switchFaults(test.before)
				neighbour := b.send("POST", "/v1/generations", body("g1", "tokens=500"))
				b.open(test.prompt, "g2")
				time.Sleep(time.Second / 2)
				b.switchFaults(test.after)
				if events, whole := b.read(neighbour, everything); whole {
					b.Errorf("neighbour's stream of %d events was not broken", len(events))
				}
				time.Sleep(700 * time.Millisecond)
				if got := b.report(); got.Incarnation != 2 || got.Warm || got.Running+got.Completed != 0 {
					b.Errorf("report after restart: %+v", got)
				}
				deaths := b.engine.Record().Deaths
				if len(deaths) != 1 || deaths[0].Reason != test.reason || deaths[0].Incarnation != 1 {
					b.Errorf("deaths: %+v, want one: %s", deaths, test.reason)
				}
			})
		})
	}
}

func TestPoisonIsHarmlessUnlessSwitchedOn(t *testing.T) {
	run(t, usherengine.Config{}, func(b bench) {
		b.wantWhole(b.generate("g1", "poison tokens=5"), "g1", "poison tokens=5", 0)
	})
}

func TestEngineTurnsColdWithoutWarning(t *testing.T) {
	run(t, usherengine.Config{}, func(b bench) {
		time.Sleep(time.Second)
		b.switchFaults(`{"cold":true}`)
		if got := b.report(); !got.Warm || got.Incarnation != 1 {
			b.Errorf("lagging report: %+v", got)
		}
		time.Sleep(200 * time.Millisecond)
		if got := b.report(); got.Warm || got.Incarnation != 1 {
			b.Errorf("report after the lag: %+v", got)
		}
	})
}

func TestReportsAreLost(t *testing.T) {
	run(t, usherengine.Config{}, func(b bench) {
		b.switchFaults(`{"lose_reports":true}`)
		if status, _ := b.call("GET", "/v1/report", ""); status != 0 {
			b.Errorf("status %d, want a dropped connection", status)
		}
		b.switchFaults(`{"lose_reports":false,"report_lag_ms":5000}`)
		time.Sleep(10 * time.Second)
		if age := time.Now().UnixMilli() - b.report().TakenAtMS; age != 5000 {
			b.Errorf("report is %d ms old, want 5000", age)
		}
	})
}

func TestOrders(t *testing.T) {
	const (
		first = `{"fence":5,"action":"load_model","name":"weaver-2"}`
		old   = `{"fence":4,"action":"load_model","name":"weaver-1"}`
	)
	for _, checks := range []bool{true, false} {
		run(t, usherengine.Config{ChecksFences: checks}, func(b bench) {
			b.call("POST", "/v1/orders", first)
			if status, answer := b.call("POST", "/v1/generations", body("g1", "tokens=1")); status != http.StatusServiceUnavailable {
				b.Errorf("while loading: status %d, body %s, want 503", status, answer)
			}
			time.Sleep(time.Second)
			if got := b.report(); got.Warm || got.Incarnation != 1 {
				b.Errorf("report after loading: %+v", got)
			}
			b.wantWhole(b.generate("g1", "tokens=1"), "g1", "tokens=1", 0)

			wantStatus, wantModel := http.StatusOK, "weaver-1"
			if checks {
				wantStatus, wantModel = http.StatusConflict, "weaver-2"
			}
			if status, _ := b.call("POST", "/v1/orders", old); status != wantStatus {
				b.Errorf("checks %v: old order: status %d, want %d", checks, status, wantStatus)
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
			_, answer := b.call("GET", "/v1/orders", "")
			if err := json.Unmarshal([]byte(answer), &got); err != nil {
				b.Fatal(err)
			}
			if got.Fence != 6 || got.Model != wantModel || got.Role != "decode" || !slices.Equal(got.Adapters, []string{"kasavu"}) {
				b.Errorf("checks %v: state %+v, want model %s", checks, got, wantModel)
			}
		})
	}
}

func TestCacheEventsAreLateAndHaveGaps(t *testing.T) {
	run(t, usherengine.Config{CacheGap: 3, CacheEventLag: time.Second}, func(b bench) {
		for _, key := range []string{"a", "b", "a", "c", "d"} {
			b.call("POST", "/v1/generations", `{"generation_id":"`+key+`","prompt":"tokens=1","cache_key":"`+key+`"}`)
		}
		events := func(after string) (sequence []int) {
			var got cacheEvents
			_, answer := b.call("GET", "/v1/cache_events?after="+after, "")
			if err := json.Unmarshal([]byte(answer), &got); err != nil {
				b.Fatal(err)
			}
			for _, e := range got.Events {
				sequence = append(sequence, e.Seq)
			}
			return sequence
		}
		if got := events("0"); len(got) != 0 {
			b.Errorf("events %v before their time", got)
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
