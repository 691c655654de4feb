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

// Suffixes of key file names.
const (
	privateSuffix = ".private.toml"
	publicSuffix  = ".public.toml"
)

var keygenCommand = command{
	name:      "keygen",
	arguments: "",
	summary:   "generate a key pair for a signer",
	details: `Generates an Ed25519 key pair from the operating system's random source and writes two
files: NAME.private.toml, which signs bundles and is readable by its owner only, and
NAME.public.toml. Prints the settings lines that make nodes trust the signer. Existing
files are never overwritten.`,
	examples: []string{"-name aline.uwase", "-name aline.uwase -dir ~/keys"},
	setup: func(flags *flag.FlagSet) runner {
		name := flags.String("name", "", "the signer's `NAME`: a-z, 0-9, '.', '_' and '-'")
		dir := flags.String("dir", ".", "the output `DIRECTORY`")
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

// keygen generates a key pair and writes both files. If the public file cannot be written,
// it removes the private one.
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
	s.printf("# Add these lines to the settings of nodes that trust the signer:\n[[signer]]\nname = %q\nkey = %q\n", key.Name, keys.EncodePublic(key.Public))
	return nil
}
