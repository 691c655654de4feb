package wire

import (
	"errors"
	"fmt"

	"gypsumstand/internal/model"
)

// HeaderUnreachable names owners that the sender cannot connect to; see EncodeUnreachable.
const HeaderUnreachable = "Gypsum-Out-Of-Reach"

// Bounds of HeaderUnreachable's value.
const (
	// MaxUnreachable is the number of owners that one message names.
	MaxUnreachable = 8
	maxLostBytes   = 1024
)

// ErrBadUnreachable says that HeaderUnreachable's value is malformed.
var ErrBadUnreachable = errors.New("bad " + HeaderUnreachable)

// EncodeUnreachable returns HeaderUnreachable's value for at most MaxUnreachable owners.
func EncodeUnreachable(ids []model.InstanceID) (string, error) {
	return encodeHeader(ids, maxLostBytes)
}

// DecodeUnreachable reads what EncodeUnreachable writes.
func DecodeUnreachable(s string) ([]model.InstanceID, error) {
	var ids []model.InstanceID
	if err := decodeHeader(s, maxLostBytes, &ids); err != nil {
		return nil, fmt.Errorf("%w: %w", ErrBadUnreachable, err)
	}
	if len(ids) > MaxUnreachable {
		return nil, fmt.Errorf("%w: %d owners are over the bound of %d", ErrBadUnreachable, len(ids), MaxUnreachable)
	}
	return ids, nil
}
