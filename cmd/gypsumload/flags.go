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

// flags holds the command's flags.
type flags struct {
	planFile string
	json     bool
	oracle   string

	// Flags of the whole run, which override the plan.
	targets  string
	random   bool
	direct   bool
	duration time.Duration
	settle   time.Duration
	requests int
	inFlight int
	seed     uint64

	// Flags of the single stream of a run without a plan.
	stream  load.Stream
	class   string
	tenant  string
	timeout time.Duration
}

// planFlags names the flags that may be combined with -plan.
var planFlags = []string{"plan", "json", "oracle", "target", "random", "direct", "duration", "settle", "max-requests", "in-flight", "seed"}

func (f *flags) define(stderr io.Writer) *flag.FlagSet {
	fs := flag.NewFlagSet("gypsumload", flag.ContinueOnError)
	fs.SetOutput(stderr)
	fs.Usage = func() {}
	defaults := load.NewPlan()
	fs.StringVar(&f.planFile, "plan", "", "TOML file of a plan; only flags of the whole run are allowed beside it")
	fs.BoolVar(&f.json, "json", false, "print JSON instead of a table")
	fs.StringVar(&f.oracle, "oracle", "", "control ip:ports of all stand-in workers, separated by commas; counts runs after the load")
	fs.StringVar(&f.targets, "target", "", "caller ip:ports of nodes, separated by commas")
	fs.BoolVar(&f.random, "random", false, "pick targets at random instead of round-robin")
	fs.BoolVar(&f.direct, "direct", false, "the targets are workers, not nodes")
	fs.DurationVar(&f.duration, "duration", time.Duration(defaults.DurationMs)*time.Millisecond, "duration of the load")
	fs.DurationVar(&f.settle, "settle", time.Duration(defaults.SettleMs)*time.Millisecond, "time between the last response and the count of runs")
	fs.IntVar(&f.requests, "max-requests", defaults.MaxRequests, "limit of requests")
	fs.IntVar(&f.inFlight, "in-flight", defaults.MaxInFlight, "limit of requests in flight")
	fs.Uint64Var(&f.seed, "seed", 0, "seed of arrival times and random choices")
	f.defineStream(fs)
	return fs
}

func (f *flags) defineStream(fs *flag.FlagSet) {
	s := &f.stream
	fs.StringVar(&f.class, "class", "all", "label of the results")
	fs.StringVar(&f.tenant, "tenant", "", "tenant of the requests, and label of the results")
	fs.Float64Var(&s.Worth, "worth", 1, "worth of a response within the deadline")
	fs.Float64Var(&s.RatePerSecond, "rate", 100, "requests per second")
	fs.StringVar(&s.Method, "method", "GET", "HTTP method")
	fs.StringVar(&s.Path, "path", "/", "path without a query")
	fs.DurationVar(&f.timeout, "timeout", time.Second, "deadline of a request")
	fs.BoolVar(&s.NotIdempotent, "not-idempotent", false, "mark the requests as not idempotent")
	fs.BoolVar(&s.Keyed, "keyed", false, "give idempotent requests an Idempotency-Key too")
	fs.IntVar(&s.BodyBytes, "body", 64, "body size in bytes, for methods with a body")
	fs.IntVar(&s.Depth, "depth", 0, "depth of nested calls that workers make for a request")
	fs.IntVar(&s.Resend, "resend", 0, "maximum retries of a request that was not run")
	fs.Float64Var(&s.CopyShare, "copies", 0, "share of non-idempotent requests that a second caller duplicates")
}

// plan returns the plan of the run. The error is a finding.List.
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

// check returns the errors in flags that are not part of the plan.
func (f *flags) check(fs *flag.FlagSet) error {
	var findings finding.List
	for _, a := range fs.Args() {
		findings.Add(finding.Finding{Key: a, Message: "unexpected argument"})
	}
	for _, a := range splitList(f.oracle) {
		if err := registry.CheckAddress(a); err != nil {
			findings.Add(finding.Finding{Key: "-oracle", Message: err.Error()})
		}
	}
	if f.planFile != "" {
		fs.Visit(func(set *flag.Flag) {
			for _, name := range planFlags {
				if name == set.Name {
					return
				}
			}
			findings.Add(finding.Finding{Key: "-" + set.Name, Message: "is not allowed beside -plan"})
		})
	}
	return findings.Err()
}

// override replaces values of the plan by flags of the command line.
func (f *flags) override(fs *flag.FlagSet, p *load.Plan) {
	set := map[string]func(){
		"target":       func() { p.Targets = splitList(f.targets) },
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

// oracleOrNil returns the oracle, or nil without -oracle.
func (f *flags) oracleOrNil() load.Oracle {
	if f.oracle == "" {
		return nil
	}
	return load.HTTPOracle(splitList(f.oracle))
}

// splitList splits a comma-separated list; an empty text gives nil.
func splitList(text string) []string {
	if text == "" {
		return nil
	}
	return strings.Split(text, ",")
}
