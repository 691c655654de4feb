package wire

import (
	"errors"
	"fmt"

	"gypsumstand/internal/model"
)

// HeaderUnreachable lists owners that the sender cannot connect to; see
// EncodeUnreachable.
const HeaderUnreachable = "Gypsum-Out-Of-Reach"

// Bounds of HeaderUnreachable.
const (
	// MaxUnreachable is the number of owners that one message may name.
	MaxUnreachable      = 8
	maxUnreachableBytes = 1024
)

// ErrBadUnreachable is returned for a malformed value of HeaderUnreachable.
var ErrBadUnreachable = errors.New("bad " + HeaderUnreachable)

// EncodeUnreachable returns the value of HeaderUnreachable for at most MaxUnreachable
// owners.
func EncodeUnreachable(ids []model.InstanceID) (string, error) {
	return encodeHeader(ids, maxUnreachableBytes)
}

// DecodeUnreachable reverses EncodeUnreachable. Errors wrap ErrBadUnreachable.
func DecodeUnreachable(s string) ([]model.InstanceID, error) {
	var ids []model.InstanceID
	if err := decodeHeader(s, maxUnreachableBytes, &ids); err != nil {
		return nil, fmt.Errorf("%w: %w", ErrBadUnreachable, err)
	}
	if len(ids) > MaxUnreachable {
		return nil, fmt.Errorf("%w: %d owners are over the bound of %d", ErrBadUnreachable, len(ids), MaxUnreachable)
	}
	return ids, nil
}
