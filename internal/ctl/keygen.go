package ctl

import (
	"context"
	"errors"
	"flag"
	"os"
	"path/filepath"

	"gypsumstand/internal/keys"
	"gypsumstand/internal/tomlfile"
)

// Ends of key file names.
const (
	privateSuffix = ".private.toml"
	publicSuffix  = ".public.toml"
)

var keygenCommand = command{
	name:      "keygen",
	arguments: "",
	summary:   "make a signer's key",
	details: `Makes an Ed25519 key from the operating system's randomness and writes two files:
NAME.private.toml, readable by its owner only, which signs bundles off, and
NAME.public.toml. Prints the lines that nodes' settings need to trust the signer.
Files that exist are never replaced.`,
	examples: []string{"-name aline.uwase", "-name aline.uwase -dir ~/keys"},
	setup: func(flags *flag.FlagSet) runner {
		name := flags.String("name", "", "the signer's `NAME`: a-z, 0-9, '.', '_' and '-'")
		dir := flags.String("dir", ".", "the `DIRECTORY` to write to")
		return func(_ context.Context, s *streams, args []string) error {
			if len(args) > 0 {
				return usagef("unexpected argument %q", args[0])
			}
			if !tomlfile.ValidName(*name) {
				return usagef("-name %s", tomlfile.NameRule)
			}
			return keygen(s, *name, *dir)
		}
	},
}

func keygen(s *streams, name, dir string) error {
	key, err := keys.Generate(name, nil)
	if err != nil {
		return err
	}
	private := filepath.Join(dir, name+privateSuffix)
	public := filepath.Join(dir, name+publicSuffix)
	if err := key.WritePrivate(private); err != nil {
		return err
	}
	if err := key.WritePublic(public); err != nil {
		return errors.Join(err, os.Remove(private))
	}
	s.printf("# %s\n# private key: %s (keep it secret)\n# public key: %s\n", key, private, public)
	s.printf("# Nodes trust the signer with these lines in their settings:\n[[signer]]\nname = %q\nkey = %q\n", key.Name, keys.EncodePublic(key.Public))
	return nil
}
