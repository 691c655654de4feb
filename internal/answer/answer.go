// Package answer makes and checks the response bodies of the stand-in worker. A body
// identifies the request that it responds to and has a checksum, so that a caller can
// detect a truncated body, an altered one, and one of another request.
//
// A body consists of one line, filler, and a trailer of fixed length:
//
//	gypsum-answer 1 <size> <body hash> <quoted id> <quoted target>\n
//	<filler>
//	sum <16 hex digits>\n
//
// The size counts all bytes of the response body; the sum is the xxHash64 of all bytes
// before the trailer.
package answer

import (
	"bytes"
	"errors"
	"fmt"
	"strconv"

	"github.com/cespare/xxhash/v2"

	"gypsumstand/internal/model"
)

// Errors of Check, for errors.Is. Check returns the first one that applies.
var (
	// ErrTruncated: the body ends before its declared size.
	ErrTruncated = errors.New("response body is truncated")
	// ErrMalformed: the body does not have this format.
	ErrMalformed = errors.New("response body is malformed")
	// ErrAltered: the checksum does not match.
	ErrAltered = errors.New("response body is altered")
	// ErrMismatch: the body belongs to another request.
	ErrMismatch = errors.New("response body belongs to another request")
)

// MaxBytes bounds the size of a response body.
const MaxBytes = 64 << 20

const (
	magic      = "gypsum-answer 1 "
	trailerLen = len("sum ") + 16 + 1
	lineFormat = magic + "%d %016x %q %q\n"
)

// filler is repeated to fill the space between the line and the trailer.
const filler = "0123456789abcdefghijklmnopqrstuvwxyzABCDEFGHIJKLMNOPQRSTUVWXYZ-\n"

// Request holds the properties of a request that its response body repeats.
type Request struct {
	// ID is the request's id as the worker received it; empty if there was none.
	ID model.RequestID
	// Target is the path with its query. It must be unique for responses to requests
	// without an id to be told apart.
	Target string
	// BodyHash is the Hash of the request's body.
	BodyHash uint64
}

// Hash returns the hash of a request's body for Request.BodyHash.
func Hash(body []byte) uint64 { return xxhash.Sum64(body) }

// Make returns the response body for r. It has size bytes, at most MaxBytes, or more if
// the line and the trailer need them.
func Make(r Request, size int) []byte {
	size = min(size, MaxBytes)
	shortest := len(line(r, size)) + trailerLen
	for size < shortest {
		size = shortest
		shortest = len(line(r, size)) + trailerLen
	}
	out := make([]byte, 0, size)
	out = append(out, line(r, size)...)
	for len(out) < size-trailerLen {
		rest := size - trailerLen - len(out)
		out = append(out, filler[:min(rest, len(filler))]...)
	}
	return append(out, trailer(out)...)
}

func line(r Request, size int) string {
	return fmt.Sprintf(lineFormat, size, r.BodyHash, r.ID, r.Target)
}

func trailer(before []byte) string { return fmt.Sprintf("sum %016x\n", xxhash.Sum64(before)) }

// Check returns nil if body is a complete response to want, else one of the errors above.
// An empty want.ID is not compared.
func Check(body []byte, want Request) error {
	end := bytes.IndexByte(body, '\n')
	if end < 0 {
		return checkPrefix(body)
	}
	got, size, err := parseLine(body[:end])
	if err != nil {
		return err
	}
	if len(body) < size {
		return fmt.Errorf("%w: %d of %d bytes", ErrTruncated, len(body), size)
	}
	if len(body) > size || size < end+1+trailerLen {
		return fmt.Errorf("%w: %d bytes, the line declares %d", ErrMalformed, len(body), size)
	}
	split := size - trailerLen
	if string(body[split:]) != trailer(body[:split]) {
		return ErrAltered
	}
	return compare(got, want)
}

// checkPrefix distinguishes the start of a truncated response body from other data.
func checkPrefix(body []byte) error {
	n := min(len(body), len(magic))
	if string(body[:n]) == magic[:n] {
		return fmt.Errorf("%w: %d bytes, first line incomplete", ErrTruncated, len(body))
	}
	return ErrMalformed
}

func parseLine(text []byte) (r Request, size int, err error) {
	var id string
	n, err := fmt.Sscanf(string(text), magic+"%d %x %q %q", &size, &r.BodyHash, &id, &r.Target)
	if err != nil || n != 4 {
		return Request{}, 0, fmt.Errorf("%w: first line %s", ErrMalformed, strconv.Quote(string(text[:min(len(text), 80)])))
	}
	if size < 0 || size > MaxBytes {
		return Request{}, 0, fmt.Errorf("%w: size %d", ErrMalformed, size)
	}
	r.ID = model.RequestID(id)
	return r, size, nil
}

func compare(got, want Request) error {
	if want.ID != "" && got.ID != want.ID {
		return fmt.Errorf("%w: id %q, want %q", ErrMismatch, got.ID, want.ID)
	}
	if got.Target != want.Target {
		return fmt.Errorf("%w: target %q, want %q", ErrMismatch, got.Target, want.Target)
	}
	if got.BodyHash != want.BodyHash {
		return fmt.Errorf("%w: body hash %016x, want %016x", ErrMismatch, got.BodyHash, want.BodyHash)
	}
	return nil
}
