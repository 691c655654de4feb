package wire

import (
	"errors"
	"fmt"

	"gypsumstand/internal/model"
)

// HeaderLost names owners that the sender cannot connect to; see EncodeLost.
const HeaderLost = "Gypsum-Out-Of-Reach"

// Bounds of HeaderLost's value.
const (
	// MaxLost is the number of owners that one message names.
	MaxLost      = 8
	maxLostBytes = 1024
)

// ErrBadLost says that HeaderLost's value is malformed.
var ErrBadLost = errors.New("bad " + HeaderLost)

// EncodeLost returns HeaderLost's value for at most MaxLost owners.
func EncodeLost(ids []model.InstanceID) (string, error) {
	return encodeHeader(ids, maxLostBytes)
}

// DecodeLost reads what EncodeLost writes.
func DecodeLost(s string) ([]model.InstanceID, error) {
	var ids []model.InstanceID
	if err := decodeHeader(s, maxLostBytes, &ids); err != nil {
		return nil, fmt.Errorf("%w: %w", ErrBadLost, err)
	}
	if len(ids) > MaxLost {
		return nil, fmt.Errorf("%w: %d owners are over the bound of %d", ErrBadLost, len(ids), MaxLost)
	}
	return ids, nil
}
