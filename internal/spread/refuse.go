package spread

import (
	"errors"
	"time"

	"github.com/cespare/xxhash/v2"

	"gypsumstand/internal/bundle"
	"gypsumstand/internal/finding"
	"gypsumstand/internal/model"
)

// Reason is why a body was refused.
type Reason uint8

// The reasons, in the order of the checks.
const (
	ReasonTooLarge Reason = iota
	ReasonMalformed
	ReasonUnsigned
	ReasonUnknownSigner
	ReasonAltered
	ReasonContradictory
	ReasonWrongName
	ReasonOlder
	ReasonConflict
	reasonCount
)

var reasonNames = [reasonCount]string{
	"too large", "malformed", "unsigned", "unknown signer", "altered",
	"contradictory", "wrong name", "older", "conflict",
}

// String returns the reason's name for logs and metrics.
func (r Reason) String() string {
	if r < reasonCount {
		return reasonNames[r]
	}
	return "invalid"
}

// Reasons returns all reasons, for metrics.
func Reasons() []Reason {
	all := make([]Reason, reasonCount)
	for i := range all {
		all[i] = Reason(i)
	}
	return all
}

// errWrongName is the fault of a bundle under another bundle's name.
var errWrongName = errors.New("bundle has another name than the one it is published under")

// refusal is the error of a refused body.
type refusal struct {
	reason Reason
	err    error
}

func (r *refusal) Error() string { return r.reason.String() + ": " + r.err.Error() }
func (r *refusal) Unwrap() error { return r.err }

// opened is a body that passed all checks of its own.
type opened struct {
	bundle  *bundle.Bundle
	content uint64
}

// opener checks the CBOR form of a signed bundle. Its error is a *refusal.
type opener func(file string, raw []byte) (opened, error)

// openSigned checks form and size, then the signature over the exact bytes, and
// only then reads the bundle.
func openSigned(file string, raw []byte, trusted []bundle.Signer) (opened, error) {
	s, err := bundle.Unmarshal(raw)
	if err != nil {
		return opened{}, refuse(err, ReasonMalformed)
	}
	if err := s.Verify(trusted); err != nil {
		return opened{}, refuse(err, ReasonAltered)
	}
	b, err := bundle.Parse(file, s.Bundle)
	if err != nil {
		return opened{}, refuse(err, ReasonMalformed)
	}
	return opened{bundle: b, content: xxhash.Sum64(s.Bundle)}, nil
}

// refuse classifies an error; other is the reason of errors with no type.
func refuse(err error, other Reason) error {
	var findings finding.List
	switch {
	case errors.Is(err, bundle.ErrTooLarge):
		return &refusal{ReasonTooLarge, err}
	case errors.Is(err, bundle.ErrUnsigned):
		return &refusal{ReasonUnsigned, err}
	case errors.Is(err, bundle.ErrUnknownSigner):
		return &refusal{ReasonUnknownSigner, err}
	case errors.Is(err, bundle.ErrBadSignature):
		return &refusal{ReasonAltered, err}
	case errors.As(err, &findings):
		return &refusal{ReasonContradictory, err}
	}
	return &refusal{other, err}
}

// Memory of refused values of the platform.
const (
	maxRefusedValues = 1024
	// refusedFirst is how long a refused value is not read again; it doubles with
	// each further refusal up to refusedMost. The same version may be mended.
	refusedFirst = 30 * time.Second
	refusedMost  = 10 * time.Minute
)

// refusedValue is a listed version whose value failed a check.
type refusedValue struct {
	version uint64
	times   int
	until   time.Time
}

// refusedValues remembers what the platform lists but may not come into force,
// so that it is neither read nor logged over and over.
type refusedValues struct {
	byName map[model.BundleName]*refusedValue
}

func newRefusedValues() *refusedValues {
	return &refusedValues{byName: map[model.BundleName]*refusedValue{}}
}

// add notes a refusal of the listed version.
func (r *refusedValues) add(now time.Time, v model.BundleVersion) {
	old := r.byName[v.Name]
	if old == nil {
		r.makeRoom(now)
	}
	if old == nil || old.version != v.Version {
		old = &refusedValue{version: v.Version}
		r.byName[v.Name] = old
	}
	pause := refusedMost
	if old.times < 8 {
		pause = min(refusedFirst<<old.times, refusedMost)
	}
	old.times++
	old.until = now.Add(pause)
}

// holds reports whether this version is not to be read for now.
func (r *refusedValues) holds(now time.Time, v model.BundleVersion) bool {
	old := r.byName[v.Name]
	return old != nil && old.version == v.Version && now.Before(old.until)
}

// makeRoom drops what has run out; when that is not enough, everything.
func (r *refusedValues) makeRoom(now time.Time) {
	if len(r.byName) < maxRefusedValues {
		return
	}
	for name, v := range r.byName {
		if !now.Before(v.until) {
			delete(r.byName, name)
		}
	}
	if len(r.byName) >= maxRefusedValues {
		clear(r.byName)
	}
}
