package bundle

import (
	"errors"
	"fmt"
	"strings"
	"testing"

	"github.com/google/go-cmp/cmp"

	"gypsumstand/internal/finding"
)

const validBundle = `name = "inyange"
version = 3
[measuring]
per_upstream_per_second = 4
[[class]]
name = "payout"
worth = 10
deadline_ms = 2000
max_deadline_ms = 5000
share = 0.4
[[class]]
name = "lookup"
deadline_ms = 500
share = 0.1
[[tenant]]
name = "cooperative"
rate_per_second = 0.5
[[service]]
name = "ledger"
slots = 20
connections = 260
[[service.upstream]]
instance = "ledger-1"
slots = 10
[[service.route]]
path = "/payouts"
methods = ["POST"]
class = "payout"
[[service.route]]
path = "/payouts"
class = "lookup"
`

func mustParse(t testing.TB, text string) *Bundle {
	t.Helper()
	b, err := Parse("test.toml", []byte(text))
	if err != nil {
		t.Fatalf("Parse: %v", err)
	}
	return b
}

func TestParseFillsDefaultsOfAbsentFields(t *testing.T) {
	b := mustParse(t, validBundle)
	want := &Bundle{
		Name: "inyange", Version: 3,
		Measuring: Measuring{PerUpstreamPerSecond: 4, PollShare: 0.5},
		Retry:     Retry{PerPath: 2, Ratio: 0.2},
		Callers:   Callers{IdleTimeoutMs: 60_000, HeaderTimeoutMs: 5000},
		Classes: []Class{
			{Name: "payout", Worth: 10, DeadlineMs: 2000, MaxDeadlineMs: 5000, Share: 0.4},
			{Name: "lookup", DeadlineMs: 500, MaxDeadlineMs: 500, Share: 0.1},
		},
		Tenants: []Tenant{{Name: "cooperative", RatePerSecond: 0.5, Burst: 1, MaxShare: 1}},
		Services: []Service{{
			Name: "ledger", Slots: 20, SlotShare: 1, Connections: 260, QueueLimit: 80, BodyLimitBytes: 1 << 20, ResponseLimitBytes: 64 << 20,
			WarmupMs: 2000, WarmingMs: 2000, KeyMemoryMs: 120_000,
			Upstreams: []Upstream{{Instance: "ledger-1", Slots: 10}},
			Routes: []Route{
				{Path: "/payouts", Methods: []string{"POST"}, Class: "payout"},
				{Path: "/payouts", Class: "lookup"},
			},
		}},
	}
	if diff := cmp.Diff(want, b); diff != "" {
		t.Errorf("bundle differs (-want +got):\n%s", diff)
	}
}

func TestParseKeepsExplicitZeroes(t *testing.T) {
	text := strings.Replace(validBundle, "[measuring]", "[retry]\nper_path = 0\nratio = 0\n[measuring]", 1)
	text = strings.Replace(text, "connections = 260", "connections = 260\nqueue_limit = 0", 1)
	b := mustParse(t, text)
	if b.Retry.PerPath != 0 || b.Retry.Ratio != 0 || b.Services[0].QueueLimit != 0 {
		t.Errorf("retry %+v, queue limit %d: explicit zeroes were replaced", b.Retry, b.Services[0].QueueLimit)
	}
}

