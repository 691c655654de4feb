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
	summary:   "check and sign a bundle",
	details: `Checks a TOML bundle as "check" does and, if it is valid, signs its exact bytes with the
name and key of the private key file. Writes the signed bundle that the platform
publishes. With -previous, the bundle must be a newer version of the given one, and the
changes between them are printed.`,
	examples: []string{
		"-key aline.uwase.private.toml bundle.toml",
		"-key aline.uwase.private.toml -previous last.signed -out next.signed bundle.toml",
	},
	setup: func(flags *flag.FlagSet) runner {
		keyPath := flags.String("key", "", "the private key `FILE`")
		out := flags.String("out", "", "the output `FILE`; default: BUNDLE with the suffix .signed instead of .toml")
		previous := flags.String("previous", "", "the bundle `FILE` to be replaced, signed or in TOML")
		return func(_ context.Context, s *streams, args []string) error {
			if len(args) != 1 {
				return usagef("want one BUNDLE, got %d", len(args))
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

// sign checks the bundle at path, signs it and writes it to out.
func sign(s *streams, path, keyPath, previous, out string) error {
	src, err := readBundle(path)
	if err != nil {
		return s.reportFindings(err)
	}
	if previous != "" {
		if err := checkSuccessor(s, previous, src); err != nil {
			return s.reportFindings(err)
		}
	}
	key, exposed, err := keys.LoadPrivate(keyPath)
	if err != nil {
		return s.reportFindings(err)
	}
	if exposed {
		s.warnf("warning: %s is readable by users other than its owner", keyPath)
	}
	data, err := key.Sign(src.data).Marshal()
	if err != nil {
		return err
	}
	if err := writeFile(out, data); err != nil {
		return err
	}
	s.printf("%s: %s signed by %s\n", out, src.bundle.VersionID(), key)
	return nil
}

// checkSuccessor returns an error if nodes that run the previous bundle would reject next:
// it must have the same name and a higher version. It prints the changes.
func checkSuccessor(s *streams, previous string, next *source) error {
	old, err := readSignedOrTOML(previous)
	if err != nil {
		return err
	}
	if old.bundle.Name != next.bundle.Name {
		return fmt.Errorf("%s is bundle %s, but %s is bundle %s", previous, old.bundle.Name, next.path, next.bundle.Name)
	}
	if old.bundle.Version >= next.bundle.Version {
		return fmt.Errorf("version %d of %s is not newer than %s", next.bundle.Version, next.path, old.bundle.VersionID())
	}
	writeChanges(s, old, next)
	return nil
}
