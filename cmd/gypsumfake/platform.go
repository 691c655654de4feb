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

// instancesFile is the file of the flag -instances.
type instancesFile struct {
	Instances []instanceEntry `toml:"instance"`
}

// instanceEntry is one instance of the file.
type instanceEntry struct {
	ID          string `toml:"id"`
	Service     string `toml:"service"`
	DataCentre  string `toml:"data_centre"`
	PeerAddress string `toml:"peer_address"`
	// State is a name of model.UpstreamState; empty means live.
	State string `toml:"state"`
}

func runPlatform(ctx context.Context, args []string, stdout, stderr io.Writer) int {
	fs := flag.NewFlagSet("platform", flag.ContinueOnError)
	var at ports
	var publish list
	at.define(fs, "127.0.0.1:7000", "127.0.0.1:7001")
	rate := fs.Float64("rate", fake.DefaultRatePerSecond, "calls a second over all readers; over it 429")
	lag := fs.Duration("lag", 0, "how late the list shows changes")
	instances := fs.String("instances", "", "TOML file with [[instance]] tables: id, service, data_centre, peer_address, state")
	fs.Var(&publish, "publish", "file of a signed bundle; may be given several times")
	if code, ok := parse(fs, args, stdout, stderr); !ok {
		return code
	}
	p := fake.New(fake.Config{})
	if err := fillPlatform(p, *rate, *lag, *instances, publish); err != nil {
		fmt.Fprintln(stderr, err)
		return exitUsage
	}
	return serve(ctx, stderr, "platform", at, part{server: p.NewServer()}, p.Control())
}

// fillPlatform gives the stand-in what the flags name. The error is a
// finding.List with the faults of all of them.
func fillPlatform(p *fake.Platform, rate float64, lag time.Duration, instances string, publish []string) error {
	var findings finding.List
	collect(&findings, p.ChangeFaults(func(f *fake.Faults) {
		f.RatePerSecond = rate
		f.ListLagMs = lag.Milliseconds()
	}))
	if instances != "" {
		collect(&findings, putInstances(p, instances))
	}
	for _, path := range publish {
		collect(&findings, publishFile(p, path))
	}
	return findings.Err()
}

// collect adds err's findings, or err as one.
func collect(findings *finding.List, err error) {
	if list, ok := err.(finding.List); ok {
		*findings = append(*findings, list...)
		return
	}
	if err != nil {
		findings.Add(finding.Finding{Message: err.Error()})
	}
}

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
			doc.Add(key+".id", "%q stands there twice", e.ID)
		}
		seen[e.ID] = true
		in, err := checkInstance(e)
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

func checkInstance(e instanceEntry) (model.Instance, error) {
	if e.State == "" {
		e.State = model.StateLive.String()
	}
	return registry.CheckEntry("", registry.InstanceEntry(e))
}

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
