package platform

import (
	"fmt"
	"time"

	"golang.org/x/time/rate"

	"gypsumstand/internal/finding"
)

// Outage is how a service of the platform fails.
type Outage uint8

// The outages.
const (
	// OutageNone: the service answers.
	OutageNone Outage = iota
	// OutageRefuse: each call's connection is cut without an answer.
	OutageRefuse
	// OutageError: each call is answered 503.
	OutageError
	// OutageHang: calls get no answer until the caller gives up or the faults
	// change; then they are cut.
	OutageHang
)

var outageNames = [...]string{"none", "refuse", "error", "hang"}

// String returns the name that MarshalText writes.
func (o Outage) String() string {
	if int(o) < len(outageNames) {
		return outageNames[o]
	}
	return "invalid"
}

// MarshalText implements encoding.TextMarshaler.
func (o Outage) MarshalText() ([]byte, error) { return []byte(o.String()), nil }

// UnmarshalText implements encoding.TextUnmarshaler.
func (o *Outage) UnmarshalText(text []byte) error {
	for i, name := range outageNames {
		if name == string(text) {
			*o = Outage(i)
			return nil
		}
	}
	return fmt.Errorf("outage %q: want one of %q", text, outageNames)
}

// Faults are the settable faults. The zero value, but for the rate, has none.
type Faults struct {
	// ListLagMs is how late the list shows changes, in milliseconds.
	ListLagMs int64 `json:"list_lag_ms"`
	// ListFrozenAt and ConfigFrozenAt make a service show its content as of that
	// time; the zero time means it is not frozen.
	ListFrozenAt   time.Time `json:"list_frozen_at"`
	ConfigFrozenAt time.Time `json:"config_frozen_at"`
	// ListOutage and ConfigOutage fail the calls of a service.
	ListOutage   Outage `json:"list_outage"`
	ConfigOutage Outage `json:"config_outage"`
	// RatePerSecond bounds the calls of all readers together; over it 429.
	RatePerSecond float64 `json:"rate_per_second"`
}

// check returns a finding.List with every fault of f itself.
func (f Faults) check() error {
	var findings finding.List
	if f.ListLagMs < 0 {
		findings.Add(finding.Finding{Key: "list_lag_ms", Message: "must not be negative"})
	}
	if f.RatePerSecond <= 0 {
		findings.Add(finding.Finding{Key: "rate_per_second", Message: "must be over 0"})
	}
	if int(f.ListOutage) >= len(outageNames) {
		findings.Add(finding.Finding{Key: "list_outage", Message: "is not an outage"})
	}
	if int(f.ConfigOutage) >= len(outageNames) {
		findings.Add(finding.Finding{Key: "config_outage", Message: "is not an outage"})
	}
	return findings.Err()
}

// Faults returns the faults in force.
func (p *Platform) Faults() Faults {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.faults
}

// ChangeFaults lets change edit the faults in force and puts them in force when
// they pass; the error is a finding.List. change must not call the platform.
func (p *Platform) ChangeFaults(change func(*Faults)) error {
	p.mu.Lock()
	defer p.mu.Unlock()
	next := p.faults
	change(&next)
	if err := next.check(); err != nil {
		return err
	}
	if next.RatePerSecond != p.faults.RatePerSecond {
		now := p.now()
		p.limiter.SetLimitAt(now, rate.Limit(next.RatePerSecond))
		p.limiter.SetBurstAt(now, burst(next.RatePerSecond))
	}
	p.faults = next
	close(p.changed)
	p.changed = make(chan struct{})
	return nil
}

// FreezeConfig makes the configuration service show what it holds now, however
// long; ThawConfig ends it.
func (p *Platform) FreezeConfig() {
	now := p.now()
	_ = p.ChangeFaults(func(f *Faults) { f.ConfigFrozenAt = now }) // can't make a fault that check finds
}

// ThawConfig ends FreezeConfig.
func (p *Platform) ThawConfig() {
	_ = p.ChangeFaults(func(f *Faults) { f.ConfigFrozenAt = time.Time{} })
}

// FreezeList makes the list show what it shows now, however long; ThawList ends
// it.
func (p *Platform) FreezeList() {
	now := p.now()
	_ = p.ChangeFaults(func(f *Faults) { f.ListFrozenAt = now.Add(-f.listLag()) })
}

// ThawList ends FreezeList.
func (p *Platform) ThawList() {
	_ = p.ChangeFaults(func(f *Faults) { f.ListFrozenAt = time.Time{} })
}

func (f Faults) listLag() time.Duration { return time.Duration(f.ListLagMs) * time.Millisecond }

// listAsOf returns the time whose list is shown at now.
func (f Faults) listAsOf(now time.Time) time.Time {
	return earlier(now.Add(-f.listLag()), f.ListFrozenAt)
}

// configAsOf returns the time whose configuration is shown at now.
func (f Faults) configAsOf(now time.Time) time.Time { return earlier(now, f.ConfigFrozenAt) }

func earlier(t, frozen time.Time) time.Time {
	if !frozen.IsZero() && frozen.Before(t) {
		return frozen
	}
	return t
}
