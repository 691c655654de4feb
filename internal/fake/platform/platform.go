// Package platform simulates the platform for tests and demonstrations: it holds
// configuration values and a list of instances, serves both over the platform's protocol,
// injects faults (a lagging list, stale content, outages, a rate limit that all readers
// share), and counts every call.
package platform

import (
	"fmt"
	"sync"
	"time"

	"golang.org/x/time/rate"

	"gypsumstand/internal/bundle"
	"gypsumstand/internal/finding"
	"gypsumstand/internal/model"
	protocol "gypsumstand/internal/registry"
)

// DefaultRatePerSecond is the default limit on the calls a second of all readers
// together.
const DefaultRatePerSecond = 2000

// burstShare is the rate limiter's burst, in seconds' worth of calls.
const burstShare = 0.1

// Config holds the settings that stay fixed for a platform's lifetime.
type Config struct {
	// RatePerSecond is the initial value of Faults.RatePerSecond; zero means
	// DefaultRatePerSecond.
	RatePerSecond float64
	// Now is the clock; nil means time.Now.
	Now func() time.Time
}

// Platform simulates the platform. Its methods are safe for concurrent use.
type Platform struct {
	now func() time.Time

	mu            sync.Mutex
	faults        Faults
	changed       chan struct{} // closed when faults change
	limiter       *rate.Limiter
	counters      Counters
	currentSecond secondCount
	list          instanceLog
	config        valueLog
}

// New returns an empty platform without faults.
func New(cfg Config) *Platform {
	if cfg.Now == nil {
		cfg.Now = time.Now
	}
	if cfg.RatePerSecond == 0 {
		cfg.RatePerSecond = DefaultRatePerSecond
	}
	p := &Platform{now: cfg.Now, changed: make(chan struct{})}
	p.list.base = map[string]protocol.InstanceEntry{}
	p.config.values = map[string][]valueChange{}
	p.faults.RatePerSecond = cfg.RatePerSecond
	p.limiter = rate.NewLimiter(rate.Limit(cfg.RatePerSecond), burst(cfg.RatePerSecond))
	return p
}

func burst(perSecond float64) int { return max(1, int(perSecond*burstShare)) }

// PutInstance adds an instance to the list or replaces it.
func (p *Platform) PutInstance(in model.Instance) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.list.add(p.now(), entryOf(in))
}

func entryOf(in model.Instance) protocol.InstanceEntry {
	return protocol.InstanceEntry{
		ID:          string(in.ID),
		Service:     string(in.Service),
		DataCentre:  string(in.DataCentre),
		PeerAddress: in.PeerAddress,
		State:       in.State.String(),
	}
}

// SetState changes the state of a listed instance.
func (p *Platform) SetState(id model.InstanceID, state model.UpstreamState) error {
	p.mu.Lock()
	defer p.mu.Unlock()
	entry, ok := p.list.latest()[string(id)]
	if !ok {
		return fmt.Errorf("instance %q is not listed", id)
	}
	entry.State = state.String()
	p.list.add(p.now(), entry)
	return nil
}

// RemoveInstance removes an instance from the list; the list of changes shows it as gone.
func (p *Platform) RemoveInstance(id model.InstanceID) error {
	p.mu.Lock()
	defer p.mu.Unlock()
	if _, ok := p.list.latest()[string(id)]; !ok {
		return fmt.Errorf("instance %q is not listed", id)
	}
	p.list.add(p.now(), protocol.InstanceEntry{ID: string(id), State: model.StateGone.String()})
	return nil
}

// Publish sets the named configuration value to data. It checks neither the content nor
// that the version is newer than the one before.
func (p *Platform) Publish(v model.BundleVersion, data []byte) error {
	var findings finding.List
	if err := protocol.CheckName(string(v.Name)); err != nil {
		findings.Add(finding.Finding{Key: "name", Message: err.Error()})
	}
	if v.Version == 0 {
		findings.Add(finding.Finding{Key: "version", Message: "must be at least 1"})
	}
	if len(data) > protocol.MaxValueBytes {
		findings.Add(finding.Finding{Key: "value", Message: fmt.Sprintf("%d bytes are over the bound of %d", len(data), protocol.MaxValueBytes)})
	}
	if err := findings.Err(); err != nil {
		return err
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.config.add(p.now(), v, append([]byte(nil), data...))
	return nil
}

// PublishSigned publishes a signed bundle under the name and version that the bundle
// states. It does not check the signature, which is the nodes' task.
func (p *Platform) PublishSigned(s bundle.Signed) (model.BundleVersion, error) {
	b, err := bundle.Parse("signed bundle", s.Bundle)
	if err != nil {
		return model.BundleVersion{}, err
	}
	data, err := s.Marshal()
	if err != nil {
		return model.BundleVersion{}, err
	}
	v := b.VersionID()
	return v, p.Publish(v, data)
}
