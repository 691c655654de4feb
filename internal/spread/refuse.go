package spread

import (
	"errors"
	"time"

	"github.com/cespare/xxhash/v2"

	"gypsumstand/internal/bundle"
	"gypsumstand/internal/finding"
	"gypsumstand/internal/model"
	"gypsumstand/internal/packed"
)

// Reason classifies why a body was refused.
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

// errWrongName is the error of a bundle published under another bundle's name.
var errWrongName = errors.New("bundle name differs from the name that it is published under")

// refusal is the error of a refused body.
type refusal struct {
	reason Reason
	err    error
}

func (r *refusal) Error() string { return r.reason.String() + ": " + r.err.Error() }
func (r *refusal) Unwrap() error { return r.err }

// checkedBundle is a bundle whose form, size, signature and content are valid.
type checkedBundle struct {
	bundle  *bundle.Bundle
	content uint64
}

// checkFunc checks the CBOR form of a signed bundle. Its error is a *refusal.
type checkFunc func(file string, raw []byte) (checkedBundle, error)

// checkSigned checks form and size, then the signature over the exact bytes, and parses
// the bundle only after that.
func checkSigned(file string, raw []byte, trusted []bundle.Signer) (checkedBundle, error) {
	s, err := bundle.Unmarshal(raw)
	if err != nil {
		return checkedBundle{}, classifyRefusal(err, ReasonMalformed)
	}
	if err := s.Verify(trusted); err != nil {
		return checkedBundle{}, classifyRefusal(err, ReasonAltered)
	}
	b, err := bundle.Parse(file, s.Bundle)
	if err != nil {
		return checkedBundle{}, classifyRefusal(err, ReasonMalformed)
	}
	return checkedBundle{bundle: b, content: xxhash.Sum64(s.Bundle)}, nil
}

// classifyRefusal wraps an error in a refusal; fallback is the reason for untyped errors.
func classifyRefusal(err error, fallback Reason) error {
	var findings finding.List
	switch {
	case errors.Is(err, bundle.ErrTooLarge), errors.Is(err, packed.ErrTooLarge):
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
	return &refusal{fallback, err}
}

// Memory of refused values of the configuration service.
const (
	maxRefusedValues = 1024
	// refusedReadDelay is how long this node does not read a refused value again. It is
	// short because the same version may be republished with a valid signature, and must
	// then be in force within seconds.
	refusedReadDelay = 3 * time.Second
)

// refusedValue is a listed version whose value failed a check or could not be obtained.
type refusedValue struct {
	version uint64
	// content is a hash of the refused bytes; zero for none.
	content uint64
	until   time.Time
}

// refusedValues stores the listed versions that may not come into force. The other
// versions can then be confirmed, and the same bytes are not checked again.
type refusedValues struct {
	byName map[model.BundleName]*refusedValue
}

func newRefusedValues() *refusedValues {
	return &refusedValues{byName: map[model.BundleName]*refusedValue{}}
}

// add stores a refusal of the listed version; raw may be nil.
func (r *refusedValues) add(now time.Time, v model.BundleVersion, raw []byte) {
	if r.byName[v.Name] == nil {
		r.makeRoom(now)
	}
	refused := &refusedValue{version: v.Version, until: now.Add(refusedReadDelay)}
	if raw != nil {
		refused.content = xxhash.Sum64(raw)
	}
	r.byName[v.Name] = refused
}

// holds reports whether this version must not be read at the moment.
func (r *refusedValues) holds(now time.Time, v model.BundleVersion) bool {
	old := r.byName[v.Name]
	return old != nil && old.version == v.Version && now.Before(old.until)
}

// same reports whether exactly these bytes were refused last.
func (r *refusedValues) same(name model.BundleName, raw []byte) bool {
	old := r.byName[name]
	return old != nil && old.content != 0 && old.content == xxhash.Sum64(raw)
}

// makeRoom drops expired refusals, or all of them if that is not enough.
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
