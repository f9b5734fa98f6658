package usherroute_test

import (
	"testing"

	"github.com/joomcode/errorx"

	"github.com/samphireusher/samphireusher/pkg/usherroute"
)

func table() *usherroute.Table {
	return usherroute.NewTable(7,
		[]usherroute.Route{
			{Name: "all", Host: "Fair.example", Prefix: "/", Public: true, Shares: []usherroute.Share{{Service: "desk", Weight: 1}}},
			{Name: "jury", Host: "fair.example", Prefix: "/jury/", Shares: []usherroute.Share{{Service: "a", Weight: 90}, {Service: "b", Weight: 10}}},
			{Name: "long", Host: "fair.example", Prefix: "/jury/long/"},
		},
		[]usherroute.Service{{Name: "desk", ColdRate: 3}},
		[]usherroute.Workspace{{Name: "weavers", Keys: []string{"k1", "k2"}}}, usherroute.Limits{})
}

func TestRouteHasLongestPrefix(t *testing.T) {
	for _, c := range []struct{ host, path, want string }{
		{"fair.example", "/", "all"},
		{"fair.example", "/jury", "all"},
		{"fair.example", "/jury/", "jury"},
		{"fair.example", "/jury/long/3", "long"},
		{"FAIR.example:8080", "/jury/long", "jury"},
		{"other.example", "/jury/", ""},
		{"fair.example", "", ""},
	} {
		r, err := table().Route(c.host, c.path)
		if r.Name != c.want || (err != nil) != (c.want == "") {
			t.Errorf("%s %s: route %q, error %v; want %q", c.host, c.path, r.Name, err, c.want)
		}
	}
}

func TestAuthenticate(t *testing.T) {
	open := usherroute.Route{Public: true}
	for _, c := range []struct {
		name  string
		route usherroute.Route
		key   string
		want  string
		fails bool
	}{
		{"a workspace's key", usherroute.Route{}, "k2", "weavers", false},
		{"an unknown key", usherroute.Route{}, "k3", "", true},
		{"no key", usherroute.Route{}, "", "", true},
		{"an unknown key on a public route", open, "k3", "", false},
		{"a known key on a public route", open, "k1", "weavers", false},
	} {
		w, err := table().Authenticate(c.route, c.key)
		if w.Name != c.want || errorx.IsOfType(err, usherroute.ErrUnknownKey) != c.fails {
			t.Errorf("%s: workspace %q, error %v", c.name, w.Name, err)
		}
	}
}

func TestSharesDistributeCalls(t *testing.T) {
	r, err := table().Route("fair.example", "/jury/")
	if err != nil {
		t.Fatal(err)
	}
	for point, want := range map[float64]string{0: "a", 0.89: "a", 0.91: "b", 0.9999: "b"} {
		if got := r.Service(point); got != want {
			t.Errorf("point %v: service %q, want %q", point, got, want)
		}
	}
}
