package ctl

import (
	"errors"
	"fmt"
	"io"
	"os"
	"path/filepath"

	"gypsumstand/internal/bundle"
	"gypsumstand/internal/finding"
)

// publishedMode is the mode of files that anyone may read.
const publishedMode = 0o644

// readFile reads a file of at most limit bytes.
func readFile(path string, limit int) ([]byte, error) {
	f, err := os.Open(path)
	if err != nil {
		return nil, err
	}
	defer f.Close()
	data, err := io.ReadAll(io.LimitReader(f, int64(limit)+1))
	if err != nil {
		return nil, err
	}
	if len(data) > limit {
		return nil, fmt.Errorf("%s: over the bound of %d bytes", path, limit)
	}
	return data, nil
}

// writeFile replaces a file whole or not at all.
func writeFile(path string, data []byte) error {
	f, err := os.CreateTemp(filepath.Dir(path), ".gypsumctl-*")
	if err != nil {
		return err
	}
	_, err = f.Write(data)
	err = errors.Join(err, f.Chmod(publishedMode), f.Sync(), f.Close())
	if err == nil {
		err = os.Rename(f.Name(), path)
	}
	if err != nil {
		return errors.Join(err, os.Remove(f.Name()))
	}
	return nil
}

// source is a bundle's TOML with where it came from.
type source struct {
	path   string
	data   []byte
	signer string
	bundle *bundle.Bundle
}

// readBundle reads and checks a bundle in TOML.
func readBundle(path string) (*source, error) {
	data, err := readFile(path, bundle.MaxBytes)
	if err != nil {
		return nil, err
	}
	b, err := bundle.Parse(path, data)
	if err != nil {
		return nil, err
	}
	return &source{path: path, data: data, bundle: b}, nil
}

// readEither reads a bundle in TOML or a signed one, whose signature is not
// verified.
func readEither(path string) (*source, error) {
	data, err := readFile(path, bundle.MaxBytes)
	if err != nil {
		return nil, err
	}
	signed, err := bundle.Unmarshal(data)
	if err != nil {
		return readBundle(path)
	}
	b, err := bundle.Parse(path, signed.Bundle)
	if err != nil {
		return nil, err
	}
	return &source{path: path, data: signed.Bundle, signer: signed.Signer, bundle: b}, nil
}

// report prints the findings of err and returns errFindings; other errors are
// returned as they are.
func (s *streams) report(err error) error {
	var list finding.List
	if !errors.As(err, &list) {
		return err
	}
	for _, f := range list {
		s.printf("%s\n", f)
	}
	return errFindings
}

// named adds the path to an error that does not name it; findings name their
// file already.
func named(path string, err error) error {
	var list finding.List
	if errors.As(err, &list) {
		return err
	}
	return fmt.Errorf("%s: %w", path, err)
}
