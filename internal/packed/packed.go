// Package packed compresses what operators write, for passing on between nodes:
// signed bundles and a directory's configuration.
package packed

import (
	"bytes"
	"compress/flate"
	"fmt"
	"io"

	"gypsumstand/internal/bundle"
)

// MaxBytes bounds one packed body: incompressible bytes grow a little.
const MaxBytes = bundle.MaxBytes + bundle.MaxBytes/512

// Pack compresses a text for passing on. It is done once per version, by
// the nodes that read the platform; others pass on what they got.
func Pack(raw []byte) ([]byte, error) {
	var out bytes.Buffer
	w, err := flate.NewWriter(&out, flate.BestCompression)
	if err != nil {
		return nil, fmt.Errorf("pack: %w", err)
	}
	if _, err := w.Write(raw); err != nil {
		return nil, fmt.Errorf("pack: %w", err)
	}
	if err := w.Close(); err != nil {
		return nil, fmt.Errorf("pack: %w", err)
	}
	return out.Bytes(), nil
}

// Unpack reverses Pack and refuses more than the bound.
func Unpack(packed []byte) ([]byte, error) {
	if len(packed) > MaxBytes {
		return nil, fmt.Errorf("%d packed bytes: %w", len(packed), bundle.ErrTooLarge)
	}
	r := flate.NewReader(bytes.NewReader(packed))
	raw, err := io.ReadAll(io.LimitReader(r, bundle.MaxBytes+1))
	if err != nil {
		return nil, fmt.Errorf("unpack: %w", err)
	}
	if len(raw) > bundle.MaxBytes {
		return nil, fmt.Errorf("unpack: %w", bundle.ErrTooLarge)
	}
	return raw, nil
}
