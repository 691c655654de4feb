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

// publicFileMode is the mode of files that every user may read.
const publicFileMode = 0o644

// readFile reads a file and returns an error if it is larger than limit bytes.
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
		return nil, fmt.Errorf("%s: file exceeds the limit of %d bytes", path, limit)
	}
	return data, nil
}

// writeFile replaces a file atomically: it writes a temporary file in the same directory
// and renames it.
func writeFile(path string, data []byte) error {
	f, err := os.CreateTemp(filepath.Dir(path), ".gypsumctl-*")
	if err != nil {
		return err
	}
	_, err = f.Write(data)
	err = errors.Join(err, f.Chmod(publicFileMode), f.Sync(), f.Close())
	if err == nil {
		err = os.Rename(f.Name(), path)
	}
	if err != nil {
		return errors.Join(err, os.Remove(f.Name()))
	}
	return nil
}

// source is a parsed bundle with its TOML text, its path and, if it was signed, its signer.
type source struct {
	path   string
	data   []byte
	signer string
	bundle *bundle.Bundle
}

// readBundle reads and checks a TOML bundle.
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

// readSignedOrTOML reads a signed bundle or a TOML bundle. It does not verify signatures.
func readSignedOrTOML(path string) (*source, error) {
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

// reportFindings prints the findings in err and returns errFindings. It returns any other
// error unchanged.
func (s *streams) reportFindings(err error) error {
	var list finding.List
	if !errors.As(err, &list) {
		return err
	}
	for _, f := range list {
		s.printf("%s\n", f)
	}
	return errFindings
}

// withPath prefixes err with the path. Findings already contain it and are returned
// unchanged.
func withPath(path string, err error) error {
	var list finding.List
	if errors.As(err, &list) {
		return err
	}
	return fmt.Errorf("%s: %w", path, err)
}
