package platform

import (
	"fmt"
	"time"

	"golang.org/x/time/rate"

	"gypsumstand/internal/finding"
)

// Outage is the way in which one of the platform's services fails.
type Outage uint8

// The outages.
const (
	// OutageNone is normal service.
	OutageNone Outage = iota
	// OutageRefuse cuts each call's connection without a response.
	OutageRefuse
	// OutageError answers each call with 503.
	OutageError
	// OutageHang leaves calls without a response until the caller gives up or the faults
	// change, and then cuts them.
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

// Faults are the injected faults. The zero value injects none, but is invalid because
// RatePerSecond must be above 0.
type Faults struct {
	// ListLagMs is the delay, in milliseconds, after which the list shows a change.
	ListLagMs int64 `json:"list_lag_ms"`
	// ListFrozenAt and ConfigFrozenAt make a service show its content as of that time;
	// the zero time disables this.
	ListFrozenAt   time.Time `json:"list_frozen_at"`
	ConfigFrozenAt time.Time `json:"config_frozen_at"`
	// ListOutage and ConfigOutage fail the calls of a service.
	ListOutage   Outage `json:"list_outage"`
	ConfigOutage Outage `json:"config_outage"`
	// RatePerSecond bounds the calls of all readers together; calls over it are answered
	// with 429.
	RatePerSecond float64 `json:"rate_per_second"`
}

// check returns a finding.List with every invalid field of f.
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

// Faults returns the active faults.
func (p *Platform) Faults() Faults {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.faults
}

// ChangeFaults edits a copy of the active faults with change and activates it if it is
// valid; the error is a finding.List. change must not call the platform.
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

// FreezeConfig makes the configuration service keep showing its current content until
// ThawConfig.
func (p *Platform) FreezeConfig() {
	now := p.now()
	_ = p.ChangeFaults(func(f *Faults) { f.ConfigFrozenAt = now }) // always valid
}

// ThawConfig ends FreezeConfig.
func (p *Platform) ThawConfig() {
	_ = p.ChangeFaults(func(f *Faults) { f.ConfigFrozenAt = time.Time{} })
}

// FreezeList makes the list keep showing its current content until ThawList.
func (p *Platform) FreezeList() {
	now := p.now()
	_ = p.ChangeFaults(func(f *Faults) { f.ListFrozenAt = now.Add(-f.listLag()) })
}

// ThawList ends FreezeList.
func (p *Platform) ThawList() {
	_ = p.ChangeFaults(func(f *Faults) { f.ListFrozenAt = time.Time{} })
}

func (f Faults) listLag() time.Duration { return time.Duration(f.ListLagMs) * time.Millisecond }

// listAsOf returns the time as of which the list is shown at now.
func (f Faults) listAsOf(now time.Time) time.Time {
	return earlier(now.Add(-f.listLag()), f.ListFrozenAt)
}

// configAsOf returns the time as of which the configuration is shown at now.
func (f Faults) configAsOf(now time.Time) time.Time { return earlier(now, f.ConfigFrozenAt) }

func earlier(t, frozen time.Time) time.Time {
	if !frozen.IsZero() && frozen.Before(t) {
		return frozen
	}
	return t
}
