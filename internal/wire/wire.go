// Package wire holds the typed messages between nodes and their CBOR codec (RFC 8949).
// Every message is bounded in size and nesting. Duplicate keys are rejected and unknown
// fields ignored; an unknown kind decodes to ErrUnknownKind, so that the receiver counts
// and drops it. Design: docs/DESIGN.md.
package wire

import (
	"errors"
	"fmt"
	"reflect"

	"github.com/fxamacker/cbor/v2"
)

// ProtocolVersion is the version that this build writes. A receiver drops envelopes of
// any other version.
const ProtocolVersion = 1

// Bounds of one message.
const (
	// MaxMessageBytes bounds an encoded envelope: a bundle of one megabyte, the largest
	// value that the configuration service may hold, and its framing.
	MaxMessageBytes = 1<<20 + 1<<16
	maxArray        = 1 << 16
	maxMapPairs     = 1 << 12
	maxNesting      = 8
)

// Errors of Decode. The receiver counts and drops the message and keeps the link.
var (
	ErrUnknownKind    = errors.New("unknown message kind")
	ErrUnknownVersion = errors.New("unknown protocol version")
)

// Kind is the number of a message type on the wire. Numbers are never reused.
type Kind uint16

// Message is the body of a message.
type Message interface {
	// Kind returns the type's number on the wire.
	Kind() Kind
}

// envelope is the outer frame of every message.
type envelope struct {
	Version uint8           `cbor:"1,keyasint"`
	Kind    Kind            `cbor:"2,keyasint"`
	Body    cbor.RawMessage `cbor:"3,keyasint"`
}

var (
	encMode = mustEncMode()
	decMode = mustDecMode()
	kinds   = map[Kind]reflect.Type{}
)

func mustEncMode() cbor.EncMode {
	mode, err := cbor.CoreDetEncOptions().EncMode()
	if err != nil {
		panic(err)
	}
	return mode
}

func mustDecMode() cbor.DecMode {
	mode, err := cbor.DecOptions{
		DupMapKey:        cbor.DupMapKeyEnforcedAPF,
		MaxArrayElements: maxArray,
		MaxMapPairs:      maxMapPairs,
		MaxNestedLevels:  maxNesting,
		IndefLength:      cbor.IndefLengthForbidden,
		TagsMd:           cbor.TagsForbidden,
	}.DecMode()
	if err != nil {
		panic(err)
	}
	return mode
}

// register makes a message type known to Decode. Only init functions of this package call
// it; it panics if two types have the same kind.
func register(m Message) {
	k := m.Kind()
	if _, taken := kinds[k]; taken {
		panic(fmt.Sprintf("wire: kind %d registered twice", k))
	}
	kinds[k] = reflect.TypeOf(m)
}

// Encode returns m, which must not be a pointer, in an envelope.
func Encode(m Message) ([]byte, error) {
	body, err := encMode.Marshal(m)
	if err != nil {
		return nil, fmt.Errorf("encode kind %d: %w", m.Kind(), err)
	}
	out, err := encMode.Marshal(envelope{Version: ProtocolVersion, Kind: m.Kind(), Body: body})
	if err != nil {
		return nil, fmt.Errorf("encode envelope of kind %d: %w", m.Kind(), err)
	}
	if len(out) > MaxMessageBytes {
		return nil, fmt.Errorf("encode kind %d: %d bytes are over the bound of %d", m.Kind(), len(out), MaxMessageBytes)
	}
	return out, nil
}

// Decode decodes one envelope and returns its message by value.
func Decode(data []byte) (Message, error) {
	if len(data) > MaxMessageBytes {
		return nil, fmt.Errorf("message of %d bytes is over the bound of %d", len(data), MaxMessageBytes)
	}
	var env envelope
	if err := decMode.Unmarshal(data, &env); err != nil {
		return nil, fmt.Errorf("decode envelope: %w", err)
	}
	if env.Version != ProtocolVersion {
		return nil, fmt.Errorf("%w %d", ErrUnknownVersion, env.Version)
	}
	typ, ok := kinds[env.Kind]
	if !ok {
		return nil, fmt.Errorf("%w %d", ErrUnknownKind, env.Kind)
	}
	ptr := reflect.New(typ)
	if err := decMode.Unmarshal(env.Body, ptr.Interface()); err != nil {
		return nil, fmt.Errorf("decode kind %d: %w", env.Kind, err)
	}
	return ptr.Elem().Interface().(Message), nil
}

// Marshal encodes a bare value with the codec's options, for header values and messages
// over HTTP.
func Marshal(v any) ([]byte, error) { return encMode.Marshal(v) }

// Unmarshal decodes a bare value within the codec's bounds, for header values and
// messages over HTTP.
func Unmarshal(data []byte, v any) error { return decMode.Unmarshal(data, v) }
