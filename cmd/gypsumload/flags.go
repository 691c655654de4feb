package main

import (
	"flag"
	"io"
	"os"
	"strings"
	"time"

	"gypsumstand/internal/finding"
	"gypsumstand/internal/load"
	"gypsumstand/internal/model"
	"gypsumstand/internal/registry"
)

// flags are the command's flags.
type flags struct {
	planFile string
	json     bool
	oracle   string

	// Of the whole run; they go before the plan's.
	targets  string
	random   bool
	direct   bool
	duration time.Duration
	settle   time.Duration
	requests int
	inFlight int
	seed     uint64

	// Of the one stream of a run without a plan.
	stream  load.Stream
	class   string
	tenant  string
	timeout time.Duration
}

// runFlags are the names of the flags that go with a plan.
var runFlags = []string{"plan", "json", "oracle", "target", "random", "direct", "duration", "settle", "max-requests", "in-flight", "seed"}

func (f *flags) define(stderr io.Writer) *flag.FlagSet {
	fs := flag.NewFlagSet("gypsumload", flag.ContinueOnError)
	fs.SetOutput(stderr)
	fs.Usage = func() {}
	defaults := load.NewPlan()
	fs.StringVar(&f.planFile, "plan", "", "TOML file of a plan; with it, only flags of the whole run are allowed")
	fs.BoolVar(&f.json, "json", false, "print JSON instead of a table")
	fs.StringVar(&f.oracle, "oracle", "", "control ip:ports of all stand-in workers, by commas: counts runs after the load")
	fs.StringVar(&f.targets, "target", "", "caller ip:ports of nodes, by commas")
	fs.BoolVar(&f.random, "random", false, "pick targets at random instead of in turn")
	fs.BoolVar(&f.direct, "direct", false, "the targets are workers, not nodes")
	fs.DurationVar(&f.duration, "duration", time.Duration(defaults.DurationMs)*time.Millisecond, "time over which requests are sent")
	fs.DurationVar(&f.settle, "settle", time.Duration(defaults.SettleMs)*time.Millisecond, "time between the last answer and the count of runs")
	fs.IntVar(&f.requests, "max-requests", defaults.MaxRequests, "bound on requests")
	fs.IntVar(&f.inFlight, "in-flight", defaults.MaxInFlight, "bound on requests in flight")
	fs.Uint64Var(&f.seed, "seed", 0, "seed of times and choices")
	f.defineStream(fs)
	return fs
}

func (f *flags) defineStream(fs *flag.FlagSet) {
	s := &f.stream
	fs.StringVar(&f.class, "class", "all", "label of the results")
	fs.StringVar(&f.tenant, "tenant", "", "tenant to send and to label results by")
	fs.Float64Var(&s.Worth, "worth", 1, "worth of an answer in deadline")
	fs.Float64Var(&s.RatePerSecond, "rate", 100, "requests a second")
	fs.StringVar(&s.Method, "method", "GET", "HTTP method")
	fs.StringVar(&s.Path, "path", "/", "path without a query")
	fs.DurationVar(&f.timeout, "timeout", time.Second, "deadline of a request")
	fs.BoolVar(&s.NotIdempotent, "not-idempotent", false, "mark the requests as not idempotent")
	fs.BoolVar(&s.Keyed, "keyed", false, "give idempotent requests an Idempotency-Key too")
	fs.IntVar(&s.BodyBytes, "body", 64, "bytes of a body, for methods that have one")
	fs.IntVar(&s.Depth, "depth", 0, "calls one below the other that workers make for a request")
	fs.IntVar(&s.Resend, "resend", 0, "how often a request that was not run is sent again")
	fs.Float64Var(&s.CopyShare, "copies", 0, "share of the non-idempotent requests that a second caller sends too")
}

// plan makes the plan. The error is a finding.List.
func (f *flags) plan(fs *flag.FlagSet) (load.Plan, error) {
	if err := f.check(fs); err != nil {
		return load.Plan{}, err
	}
	if f.planFile == "" {
		p := load.NewPlan()
		f.override(fs, &p)
		f.stream.Class = model.ClassName(f.class)
		f.stream.Tenant = model.TenantName(f.tenant)
		f.stream.TimeoutMs = f.timeout.Milliseconds()
		p.Streams = []load.Stream{f.stream}
		return load.CheckPlan(p)
	}
	data, err := os.ReadFile(f.planFile)
	if err != nil {
		return load.Plan{}, finding.List{{File: f.planFile, Message: err.Error()}}
	}
	return load.ParsePlan(f.planFile, data, func(p *load.Plan) { f.override(fs, p) })
}

// check finds faults of the flags that a plan does not hold.
func (f *flags) check(fs *flag.FlagSet) error {
	var findings finding.List
	for _, a := range fs.Args() {
		findings.Add(finding.Finding{Key: a, Message: "unexpected argument"})
	}
	for _, a := range split(f.oracle) {
		if err := registry.CheckAddress(a); err != nil {
			findings.Add(finding.Finding{Key: "-oracle", Message: err.Error()})
		}
	}
	if f.planFile != "" {
		fs.Visit(func(set *flag.Flag) {
			for _, name := range runFlags {
				if name == set.Name {
					return
				}
			}
			findings.Add(finding.Finding{Key: "-" + set.Name, Message: "is not allowed beside -plan"})
		})
	}
	return findings.Err()
}

// override puts what the command line says in the place of the plan's.
func (f *flags) override(fs *flag.FlagSet, p *load.Plan) {
	set := map[string]func(){
		"target":       func() { p.Targets = split(f.targets) },
		"direct":       func() { p.Direct = f.direct },
		"duration":     func() { p.DurationMs = f.duration.Milliseconds() },
		"settle":       func() { p.SettleMs = f.settle.Milliseconds() },
		"max-requests": func() { p.MaxRequests = f.requests },
		"in-flight":    func() { p.MaxInFlight = f.inFlight },
		"seed":         func() { p.Seed = f.seed },
		"random": func() {
			p.Pick = load.PickRoundRobin
			if f.random {
				p.Pick = load.PickRandom
			}
		},
	}
	fs.Visit(func(given *flag.Flag) {
		if apply := set[given.Name]; apply != nil {
			apply()
		}
	})
}

// runs returns the oracle, or nil when none was named.
func (f *flags) runs() load.Oracle {
	if f.oracle == "" {
		return nil
	}
	return load.HTTPOracle(split(f.oracle))
}

func split(text string) []string {
	if text == "" {
		return nil
	}
	return strings.Split(text, ",")
}
