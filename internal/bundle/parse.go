package bundle

import (
	"bytes"
	"errors"

	"github.com/pelletier/go-toml/v2"

	"gypsumstand/internal/finding"
)

// Defaults of absent fields.
const (
	defaultMeasuringPerSecond = 5
	defaultPollShare          = 0.5
	defaultRetryPerPath       = 2
	defaultRetryRatio         = 0.2
	defaultQueuePerSlot       = 4
	defaultBodyLimitBytes     = 1 << 20
	defaultWarmupMs           = 2000
	defaultKeyMemoryMs        = 120_000
)

// Parse reads the TOML of a bundle, fills defaults and checks it. file names
// the input in findings. The error is a finding.List with every fault.
func Parse(file string, data []byte) (*Bundle, error) {
	var findings finding.List
	b := &Bundle{Retry: Retry{PerPath: defaultRetryPerPath, Ratio: defaultRetryRatio}}
	dec := toml.NewDecoder(bytes.NewReader(data)).DisallowUnknownFields()
	if err := dec.Decode(b); err != nil {
		addDecodeError(&findings, file, err)
		return nil, findings.Err()
	}
	fillDefaults(b)
	check(b, file, &findings)
	if err := findings.Err(); err != nil {
		return nil, err
	}
	return b, nil
}

func addDecodeError(findings *finding.List, file string, err error) {
	var strict *toml.StrictMissingError
	if errors.As(err, &strict) {
		for i := range strict.Errors {
			addTOMLError(findings, file, &strict.Errors[i], "unknown key")
		}
		return
	}
	var one *toml.DecodeError
	if errors.As(err, &one) {
		addTOMLError(findings, file, one, one.Error())
		return
	}
	findings.Add(finding.Finding{File: file, Message: err.Error()})
}

func addTOMLError(findings *finding.List, file string, err *toml.DecodeError, message string) {
	line, column := err.Position()
	key := ""
	for i, part := range err.Key() {
		if i > 0 {
			key += "."
		}
		key += part
	}
	findings.Add(finding.Finding{File: file, Line: line, Column: column, Key: key, Message: message})
}

func fillDefaults(b *Bundle) {
	setDefault(&b.Measuring.PerUpstreamPerSecond, defaultMeasuringPerSecond)
	setDefault(&b.Measuring.PollShare, defaultPollShare)
	for i := range b.Classes {
		c := &b.Classes[i]
		setDefault(&c.MaxDeadlineMs, c.DeadlineMs)
	}
	for i := range b.Tenants {
		t := &b.Tenants[i]
		setDefault(&t.Burst, t.RatePerSecond)
		setDefault(&t.MaxShare, 1)
	}
	for i := range b.Services {
		s := &b.Services[i]
		setDefault(&s.QueueLimit, defaultQueuePerSlot*s.Slots)
		setDefault(&s.BodyLimitBytes, defaultBodyLimitBytes)
		setDefault(&s.WarmupMs, defaultWarmupMs)
		setDefault(&s.KeyMemoryMs, defaultKeyMemoryMs)
	}
}

func setDefault[T comparable](field *T, value T) {
	var zero T
	if *field == zero {
		*field = value
	}
}

// check adds a finding for every contradiction. TODO of this package's owner:
// complete rules with line numbers.
func check(b *Bundle, file string, findings *finding.List) {
	if b.Name == "" {
		findings.Add(finding.Finding{File: file, Key: "name", Message: "missing"})
	}
	if b.Version == 0 {
		findings.Add(finding.Finding{File: file, Key: "version", Message: "must be at least 1"})
	}
}
