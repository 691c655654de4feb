// Package answer makes and checks the bodies that the stand-in worker answers
// with. A body says which request it answers and carries a checksum, so that a
// caller can tell a cut answer, an altered one, and another request's.
//
// A body is one line, filler, and a trailer of fixed length:
//
//	gypsum-answer 1 <size> <body hash> <quoted id> <quoted target>\n
//	<filler>
//	sum <16 hex digits>\n
//
// The size counts all bytes of the answer; the sum is the xxHash64 of all bytes
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

// Errors of Check, for errors.Is. A fault is told by the first that fits.
var (
	// ErrTruncated: the body ends before its declared size.
	ErrTruncated = errors.New("answer is cut short")
	// ErrMalformed: the body is not of this format at all.
	ErrMalformed = errors.New("answer is malformed")
	// ErrAltered: the checksum does not fit.
	ErrAltered = errors.New("answer is altered")
	// ErrMismatch: the body answers another request.
	ErrMismatch = errors.New("answer belongs to another request")
)

// MaxBytes bounds an answer.
const MaxBytes = 64 << 20

const (
	magic      = "gypsum-answer 1 "
	trailerLen = len("sum ") + 16 + 1
	lineFormat = magic + "%d %016x %q %q\n"
)

// filler is what the space between line and trailer is filled with.
const filler = "0123456789abcdefghijklmnopqrstuvwxyzABCDEFGHIJKLMNOPQRSTUVWXYZ-\n"

// Request is what an answer says of the request that it answers.
type Request struct {
	// ID is the request's id as the worker got it; empty when it got none.
	ID model.RequestID
	// Target is the path with its query. A caller that wants answers to requests
	// without an id checked makes it unique.
	Target string
	// BodyHash is the Hash of the request's body.
	BodyHash uint64
}

// Hash returns the hash of a request's body that Request.BodyHash wants.
func Hash(body []byte) uint64 { return xxhash.Sum64(body) }

// Make returns the answer to r. It is of size bytes, or longer when the line and
// the trailer need more; size is bounded by MaxBytes.
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

// Check returns nil when body is a whole answer to want, else one of the errors
// above. An empty want.ID is not compared.
func Check(body []byte, want Request) error {
	end := bytes.IndexByte(body, '\n')
	if end < 0 {
		return withoutLine(body)
	}
	got, size, err := parseLine(body[:end])
	if err != nil {
		return err
	}
	if len(body) < size {
		return fmt.Errorf("%w: %d of %d bytes", ErrTruncated, len(body), size)
	}
	if len(body) > size || size < end+1+trailerLen {
		return fmt.Errorf("%w: %d bytes, the line says %d", ErrMalformed, len(body), size)
	}
	split := size - trailerLen
	if string(body[split:]) != trailer(body[:split]) {
		return ErrAltered
	}
	return compare(got, want)
}

// withoutLine tells a start of an answer from something else.
func withoutLine(body []byte) error {
	n := min(len(body), len(magic))
	if string(body[:n]) == magic[:n] {
		return fmt.Errorf("%w: %d bytes, no whole line", ErrTruncated, len(body))
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
		return fmt.Errorf("%w: of id %q, want %q", ErrMismatch, got.ID, want.ID)
	}
	if got.Target != want.Target {
		return fmt.Errorf("%w: to %q, want %q", ErrMismatch, got.Target, want.Target)
	}
	if got.BodyHash != want.BodyHash {
		return fmt.Errorf("%w: to a body of hash %016x, want %016x", ErrMismatch, got.BodyHash, want.BodyHash)
	}
	return nil
}