// TestParseFindings changes the valid bundle in one place and expects exactly the listed
// findings.
func TestParseFindings(t *testing.T) {
	tests := []struct {
		name     string
		old, new string
		want     []string
	}{
		{"missing name", `name = "inyange"`, "", []string{"test.toml: name: missing"}},
		{"empty name", `"inyange"`, `""`, []string{`test.toml:1:1: name: "" ` + nameRule}},
		{"name with capital", `"inyange"`, `"Inyange"`, []string{`test.toml:1:1: name: "Inyange" ` + nameRule}},
		{"name too long", `"inyange"`, `"` + strings.Repeat("a", 65) + `"`, []string{`test.toml:1:1: name: "` + strings.Repeat("a", 65) + `" ` + nameRule}},
		{"version zero", "version = 3", "version = 0", []string{"test.toml:2:1: version: must be at least 1"}},
		{"version negative", "version = 3", "version = -3", []string{"test.toml:2:11: version: negative integer value -3 cannot be stored in uint64"}},
		{"unknown key", "version = 3", "version = 3\nspeed = 1", []string{"test.toml:3:1: speed: unknown key"}},
		{"unknown table", "[measuring]", "[other]\na = 1\n[measuring]", []string{"test.toml:3:2: other: unknown key"}},
		{"key in capitals", "worth = 10", "Worth = 10", []string{"test.toml:7:1: class[0].Worth: unknown key"}},
		{"duplicate key", "worth = 10", "worth = 10\nworth = 11", []string{"test.toml:8:1: class[0].worth: key worth is already defined"}},
		{"duplicate table", "[[class]]", "[measuring]\n[[class]]", []string{"test.toml:5:2: measuring: table measuring already exists"}},
		{"wrong type", "slots = 20", `slots = "many"`, []string{"test.toml:20:9: service[0].slots: must be an integer, found string"}},
		{"no TOML", "version = 3", "version = = 3", []string{"test.toml:2:11: unexpected character U+003D '=' at start of value"}},
		{"measuring budget zero", "per_upstream_per_second = 4", "per_upstream_per_second = 0", []string{"test.toml:4:1: measuring.per_upstream_per_second: 0 must be over 0 and at most 1000"}},
		{"measuring budget NaN", "per_upstream_per_second = 4", "per_upstream_per_second = nan", []string{"test.toml:4:1: measuring.per_upstream_per_second: NaN must be over 0 and at most 1000"}},
		{"measuring budget infinite", "per_upstream_per_second = 4", "per_upstream_per_second = inf", []string{"test.toml:4:1: measuring.per_upstream_per_second: +Inf must be over 0 and at most 1000"}},
		{"poll share too small", "[[class]]", "poll_share = 0.01\n[[class]]", []string{"test.toml:5:1: measuring.poll_share: 0.01 must be from 0.1 to 1"}},
		{"retry bounds", "[measuring]", "[retry]\nper_path = 11\nratio = 1.5\nhedge_after_quantile = 1\n[measuring]", []string{
			"test.toml:4:1: retry.per_path: 11 must be from 0 to 10",
			"test.toml:5:1: retry.ratio: 1.5 must be from 0 to 1",
			"test.toml:6:1: retry.hedge_after_quantile: 1 must be from 0 to 0.9999",
		}},
		{"worth negative", "worth = 10", "worth = -1", []string{"test.toml:7:1: class[0].worth: -1 must be from 0 to 1e+06"}},
		{"worth NaN", "worth = 10", "worth = nan", []string{"test.toml:7:1: class[0].worth: NaN must be from 0 to 1e+06"}},
		{"deadline missing", "deadline_ms = 500\n", "", []string{"test.toml:11:3: class[1].deadline_ms: missing"}},
		{"deadline zero", "deadline_ms = 500\n", "deadline_ms = 0\n", []string{"test.toml:13:1: class[1].deadline_ms: 0 must be from 1 to 3600000"}},
		{"max deadline under deadline", "max_deadline_ms = 5000", "max_deadline_ms = 500", []string{"test.toml:9:1: class[0].max_deadline_ms: 500 must be at least deadline_ms of 2000"}},
		{"share over 1", "share = 0.4", "share = 1.4", []string{
			"test.toml:10:1: class[0].share: 1.4 must be from 0 to 1",
			"test.toml:10:1: class[0].share: the shares of the classes up to this one sum to 1.4, which is over 1",
		}},
		{"share negative", "share = 0.4", "share = -0.4", []string{"test.toml:10:1: class[0].share: -0.4 must be from 0 to 1"}},
		{"shares sum over 1", "share = 0.1", "share = 0.7", []string{"test.toml:14:1: class[1].share: the shares of the classes up to this one sum to 1.1, which is over 1"}},
		{"duplicate class", `name = "lookup"`, `name = "payout"`, []string{
			`test.toml:12:1: class[1].name: "payout" is already used by class[0].name on line 6`,
			`test.toml:31:1: service[0].route[1].class: "lookup" is not a class of this bundle`,
		}},
		{"duplicate tenant", "[[service]]", "[[tenant]]\nname = \"cooperative\"\n[[service]]", []string{`test.toml:19:1: tenant[1].name: "cooperative" is already used by tenant[0].name on line 16`}},
		{"reserved tenant", `"cooperative"`, `"other"`, []string{`test.toml:16:1: tenant[0].name: "other" is reserved for tenants that no bundle names`}},
		{"tenant rate negative", "rate_per_second = 0.5", "rate_per_second = -0.5", []string{"test.toml:17:1: tenant[0].rate_per_second: -0.5 must be from 0 to 1e+06"}},
		{"burst under one", "rate_per_second = 0.5", "rate_per_second = 0.5\nburst = 0.5", []string{"test.toml:18:1: tenant[0].burst: 0.5 must be from 1 to 1e+06"}},
		{"burst beside a rate that was rejected", "rate_per_second = 0.5", "rate_per_second = \"x\"\nburst = 5", []string{"test.toml:17:19: tenant[0].rate_per_second: must be a number, found string"}},
		{"burst without rate", "rate_per_second = 0.5", "burst = 5", []string{"test.toml:17:1: tenant[0].burst: requires rate_per_second over 0"}},
		{"tenant share zero", "rate_per_second = 0.5", "max_share = 0.0", []string{"test.toml:17:1: tenant[0].max_share: 0 must be over 0 and at most 1"}},
		{"duplicate service", "[[service.upstream]]", "[[service]]\nname = \"ledger\"\nslots = 1\nconnections = 1\n[[service.upstream]]", []string{`test.toml:23:1: service[1].name: "ledger" is already used by service[0].name on line 19`, "test.toml:28:1: service[1].upstream[0].slots: 1 connections are too few for 10 slots"}},
		{"slots missing", "slots = 20\n", "", []string{"test.toml:18:3: service[0].slots: missing"}},
		{"slots zero", "slots = 20", "slots = 0", []string{"test.toml:20:1: service[0].slots: 0 must be from 1 to 65535"}},
		{"connections negative", "connections = 260", "connections = -1", []string{"test.toml:21:1: service[0].connections: -1 must be from 1 to 65535"}},
		{"connections under slots", "connections = 260", "connections = 19", []string{"test.toml:21:1: service[0].connections: 19 connections are too few for 20 slots"}},
		{"queue, body, warmup and memory bounds", "connections = 260", "connections = 260\nqueue_limit = -1\nbody_limit_bytes = 0\nwarmup_ms = 0\nkey_memory_ms = 0", []string{
			"test.toml:22:1: service[0].queue_limit: -1 must be from 0 to 65535",
			"test.toml:23:1: service[0].body_limit_bytes: 0 must be from 1 to 67108864",
			"test.toml:24:1: service[0].warmup_ms: 0 must be from 1 to 600000",
			"test.toml:25:1: service[0].key_memory_ms: 0 must be from 1 to 86400000",
		}},
		{"key memory under the deadline", "connections = 260", "connections = 260\nkey_memory_ms = 1000", []string{"test.toml:29:1: service[0].route[0].class: class payout allows deadlines of 5000 ms, longer than the service's key_memory_ms of 1000"}},
		{"health path", "connections = 260", "connections = 260\nhealth_path = \"health\"", []string{
			`test.toml:22:1: service[0].health_path: "health" must start with "/"`,
		}},
		{"health path with a space", "connections = 260", "connections = 260\nhealth_path = \"/a b\"", []string{
			`test.toml:22:1: service[0].health_path: "/a b" must not contain a space, a control character, '?' or '#'`,
		}},
		{"load path", "connections = 260", "connections = 260\nload_path = \"/load\"", []string{
			`test.toml:22:1: service[0].load_path: unknown key`,
		}},
		{"duplicate upstream", "[[service.upstream]]", "[[service.upstream]]\ninstance = \"ledger-1\"\nslots = 2\n[[service.upstream]]", []string{`test.toml:26:1: service[0].upstream[1].instance: "ledger-1" is already used by service[0].upstream[0].instance on line 23`}},
		{"upstream without override", "slots = 10\n", "", []string{"test.toml:22:3: service[0].upstream[0]: must override slots or connections"}},
		{"upstream slots over connections", "slots = 10\n", "slots = 261\n", []string{"test.toml:24:1: service[0].upstream[0].slots: 260 connections are too few for 261 slots"}},
		{"route path without slash", `path = "/payouts"` + "\nmethods", `path = "payouts"` + "\nmethods", []string{`test.toml:26:1: service[0].route[0].path: "payouts" must start with "/"`}},
		{"route path with dots", `path = "/payouts"` + "\nmethods", `path = "/a/../b"` + "\nmethods", []string{`test.toml:26:1: service[0].route[0].path: "/a/../b" must not contain a '.' or '..' segment`}},
		{"route path with a dot", `path = "/payouts"` + "\nmethods", `path = "/a/./b"` + "\nmethods", []string{`test.toml:26:1: service[0].route[0].path: "/a/./b" must not contain a '.' or '..' segment`}},
		{"route path with empty segment", `path = "/payouts"` + "\nmethods", `path = "/a//b"` + "\nmethods", []string{`test.toml:26:1: service[0].route[0].path: "/a//b" must not contain an empty segment`}},
		{"route path too long", `path = "/payouts"` + "\nmethods", `path = "/` + strings.Repeat("a", 1024) + `"` + "\nmethods", []string{`test.toml:26:1: service[0].route[0].path: "/` + strings.Repeat("a", 1024) + `" must be at most 1024 bytes`}},
		{"class whose name was rejected", `name = "lookup"`, `name = 3`, []string{"test.toml:12:8: class[1].name: must be a string, found integer"}},
		{"route whose methods were rejected", `["POST"]`, `[3]`, []string{"test.toml:27:12: service[0].route[0].methods: must be an array of strings, found integer"}},
		{"route path missing", `path = "/payouts"` + "\nmethods", `methods`, []string{"test.toml:25:3: service[0].route[0].path: missing"}},
		{"route class missing", `class = "payout"`, "", []string{"test.toml:25:3: service[0].route[0].class: missing"}},
		{"unknown class", `class = "payout"`, `class = "pay"`, []string{`test.toml:28:1: service[0].route[0].class: "pay" is not a class of this bundle`}},
		{"unknown and repeated methods", `["POST"]`, `["post", "GET", "GET"]`, []string{
			`test.toml:27:1: service[0].route[0].methods: "post" is not one of GET, HEAD, POST, PUT, PATCH, DELETE, OPTIONS, TRACE`,
			`test.toml:27:1: service[0].route[0].methods: "GET" is listed twice`,
		}},
		{"hidden route without methods", `methods = ["POST"]`, "", []string{"test.toml:30:1: service[0].route[1].path: every method of /payouts is already routed by service[0].route[0] on line 25"}},
		{"hidden route with methods", `class = "lookup"`, "class = \"lookup\"\nmethods = [\"GET\", \"POST\"]", []string{"test.toml:30:1: service[0].route[1].path: POST /payouts is already routed by service[0].route[0] on line 25"}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			text := strings.Replace(validBundle, tt.old, tt.new, 1)
			if text == validBundle {
				t.Fatalf("%q is not in the valid bundle", tt.old)
			}
			if diff := cmp.Diff(tt.want, findingsOf(t, text)); diff != "" {
				t.Errorf("findings differ (-want +got):\n%s", diff)
			}
		})
	}
}

