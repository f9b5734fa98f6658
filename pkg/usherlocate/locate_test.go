package usherlocate_test

import (
	"cmp"
	"flag"
	"fmt"
	"math"
	"os"
	"testing"

	"github.com/samphireusher/samphireusher/pkg/usherlocate"
	"github.com/samphireusher/samphireusher/pkg/usherrequest"
	"pgregory.net/rapid"
)

const (
	defaultSeed = "1"
	callers     = 9000
)

var places = []string{"kochi", "thrissur", "kozhikode"}

// useSeed makes rapid walk as USHER_SEED says. A test calls it, not TestMain, so that the test cache takes note of the variable.
func useSeed(t *testing.T) {
	t.Helper()
	if err := flag.Set("rapid.seed", cmp.Or(os.Getenv("USHER_SEED"), defaultSeed)); err != nil {
		t.Fatal(err)
	}
}

// fleet returns three gateways in each place.
func fleet() []usherlocate.Gateway {
	var gateways []usherlocate.Gateway
	for _, place := range places {
		for i := range 3 {
			name := fmt.Sprint(place, "-", i)
			gateways = append(gateways, usherlocate.Gateway{Name: name, Address: name + ":80", DataCentre: place})
		}
	}
	return gateways
}

func caller(i int) usherlocate.Caller {
	return usherlocate.Caller{
		Workspace: fmt.Sprint("workspace-", i%10),
		Client:    fmt.Sprint("client-", i),
		Near:      []string{places[i%3], places[(i+1)%3]},
	}
}

func TestSpreadFollowsWeightsAndMovesFewCallers(t *testing.T) {
	gateways := fleet()
	gateways[0].Weight = 2
	before := usherlocate.NewView(gateways...)
	after := before.Without("thrissur-1")
	count := make(map[string]int)
	for i := range callers {
		answer, ok := before.Locate(caller(i))
		if !ok {
			t.Fatal("no answer")
		}
		count[answer.Gateway]++
		if moved, _ := after.Locate(caller(i)); answer.Gateway != "thrissur-1" && moved != answer {
			t.Fatalf("caller %d moved from %v to %v", i, answer, moved)
		}
	}
	for i, g := range gateways {
		want := callers / 9.0
		if g.DataCentre == places[0] {
			want = callers / 12.0
		}
		if i == 0 {
			want *= 2
		}
		// Five standard deviations of a binomial count.
		if bound := 5 * math.Sqrt(want); math.Abs(float64(count[g.Name])-want) > bound {
			t.Errorf("%s has %d callers, want %.0f within %.0f", g.Name, count[g.Name], want, bound)
		}
	}
}

// checkAnswer returns what is wrong with an answer in the light of the true states of gateways.
func checkAnswer(gateways []usherlocate.Gateway, c usherlocate.Caller, answer usherlocate.Answer, ok bool) error {
	best, any := len(c.Near)+1, false
	tier := func(g usherlocate.Gateway) int {
		for i, place := range c.Near {
			if place == g.DataCentre {
				return i
			}
		}
		return len(c.Near)
	}
	for _, g := range gateways {
		if g.State == usherlocate.InService {
			best, any = min(best, tier(g)), true
		}
	}
	if ok != any {
		return fmt.Errorf("answered: %v, gateways in service: %v", ok, any)
	}
	for _, g := range gateways {
		if ok && g.Name == answer.Gateway && (g.State != usherlocate.InService || tier(g) != best) {
			return fmt.Errorf("sent to %+v, the nearest in service have distance %d", g, best)
		}
	}
	if ok && (answer.Lifetime <= 0 || answer.Lifetime > usherlocate.Lifetime) {
		return fmt.Errorf("lifetime %s", answer.Lifetime)
	}
	return nil
}

func TestAnswersNameTheNearestInService(t *testing.T) {
	useSeed(t)
	rapid.Check(t, func(t *rapid.T) {
		gateways := fleet()
		for i := range gateways {
			gateways[i].State = usherlocate.State(rapid.IntRange(0, 3).Draw(t, "state"))
		}
		view := usherlocate.NewView(gateways...)
		c := caller(rapid.IntRange(0, callers).Draw(t, "caller"))
		answer, ok := view.Locate(c)
		if err := checkAnswer(gateways, c, answer, ok); err != nil {
			t.Fatal(err)
		}
		for i, g := range gateways {
			refusal, refused := view.TurnAway(g.Name, c)
			if refused != (g.State != usherlocate.InService) || refused && refusal.Outcome() != usherrequest.NotRun {
				t.Fatalf("%+v: %v, %v", g, refusal, refused)
			}
			if refused && ok && refusal.OtherAddress != answer.Address || refused && !ok && refusal.RetryAfter <= 0 {
				t.Fatalf("gateway %d refuses with %+v, answer %+v", i, refusal, answer)
			}
		}
	})
}

func TestCheckFindsStaleStates(t *testing.T) {
	found := 0
	for i := range 50 {
		gateways := fleet()
		stale := usherlocate.NewView(gateways...)
		gateways[i%9].State = usherlocate.Leaving
		answer, ok := stale.Locate(caller(i))
		if checkAnswer(gateways, caller(i), answer, ok) != nil {
			found++
		}
	}
	if found == 0 {
		t.Error("the check passes a view that does not know who is leaving")
	}
}

func BenchmarkLocate(b *testing.B) {
	for _, size := range []int{9, 350} {
		b.Run(fmt.Sprint(size), func(b *testing.B) {
			var view usherlocate.View
			for i := range size {
				view = view.WithGateway(usherlocate.Gateway{Name: fmt.Sprint("gateway-", i), DataCentre: places[i%3]})
			}
			for b.Loop() {
				view.Locate(caller(1))
			}
		})
	}
}
