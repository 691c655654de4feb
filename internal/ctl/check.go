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
	summary:   "report every error in bundles or settings",
	details: `Reads TOML bundles as a node does and prints every error with file, line and key, one
per line. Given several bundles, it also reports conflicts between them: a service, or
a path and method, that two bundles define. Pass all bundles that are in force
together.`,
	examples: []string{"bundle.toml", "bundles/*.toml", "-settings node.toml"},
	setup: func(flags *flag.FlagSet) runner {
		isSettings := flags.Bool("settings", false, "check node settings files instead of bundles")
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

// checkEach calls check for every file and returns the joined errors. Errors other than
// findings are printed as warnings.
func checkEach(s *streams, paths []string, check func(*streams, string) error) error {
	var joined error
	for _, path := range paths {
		err := s.reportFindings(check(s, path))
		if err != nil && !errors.Is(err, errFindings) {
			s.warnf("%v", err)
			err = errFindings
		}
		joined = errors.Join(joined, err)
	}
	return joined
}

// checkSettings checks one settings file and prints a line if it is valid.
func checkSettings(s *streams, path string) error {
	node, err := settings.Load(path)
	if err != nil {
		return err
	}
	s.printf("%s: valid: instance %s of service %s in %s\n", path, node.Instance, node.Service, node.DataCentre)
	return nil
}

// checkBundles checks each bundle, then the valid ones for conflicts with each other.
func checkBundles(s *streams, paths []string) error {
	var valid []*source
	err := checkEach(s, paths, func(s *streams, path string) error {
		src, err := readBundle(path)
		if err != nil {
			return err
		}
		valid = append(valid, src)
		s.printf("%s: valid: %s, %d services, %d classes, %d tenants\n", path, src.bundle.VersionID(),
			len(src.bundle.Services), len(src.bundle.Classes), len(src.bundle.Tenants))
		return nil
	})
	return errors.Join(err, checkConflicts(s, valid))
}

// checkConflicts reports conflicts between the bundles with file, line and column.
func checkConflicts(s *streams, sources []*source) error {
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
	return s.reportFindings(findings.Err())
}
