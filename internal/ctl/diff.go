package ctl

import (
	"context"
	"encoding/json"
	"flag"

	"gypsumstand/internal/bundle"
)

var diffCommand = command{
	name:      "diff",
	arguments: "OLD NEW",
	summary:   "list the changes between two versions of a bundle",
	details: `Compares two bundles, each signed or in TOML, and prints one sentence per change.
Signatures are not verified: use "verify" for that. The exit code is 0 whether or not
the bundles differ.`,
	examples: []string{"last.signed bundle.toml", "-json last.signed next.signed"},
	setup: func(flags *flag.FlagSet) runner {
		asJSON := flags.Bool("json", false, "print the changes as a JSON list")
		return func(_ context.Context, s *streams, args []string) error {
			if len(args) != 2 {
				return usagef("want two files, OLD and NEW, got %d", len(args))
			}
			return diff(s, args[0], args[1], *asJSON)
		}
	},
}

// diff prints the changes from oldPath to newPath.
func diff(s *streams, oldPath, newPath string, asJSON bool) error {
	old, err := readSignedOrTOML(oldPath)
	if err != nil {
		return s.reportFindings(err)
	}
	next, err := readSignedOrTOML(newPath)
	if err != nil {
		return s.reportFindings(err)
	}
	if asJSON {
		return writeChangesJSON(s, old, next)
	}
	writeChanges(s, old, next)
	return nil
}

func writeChanges(s *streams, old, next *source) {
	changes := bundle.Diff(old.bundle, next.bundle)
	if len(changes) == 0 {
		s.printf("No change.\n")
	}
	for _, c := range changes {
		s.printf("%s\n", c.Sentence)
	}
}

// changeJSON is the JSON form of one change.
type changeJSON struct {
	Subject   string `json:"subject"`
	Operation string `json:"operation"`
	Name      string `json:"name"`
	Field     string `json:"field"`
	Old       string `json:"old"`
	New       string `json:"new"`
	Sentence  string `json:"sentence"`
}

func writeChangesJSON(s *streams, old, next *source) error {
	out := []changeJSON{}
	for _, c := range bundle.Diff(old.bundle, next.bundle) {
		out = append(out, changeJSON{
			Subject: c.Subject.String(), Operation: c.Operation.String(), Name: c.Name,
			Field: c.Field, Old: c.Old, New: c.New, Sentence: c.Sentence,
		})
	}
	encoder := json.NewEncoder(s.out)
	encoder.SetIndent("", "  ")
	return encoder.Encode(out)
}
