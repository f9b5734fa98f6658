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

var dataCentres = []string{"kochi", "thrissur", "kozhikode"}

// useSeed sets the seed of rapid from USHER_SEED. It is called by the tests, not by TestMain, so that the test cache
// takes the variable into account.
func useSeed(t *testing.T) {
	t.Helper()
	if err := flag.Set("rapid.seed", cmp.Or(os.Getenv("USHER_SEED"), defaultSeed)); err != nil {
		t.Fatal(err)
	}
}

// newGateways returns three gateways in each data centre.
func newGateways() []usherlocate.Gateway {
	var gateways []usherlocate.Gateway
	for _, dataCentre := range dataCentres {
		for i := range 3 {
			name := fmt.Sprint(dataCentre, "-", i)
			gateways = append(gateways, usherlocate.Gateway{Name: name, Address: name + ":80", DataCentre: dataCentre})
		}
	}
	return gateways
}

func caller(i int) usherlocate.Caller {
	return usherlocate.Caller{
		Workspace: fmt.Sprint("workspace-", i%10),
		Client:    fmt.Sprint("client-", i),
		Near:      []string{dataCentres[i%3], dataCentres[(i+1)%3]},
	}
}

func TestDistributionFollowsWeightsAndIsStable(t *testing.T) {
	gateways := newGateways()
	gateways[0].Weight = 2
	before := usherlocate.NewView(gateways...)
	after := before.Without("thrissur-1")
	count := make(map[string]int)
	for i := range callers {
		location, ok := before.Locate(caller(i))
		if !ok {
			t.Fatal("no location")
		}
		count[location.Gateway]++
		if moved, _ := after.Locate(caller(i)); location.Gateway != "thrissur-1" && moved != location {
			t.Fatalf("caller %d moved from %v to %v", i, location, moved)
		}
	}
	for i, g := range gateways {
		want := callers / 9.0
		if g.DataCentre == dataCentres[0] {
			want = callers / 12.0
		}
		if i == 0 {
			want *= 2
		}
		// The tolerance is five standard deviations of a binomial count.
		if bound := 5 * math.Sqrt(want); math.Abs(float64(count[g.Name])-want) > bound {
			t.Errorf("%s has %d callers, want %.0f within %.0f", g.Name, count[g.Name], want, bound)
		}
	}
}

// checkLocation checks a location against the actual states of the gateways.
func checkLocation(gateways []usherlocate.Gateway, c usherlocate.Caller, location usherlocate.Location, ok bool) error {
	best, anyInService := len(c.Near)+1, false
	distance := func(g usherlocate.Gateway) int {
		for i, dataCentre := range c.Near {
			if dataCentre == g.DataCentre {
				return i
			}
		}
		return len(c.Near)
	}
	for _, g := range gateways {
		if g.State == usherlocate.InService {
			best, anyInService = min(best, distance(g)), true
		}
	}
	if ok != anyInService {
		return fmt.Errorf("located: %v, gateways in service: %v", ok, anyInService)
	}
	for _, g := range gateways {
		if ok && g.Name == location.Gateway && (g.State != usherlocate.InService || distance(g) != best) {
			return fmt.Errorf("located at %+v, the nearest in service have distance %d", g, best)
		}
	}
	if ok && (location.Lifetime <= 0 || location.Lifetime > usherlocate.Lifetime) {
		return fmt.Errorf("lifetime %s", location.Lifetime)
	}
	return nil
}

func TestLocateReturnsNearestInService(t *testing.T) {
	useSeed(t)
	rapid.Check(t, func(t *rapid.T) {
		gateways := newGateways()
		for i := range gateways {
			gateways[i].State = usherlocate.State(rapid.IntRange(0, 3).Draw(t, "state"))
		}
		view := usherlocate.NewView(gateways...)
		c := caller(rapid.IntRange(0, callers).Draw(t, "caller"))
		location, ok := view.Locate(c)
		if err := checkLocation(gateways, c, location, ok); err != nil {
			t.Fatal(err)
		}
		for i, g := range gateways {
			refusal, refused := view.Redirect(g.Name, c)
			if refused != (g.State != usherlocate.InService) || refused && refusal.Outcome() != usherrequest.NotRun {
				t.Fatalf("%+v: %v, %v", g, refusal, refused)
			}
			if refused && ok && refusal.OtherAddress != location.Address || refused && !ok && refusal.RetryAfter <= 0 {
				t.Fatalf("gateway %d refuses with %+v, location %+v", i, refusal, location)
			}
		}
	})
}

func TestCheckLocationDetectsStaleView(t *testing.T) {
	found := 0
	for i := range 50 {
		gateways := newGateways()
		stale := usherlocate.NewView(gateways...)
		gateways[i%9].State = usherlocate.Leaving
		location, ok := stale.Locate(caller(i))
		if checkLocation(gateways, caller(i), location, ok) != nil {
			found++
		}
	}
	if found == 0 {
		t.Error("checkLocation accepts a view that does not know which gateway is leaving")
	}
}

func BenchmarkLocate(b *testing.B) {
	for _, size := range []int{9, 350} {
		b.Run(fmt.Sprint(size), func(b *testing.B) {
			var view usherlocate.View
			for i := range size {
				view = view.WithGateway(usherlocate.Gateway{Name: fmt.Sprint("gateway-", i), DataCentre: dataCentres[i%3]})
			}
			for b.Loop() {
				view.Locate(caller(1))
			}
		})
	}
}
