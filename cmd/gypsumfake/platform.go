package main

import (
	"context"
	"flag"
	"fmt"
	"io"
	"os"
	"time"

	"gypsumstand/internal/bundle"
	fake "gypsumstand/internal/fake/platform"
	"gypsumstand/internal/finding"
	"gypsumstand/internal/model"
	"gypsumstand/internal/registry"
)

// instancesFile is the content of the file that -instances names.
type instancesFile struct {
	Instances []instanceEntry `toml:"instance"`
}

// instanceEntry is one instance in the file.
type instanceEntry struct {
	ID          string `toml:"id"`
	Service     string `toml:"service"`
	DataCentre  string `toml:"data_centre"`
	PeerAddress string `toml:"peer_address"`
	// State is the name of a model.UpstreamState; empty means live.
	State string `toml:"state"`
}

// runPlatform executes the command platform and returns the exit code.
func runPlatform(ctx context.Context, args []string, stdout, stderr io.Writer) int {
	fs := flag.NewFlagSet("platform", flag.ContinueOnError)
	var addresses addressFlags
	var publish stringList
	addresses.define(fs, "127.0.0.1:7000", "127.0.0.1:7001")
	rate := fs.Float64("rate", fake.DefaultRatePerSecond, "calls per second over all clients; excess calls get status 429")
	lag := fs.Duration("lag", 0, "delay until the list shows a change")
	instances := fs.String("instances", "", "TOML file with [[instance]] tables: id, service, data_centre, peer_address, state")
	fs.Var(&publish, "publish", "file of a signed bundle; may be repeated")
	if code, ok := parse(fs, args, stdout, stderr); !ok {
		return code
	}
	p := fake.New(fake.Config{})
	if err := configurePlatform(p, *rate, *lag, *instances, publish); err != nil {
		fmt.Fprintln(stderr, err)
		return exitUsage
	}
	return serve(ctx, stderr, "platform", addresses, standIn{server: p.NewServer()}, p.Control())
}

// configurePlatform applies the flags to the stand-in. The error is a finding.List with the
// errors of all flags.
func configurePlatform(p *fake.Platform, rate float64, lag time.Duration, instances string, publish []string) error {
	var findings finding.List
	addFindings(&findings, p.ChangeFaults(func(f *fake.Faults) {
		f.RatePerSecond = rate
		f.ListLagMs = lag.Milliseconds()
	}))
	if instances != "" {
		addFindings(&findings, putInstances(p, instances))
	}
	for _, path := range publish {
		addFindings(&findings, publishFile(p, path))
	}
	return findings.Err()
}

// addFindings appends the findings in err, or err itself as one finding.
func addFindings(findings *finding.List, err error) {
	if list, ok := err.(finding.List); ok {
		*findings = append(*findings, list...)
		return
	}
	if err != nil {
		findings.Add(finding.Finding{Message: err.Error()})
	}
}

// putInstances adds the valid instances of the file to the list. The error is a finding.List.
func putInstances(p *fake.Platform, path string) error {
	var file instancesFile
	doc, err := readTOML(path, &file)
	if err != nil {
		return err
	}
	seen := map[string]bool{}
	for i, e := range file.Instances {
		key := fmt.Sprintf("instance[%d]", i)
		if seen[e.ID] {
			doc.Add(key+".id", "%q is a duplicate id", e.ID)
		}
		seen[e.ID] = true
		in, err := parseInstance(e)
		if faults, ok := err.(finding.List); ok {
			for _, f := range faults {
				doc.Add(key+"."+f.Key, "%s", f.Message)
			}
			continue
		}
		p.PutInstance(in)
	}
	return doc.Err()
}

// parseInstance checks an entry and converts it. The error is a finding.List.
func parseInstance(e instanceEntry) (model.Instance, error) {
	if e.State == "" {
		e.State = model.StateLive.String()
	}
	return registry.CheckEntry("", registry.InstanceEntry(e))
}

// publishFile publishes the signed bundle in a file.
func publishFile(p *fake.Platform, path string) error {
	data, err := os.ReadFile(path)
	if err != nil {
		return err
	}
	signed, err := bundle.Unmarshal(data)
	if err != nil {
		return finding.List{{File: path, Message: err.Error()}}
	}
	if _, err := p.PublishSigned(signed); err != nil {
		return finding.List{{File: path, Message: err.Error()}}
	}
	return nil
}
