package routing

import "testing"

func newTable() *Table {
	routes := []Route{
		{Name: "all", Host: "a.example", Prefix: "/"},
		{Name: "long", Host: "a.example", Prefix: "/one/two/"},
		{Name: "short", Host: "a.example", Prefix: "/one/"},
		{Name: "other", Host: "b.example", Prefix: "/one/"},
	}
	organisations := []OrganisationKeys{{Organisation: Organisation{Name: "north"}, Keys: []string{"k1", "k2"}}}
	return NewTable(3, Limits{}, routes, []Pool{{Name: "p"}}, organisations)
}

func TestMatch(t *testing.T) {
	for _, test := range []struct {
		name, host, path, want string
	}{
		{name: "longest prefix", host: "a.example", path: "/one/two/x", want: "long"},
		{name: "prefix matches only whole path segments", host: "a.example", path: "/one/two", want: "short"},
		{name: "host with port and capitals", host: "A.Example:80", path: "/one/x", want: "short"},
		{name: "other host", host: "b.example", path: "/one/two/x", want: "other"},
		{name: "path without a route", host: "b.example", path: "/two/", want: ""},
		{name: "unknown host", host: "c.example", path: "/one/", want: ""},
	} {
		t.Run(test.name, func(t *testing.T) {
			route, ok := newTable().Match(test.host, test.path)
			if route.Name != test.want || ok != (test.want != "") {
				t.Errorf("got route %q, found %v; want %q", route.Name, ok, test.want)
			}
		})
	}
}

// Guards against a batch job that is given up although its route is in force, and against one that runs on after its route was removed.
func TestHasBatchRoute(t *testing.T) {
	routes := []Route{
		{Name: "steps", Host: "a.example", Prefix: "/job/", Kind: KindBatch, Targets: []Target{{Pool: "p", Weight: 1}, {Pool: "q", Weight: 1}}},
		{Name: "calls", Host: "b.example", Prefix: "/", Kind: KindOnce, Targets: []Target{{Pool: "p", Weight: 1}}},
	}
	table := NewTable(1, Limits{}, routes, nil, nil)
	for _, test := range []struct {
		host, pool string
		want       bool
	}{
		{host: "A.example:80", pool: "q", want: true},
		{host: "a.example", pool: "other"},
		{host: "b.example", pool: "p"},
		{host: "c.example", pool: "p"},
	} {
		if got := table.HasBatchRoute(test.host, test.pool); got != test.want {
			t.Errorf("host %s, pool %s: %v", test.host, test.pool, got)
		}
	}
}

func TestOrganisation(t *testing.T) {
	for _, test := range []struct {
		name, key, want string
	}{
		{name: "first key", key: "k1", want: "north"},
		{name: "second key", key: "k2", want: "north"},
		{name: "unknown key", key: "k3"},
		{name: "no key", key: ""},
	} {
		t.Run(test.name, func(t *testing.T) {
			organisation, ok := newTable().Organisation(test.key)
			if organisation.Name != test.want || ok != (test.want != "") {
				t.Errorf("got organisation %q, found %v; want %q", organisation.Name, ok, test.want)
			}
		})
	}
}

func TestPoolIsChosenByWeight(t *testing.T) {
	route := Route{Targets: []Target{{Pool: "a", Weight: 1}, {Pool: "b", Weight: 3}}}
	for _, test := range []struct {
		name string
		draw float64
		want string
	}{
		{name: "draw within the first quarter", draw: 0.2, want: "a"},
		{name: "draw above the first quarter", draw: 0.3, want: "b"},
		{name: "draw near one", draw: 0.999, want: "b"},
	} {
		t.Run(test.name, func(t *testing.T) {
			if got := route.Pool(test.draw); got != test.want {
				t.Errorf("got pool %q, want %q", got, test.want)
			}
		})
	}
}
