package ctl

import (
	"context"
	"flag"

	"gypsumstand/internal/bundle"
	"gypsumstand/internal/keys"
	"gypsumstand/internal/settings"
)

var verifyCommand = command{
	name:      "verify",
	arguments: "SIGNED...",
	summary:   "verify signed bundles as a node does",
	details: `Verifies the signature of each signed bundle against the trusted signers and then checks
the bundle. The trusted signers come from a node's settings, from public key files, or
from both.`,
	examples: []string{"-settings node.toml bundle.signed", "-key aline.uwase.public.toml bundle.signed"},
	setup: func(flags *flag.FlagSet) runner {
		settingsPath := flags.String("settings", "", "trust the signers of this settings `FILE`")
		var keyPaths []string
		flags.Func("key", "trust the signer of this public key `FILE`; may be repeated", func(path string) error {
			keyPaths = append(keyPaths, path)
			return nil
		})
		return func(_ context.Context, s *streams, args []string) error {
			if len(args) == 0 {
				return usagef("no SIGNED given")
			}
			if *settingsPath == "" && len(keyPaths) == 0 {
				return usagef("-settings or -key is required to name trusted signers")
			}
			trusted, err := trustedSigners(*settingsPath, keyPaths)
			if err != nil {
				return s.reportFindings(err)
			}
			return checkEach(s, args, func(s *streams, path string) error { return verify(s, path, trusted) })
		}
	},
}

// trustedSigners returns the signers of the settings file and of the key files.
func trustedSigners(settingsPath string, keyPaths []string) ([]bundle.Signer, error) {
	var trusted []bundle.Signer
	if settingsPath != "" {
		node, err := settings.Load(settingsPath)
		if err != nil {
			return nil, err
		}
		trusted = append(trusted, node.TrustedSigners()...)
	}
	for _, path := range keyPaths {
		key, _, err := keys.Load(path)
		if err != nil {
			return nil, err
		}
		trusted = append(trusted, key.Signer())
	}
	return trusted, nil
}

// verify checks the signature and content of one signed bundle.
func verify(s *streams, path string, trusted []bundle.Signer) error {
	data, err := readFile(path, bundle.MaxBytes)
	if err != nil {
		return err
	}
	b, err := bundle.Open(path, data, trusted)
	if err != nil {
		return withPath(path, err)
	}
	signed, err := bundle.Unmarshal(data)
	if err != nil {
		return withPath(path, err)
	}
	s.printf("%s: %s, signed by %s\n", path, b.VersionID(), signed.Signer)
	return nil
}
