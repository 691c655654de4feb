package main

import (
	"context"
	"flag"
	"fmt"
	"io"
	"time"

	"gypsumstand/internal/fake/worker"
	"gypsumstand/internal/finding"
	"gypsumstand/internal/registry"
)

// profilesFile is the content of the file that -profiles names.
type profilesFile struct {
	Profiles []worker.Profile `toml:"profile"`
}

// workerFlags holds the flags of the command worker.
type workerFlags struct {
	addressFlags
	slots        int
	connections  int
	connectDelay time.Duration
	queueLimit   int
	queueWait    time.Duration
	profiles     string
	mean         time.Duration
	distribution string
	sigma        float64
	size         int
	node         string
	seed         uint64
	cold         worker.ColdMode
}

func (f *workerFlags) define(fs *flag.FlagSet) {
	f.addressFlags.define(fs, "127.0.0.1:9000", "127.0.0.1:9001")
	fs.IntVar(&f.slots, "slots", worker.DefaultSlots, "number of requests that run concurrently")
	fs.IntVar(&f.connections, "connections", 260, "limit of open connections; excess ones are closed; 0 means no limit")
	fs.DurationVar(&f.connectDelay, "connect-delay", time.Millisecond, "delay of a new connection")
	fs.IntVar(&f.queueLimit, "queue-limit", 64, "limit of requests that wait for a slot; excess ones are shed; -1 means no queue")
	fs.DurationVar(&f.queueWait, "queue-wait", time.Second, "maximum wait for a slot")
	fs.StringVar(&f.profiles, "profiles", "", "TOML file with [[profile]] tables: path, distribution, mean_ms, sigma, size_bytes, next")
	fs.DurationVar(&f.mean, "mean", 0, "mean service time of paths without a profile")
	fs.StringVar(&f.distribution, "distribution", string(worker.Constant), "constant, exponential or lognormal")
	fs.Float64Var(&f.sigma, "sigma", 0.5, "standard deviation of the logarithm, for lognormal")
	fs.IntVar(&f.size, "size", 0, "response size in bytes of paths without a profile")
	fs.StringVar(&f.node, "node", "", "ip:port of the node for calls to other services; empty means no such calls")
	fs.Uint64Var(&f.seed, "seed", 0, "seed of service times and random faults")
	fs.TextVar(&f.cold, "cold", worker.ColdNone, "start cold: none, refuse or shed; PATCH /faults changes it")
}

// runWorker executes the command worker and returns the exit code.
func runWorker(ctx context.Context, args []string, stdout, stderr io.Writer) int {
	fs := flag.NewFlagSet("worker", flag.ContinueOnError)
	var f workerFlags
	f.define(fs)
	if code, ok := parse(fs, args, stdout, stderr); !ok {
		return code
	}
	w, err := f.newWorker()
	if err != nil {
		fmt.Fprintln(stderr, err)
		return exitUsage
	}
	return serve(ctx, stderr, "worker", f.addressFlags, standIn{worker: w, flags: &f}, w.Control())
}

// newWorker creates the stand-in from the flags. The error is a finding.List.
func (f *workerFlags) newWorker() (*worker.Worker, error) {
	var findings finding.List
	if f.node != "" {
		addFindings(&findings, registry.CheckAddress(f.node))
	}
	if f.connections < 0 {
		findings.Add(finding.Finding{Key: "connections", Message: "must not be negative"})
	}
	profiles, err := readProfiles(f.profiles)
	addFindings(&findings, err)
	if err := findings.Err(); err != nil {
		return nil, err
	}
	return worker.New(worker.Config{
		Slots:      f.slots,
		QueueLimit: f.queueLimit,
		QueueMs:    f.queueWait.Milliseconds(),
		Profiles:   append(profiles, f.defaultProfile()),
		Seed:       f.seed,
		Node:       f.node,
	})
}

// defaultProfile returns the profile of paths that have none in the file.
func (f *workerFlags) defaultProfile() worker.Profile {
	return worker.Profile{
		Path:         "/",
		Distribution: worker.Distribution(f.distribution),
		MeanMs:       f.mean.Seconds() * 1000,
		Sigma:        f.sigma,
		SizeBytes:    f.size,
	}
}

// readProfiles reads the profiles from a file. An empty path gives no profiles. The error is
// a finding.List.
func readProfiles(path string) ([]worker.Profile, error) {
	if path == "" {
		return nil, nil
	}
	var file profilesFile
	doc, err := readTOML(path, &file)
	if err != nil {
		return nil, err
	}
	for i := range file.Profiles {
		key := fmt.Sprintf("profile[%d].", i)
		file.Profiles[i].Check(func(field, message string) {
			if !doc.Rejected(key + field) {
				doc.Add(key+field, "%s", message)
			}
		})
	}
	return file.Profiles, doc.Err()
}
