// Package packed compresses signed bundles and directory configurations for the transfer
// between nodes.
package packed

import (
	"bytes"
	"compress/flate"
	"fmt"
	"io"

	"gypsumstand/internal/bundle"
)

// MaxBytes is the maximum size of a packed body. It exceeds bundle.MaxBytes because
// incompressible data grows a little.
const MaxBytes = bundle.MaxBytes + bundle.MaxBytes/512

// Pack compresses raw. Only the nodes that read the platform do this, once per version; the
// other nodes forward the packed bytes.
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

// Unpack reverses Pack. It returns bundle.ErrTooLarge if the packed or the unpacked size
// exceeds its limit.
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
