// Package packed compresses signed bundles and directory configurations for the transfer
// between nodes.
package packed

import (
	"bytes"
	"compress/flate"
	"errors"
	"fmt"
	"io"
)

// ErrTooLarge is returned for a text that exceeds its bound.
var ErrTooLarge = errors.New("text exceeds its bound")

// Pack compresses raw. Only the nodes that read the platform do this, once per version; the
// other nodes forward the packed bytes. It is done beside requests: the best compression takes
// five times as long for a tenth fewer bytes.
func Pack(raw []byte) ([]byte, error) {
	var out bytes.Buffer
	w, err := flate.NewWriter(&out, flate.BestSpeed)
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

// Unpack reverses Pack. It returns ErrTooLarge if the text has more than limit bytes, or
// the packed form more than such a text can take.
func Unpack(packed []byte, limit int) ([]byte, error) {
	if len(packed) > maxPacked(limit) {
		return nil, fmt.Errorf("%d packed bytes: %w of %d bytes", len(packed), ErrTooLarge, limit)
	}
	r := flate.NewReader(bytes.NewReader(packed))
	raw, err := io.ReadAll(io.LimitReader(r, int64(limit)+1))
	if err != nil {
		return nil, fmt.Errorf("unpack: %w", err)
	}
	if len(raw) > limit {
		return nil, fmt.Errorf("unpack: %w of %d bytes", ErrTooLarge, limit)
	}
	return raw, nil
}

// maxPacked returns the largest packed size of a text of at most limit bytes: incompressible
// data grows a little.
func maxPacked(limit int) int { return limit + limit/512 }