const nameRule = "must be 1 to 64 characters of a-z, 0-9, '.', '_' and '-'"

func findingsOf(t *testing.T, text string) []string {
	t.Helper()
	_, err := Parse("test.toml", []byte(text))
	if err == nil {
		return nil
	}
	var list finding.List
	if !errors.As(err, &list) {
		t.Fatalf("Parse returned %T, want finding.List", err)
	}
	return strings.Split(list.Error(), "\n")
}

func TestParseReportsAllFaultsInOnePass(t *testing.T) {
	text := `name = "INYANGE"
version = "three"
colour = "red"
[[class]]
name = "payout"
worth = nan
deadline_ms = "long"
[[service]]
name = "ledger"
slots = 20
slots = 30
connections = 5
[[service.route]]
path = "payouts"
class = "none"
methods = ["POST", 3]
`
	want := []string{
		`test.toml:1:1: name: "INYANGE" ` + nameRule,
		"test.toml:2:11: version: must be a non-negative integer, found string",
		"test.toml:3:1: colour: unknown key",
		"test.toml:6:1: class[0].worth: NaN must be from 0 to 1e+06",
		"test.toml:7:15: class[0].deadline_ms: must be an integer, found string",
		"test.toml:11:1: service[0].slots: key slots is already defined",
		"test.toml:12:1: service[0].connections: 5 connections are too few for 20 slots",
		`test.toml:14:1: service[0].route[0].path: "payouts" must start with "/"`,
		`test.toml:15:1: service[0].route[0].class: "none" is not a class of this bundle`,
		"test.toml:16:20: service[0].route[0].methods: must be an array of strings, found integer",
	}
	if diff := cmp.Diff(want, findingsOf(t, text)); diff != "" {
		t.Errorf("findings differ (-want +got):\n%s", diff)
	}
}

func TestParseAcceptsAnyIdempotencyOverride(t *testing.T) {
	text := strings.Replace(validBundle, `methods = ["POST"]`, "methods = [\"POST\"]\nidempotent = true", 1)
	text = strings.Replace(text, `class = "lookup"`, "class = \"lookup\"\nmethods = [\"GET\"]\nidempotent = false", 1)
	mustParse(t, text)
}

func TestParseRejectsOversizedText(t *testing.T) {
	text := validBundle + "#" + strings.Repeat("x", MaxBytes)
	want := []string{fmt.Sprintf("test.toml: %d bytes are over the bound of %d", len(text), MaxBytes)}
	if diff := cmp.Diff(want, findingsOf(t, text)); diff != "" {
		t.Errorf("findings differ (-want +got):\n%s", diff)
	}
}
