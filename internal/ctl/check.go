package ctl

import (
	"context"
	"errors"
	"flag"

	"gypsumstand/internal/bundle"
	"gypsumstand/internal/settings"
	"gypsumstand/internal/tomlfile"
)

var checkCommand = command{
	name:      "check",
	arguments: "FILE...",
	summary:   "find every fault of bundles or settings",
	details: `Reads bundles in TOML as a node would and prints every fault with file, line and
key, one a line. Of several bundles it also finds what they contradict each other
in: the same service, or the same path and method, in two of them. Give all bundles
that are in force together.`,
	examples: []string{"bundle.toml", "bundles/*.toml", "-settings node.toml"},
	setup: func(flags *flag.FlagSet) runner {
		isSettings := flags.Bool("settings", false, "the files are nodes' settings")
		return func(_ context.Context, s *streams, args []string) error {
			if len(args) == 0 {
				return usagef("no FILE given")
			}
			if *isSettings {
				return checkEach(s, args, checkSettings)
			}
			return checkBundles(s, args)
		}
	},
}

// checkEach checks all files and fails when any does.
func checkEach(s *streams, paths []string, check func(*streams, string) error) error {
	var failed error
	for _, path := range paths {
		err := s.report(check(s, path))
		if err != nil && !errors.Is(err, errFindings) {
			s.warnf("%v", err)
			err = errFindings
		}
		failed = errors.Join(failed, err)
	}
	return failed
}

func checkSettings(s *streams, path string) error {
	node, err := settings.Load(path)
	if err != nil {
		return err
	}
	s.printf("%s: sound: instance %s of service %s in %s\n", path, node.Instance, node.Service, node.DataCentre)
	return nil
}

func checkBundles(s *streams, paths []string) error {
	var sound []*source
	failed := checkEach(s, paths, func(s *streams, path string) error {
		src, err := readBundle(path)
		if err != nil {
			return err
		}
		sound = append(sound, src)
		s.printf("%s: sound: %s, %d services, %d classes, %d tenants\n", path, src.bundle.VersionID(),
			len(src.bundle.Services), len(src.bundle.Classes), len(src.bundle.Tenants))
		return nil
	})
	return errors.Join(failed, checkTogether(s, sound))
}

// checkTogether reports what the bundles contradict each other in, at the place
// in the file.
func checkTogether(s *streams, sources []*source) error {
	bundles := make([]*bundle.Bundle, len(sources))
	files := make(map[string]*source, len(sources))
	for i, src := range sources {
		bundles[i] = src.bundle
		files[src.bundle.VersionID().String()] = src
	}
	findings := bundle.CheckSet(bundles)
	for i := range findings {
		f := &findings[i]
		if src := files[f.File]; src != nil {
			f.File = src.path
			f.Line, f.Column = tomlfile.Position(src.data, f.Key)
		}
	}
	return s.report(findings.Err())
}
