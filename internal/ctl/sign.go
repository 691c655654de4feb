package ctl

import (
	"context"
	"flag"
	"fmt"
	"strings"

	"gypsumstand/internal/keys"
)

const signedSuffix = ".signed"

var signCommand = command{
	name:      "sign",
	arguments: "BUNDLE",
	summary:   "check a bundle and sign it off",
	details: `Checks a bundle in TOML as "check" does and, when it is sound, signs its exact bytes
off in the name that the private key file holds. Writes the signed bundle that the
platform publishes. With -previous the bundle must be a newer version of that one,
and what changes for whom is printed.`,
	examples: []string{
		"-key aline.uwase.private.toml bundle.toml",
		"-key aline.uwase.private.toml -previous last.signed -out next.signed bundle.toml",
	},
	setup: func(flags *flag.FlagSet) runner {
		keyPath := flags.String("key", "", "the private key `FILE`")
		out := flags.String("out", "", "the `FILE` to write; default: BUNDLE with .signed in place of .toml")
		previous := flags.String("previous", "", "the bundle `FILE` that this one replaces, signed or in TOML")
		return func(_ context.Context, s *streams, args []string) error {
			if len(args) != 1 {
				return usagef("want one BUNDLE, found %d", len(args))
			}
			if *keyPath == "" {
				return usagef("-key is missing")
			}
			if *out == "" {
				*out = strings.TrimSuffix(args[0], ".toml") + signedSuffix
			}
			return sign(s, args[0], *keyPath, *previous, *out)
		}
	},
}

func sign(s *streams, path, keyPath, previous, out string) error {
	src, err := readBundle(path)
	if err != nil {
		return s.report(err)
	}
	if previous != "" {
		if err := checkSuccession(s, previous, src); err != nil {
			return s.report(err)
		}
	}
	key, exposed, err := keys.LoadPrivate(keyPath)
	if err != nil {
		return s.report(err)
	}
	if exposed {
		s.warnf("warning: others than its owner may read %s", keyPath)
	}
	data, err := key.Sign(src.data).Marshal()
	if err != nil {
		return err
	}
	if err := writeFile(out, data); err != nil {
		return err
	}
	s.printf("%s: %s signed off by %s\n", out, src.bundle.VersionID(), key)
	return nil
}

// checkSuccession refuses a bundle that nodes with the previous one would
// refuse, and prints what it changes.
func checkSuccession(s *streams, previous string, next *source) error {
	old, err := readEither(previous)
	if err != nil {
		return err
	}
	if old.bundle.Name != next.bundle.Name {
		return fmt.Errorf("%s is bundle %s, %s is bundle %s", previous, old.bundle.Name, next.path, next.bundle.Name)
	}
	if old.bundle.Version >= next.bundle.Version {
		return fmt.Errorf("version %d of %s is not newer than %s", next.bundle.Version, next.path, old.bundle.VersionID())
	}
	writeChanges(s, old, next)
	return nil
}
