package bundle

import (
	"testing"

	"github.com/google/go-cmp/cmp"
)

const hostBundle = `
name = "hosts"
version = 1
[[class]]
name = "view"
deadline_ms = 1000
[[service]]
name = "any"
slots = 2
connections = 4
[[service.route]]
path = "/"
class = "view"
[[service]]
name = "shop"
slots = 2
connections = 4
[[service.route]]
host = "Shop.example"
path = "/crests/"
class = "view"
[[service.route]]
host = "shop.example"
path = "/crests/old/"
class = "view"
weight = 90
[[service]]
name = "new"
slots = 2
connections = 4
[[service.route]]
host = "shop.example"
path = "/crests/old/"
class = "view"
weight = 10
`

func hostSet(t *testing.T) *Set {
	t.Helper()
	b, err := Parse("hosts.toml", []byte(hostBundle))
	if err != nil {
		t.Fatal(err)
	}
	return NewSet([]*Bundle{b})
}

func TestMatchHostPrefersRoutesOfTheHost(t *testing.T) {
	s := hostSet(t)
	got := map[string]string{}
	for _, at := range []struct{ host, path string }{
		{"shop.example", "/crests/1"}, {"SHOP.example:8080", "/crests/"}, {"shop.example", "/crests"},
		{"shop.example", "/sizes/"}, {"other.example", "/crests/1"},
	} {
		target, ok := s.MatchHost(at.host, "GET", at.path, 0)
		if !ok {
			t.Fatalf("%s%s matches nothing", at.host, at.path)
		}
		got[at.host+at.path] = string(target.Service.Name)
	}
	want := map[string]string{
		"shop.example/crests/1": "shop", "SHOP.example:8080/crests/": "shop", "shop.example/crests": "any",
		"shop.example/sizes/": "any", "other.example/crests/1": "any",
	}
	if diff := cmp.Diff(want, got); diff != "" {
		t.Errorf("services (-want +got):\n%s", diff)
	}
}

func TestSplitFollowsWeights(t *testing.T) {
	s := hostSet(t)
	got := map[string]int{}
	for draw := range uint64(1000) {
		target, _ := s.MatchHost("shop.example", "GET", "/crests/old/1", draw)
		got[string(target.Service.Name)]++
	}
	if diff := cmp.Diff(map[string]int{"shop": 900, "new": 100}, got); diff != "" {
		t.Errorf("draws by service (-want +got):\n%s", diff)
	}
}

func TestParseRejectsSplitPartWithoutWeight(t *testing.T) {
	text := []byte(hostBundle[:len(hostBundle)-len("weight = 10\n")])
	if _, err := Parse("hosts.toml", text); err == nil {
		t.Error("Parse accepted two routes of one host and path although one has no weight")
	}
}
