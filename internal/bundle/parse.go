package bundle

import (
	"fmt"

	"gypsumstand/internal/finding"
	"gypsumstand/internal/tomlfile"
)

// Defaults of absent fields. A field that is present keeps its value, also 0.
const (
	defaultMeasuringPerSecond = 5
	defaultPollShare          = 0.5
	defaultRetryPerPath       = 2
	defaultRetryRatio         = 0.2
	defaultMaxShare           = 1
	defaultQueuePerSlot       = 4
	defaultBodyLimitBytes     = 1 << 20
	defaultWarmupMs           = 2000
	defaultKeyMemoryMs        = 120_000
	minBurst                  = 1
	defaultIdleTimeoutMs      = 60_000
	defaultHeaderTimeoutMs    = 5000
	defaultDeadlineMs         = 30_000
	defaultSlots              = 16
	// defaultPacePerSecond and defaultPaceShare leave room for a sample of the
	// worker's pace with each attempt at 20 attempts a second.
	defaultPacePerSecond = 30
	defaultPaceShare     = 0.9
	// defaultMoves lets a request see all owners of a small service: a refusal
	// costs 1 to 2 ms of way, a start on a machine that its neighbours slow down
	// hundreds.
	defaultMoves = 5
	// defaultSharedSlotShare is for workers of which only the directory is known:
	// some take 1.7 times as long when more than four fifths of their slots are
	// used, so that all slots serve less than these.
	defaultSharedSlotShare = 0.78
)

// Parse reads the TOML of a bundle, fills defaults and checks it. file names
// the input in findings. The error is a finding.List with every fault.
func Parse(file string, data []byte) (*Bundle, error) {
	if len(data) > MaxBytes {
		return nil, finding.List{{File: file, Message: fmt.Sprintf("%d bytes are over the bound of %d", len(data), MaxBytes)}}
	}
	b := &Bundle{
		Measuring: Measuring{PerUpstreamPerSecond: defaultMeasuringPerSecond, PollShare: defaultPollShare},
		Retry:     Retry{PerPath: defaultRetryPerPath, Ratio: defaultRetryRatio},
		Callers:   Callers{IdleTimeoutMs: defaultIdleTimeoutMs, HeaderTimeoutMs: defaultHeaderTimeoutMs},
	}
	doc := tomlfile.Decode(file, data, b)
	if doc.HasSyntaxError() {
		return nil, doc.Err()
	}
	fillDefaults(b, doc)
	check(b, doc)
	if err := doc.Err(); err != nil {
		return nil, err
	}
	return b, nil
}

// FillAdapterDefaults fills the defaults of a bundle that was not parsed from TOML but made by
// an adapter from a configuration that others have checked: fields that are zero
// get the default of an absent key.
func FillAdapterDefaults(b *Bundle) {
	fill(&b.Measuring.PerUpstreamPerSecond, defaultPacePerSecond)
	fill(&b.Measuring.PollShare, defaultPaceShare)
	fill(&b.Retry.PerPath, defaultRetryPerPath)
	fill(&b.Retry.Moves, defaultMoves)
	fill(&b.Callers.IdleTimeoutMs, defaultIdleTimeoutMs)
	fill(&b.Callers.HeaderTimeoutMs, defaultHeaderTimeoutMs)
	for i := range b.Classes {
		c := &b.Classes[i]
		fill(&c.DeadlineMs, defaultDeadlineMs)
		fill(&c.MaxDeadlineMs, c.DeadlineMs)
	}
	for i := range b.Services {
		s := &b.Services[i]
		fill(&s.Slots, defaultSlots)
		fill(&s.Connections, s.Slots)
		fill(&s.SlotShare, defaultSharedSlotShare)
		fill(&s.QueueLimit, defaultQueuePerSlot*s.Slots)
		fill(&s.BodyLimitBytes, defaultBodyLimitBytes)
		// The worker itself tells how long it stays cold.
		fill(&s.WarmupMs, 1)
		fill(&s.KeyMemoryMs, defaultKeyMemoryMs)
		fill(&s.WarmingMs, defaultWarmupMs)
		if s.WarmingPerSecond > 0 {
			fill(&s.WarmingMost, defaultWarmingMost(s.WarmingPerSecond))
		}
	}
}

// fill sets a field that is zero.
func fill[T comparable](field *T, value T) {
	var zero T
	if *field == zero {
		*field = value
	}
}

func fillDefaults(b *Bundle, doc *tomlfile.Document) {
	for i := range b.Classes {
		c := &b.Classes[i]
		setDefault(doc, classKey(i)+".max_deadline_ms", &c.MaxDeadlineMs, c.DeadlineMs)
	}
	for i := range b.Tenants {
		t, key := &b.Tenants[i], tenantKey(i)
		if t.RatePerSecond > 0 {
			setDefault(doc, key+".burst", &t.Burst, max(minBurst, t.RatePerSecond))
		}
		setDefault(doc, key+".max_share", &t.MaxShare, defaultMaxShare)
	}
	for i := range b.Services {
		s, key := &b.Services[i], serviceKey(i)
		setDefault(doc, key+".slot_share", &s.SlotShare, 1)
		setDefault(doc, key+".queue_limit", &s.QueueLimit, min(maxUpstreamCount, defaultQueuePerSlot*s.Slots))
		setDefault(doc, key+".body_limit_bytes", &s.BodyLimitBytes, defaultBodyLimitBytes)
		setDefault(doc, key+".warmup_ms", &s.WarmupMs, defaultWarmupMs)
		setDefault(doc, key+".key_memory_ms", &s.KeyMemoryMs, defaultKeyMemoryMs)
		setDefault(doc, key+".warming_ms", &s.WarmingMs, defaultWarmupMs)
		if s.WarmingPerSecond > 0 {
			setDefault(doc, key+".warming_most", &s.WarmingMost, defaultWarmingMost(s.WarmingPerSecond))
		}
	}
}

// defaultWarmingMost is two seconds' worth of what a warming worker bears.
func defaultWarmingMost(perSecond float64) int {
	return min(max(int(2*perSecond), 1), maxWarmingMost)
}

// setDefault sets a field whose key is absent or was not taken.
func setDefault[T any](doc *tomlfile.Document, key string, field *T, value T) {
	if !doc.Has(key) || doc.Rejected(key) {
		*field = value
	}
}

func classKey(i int) string   { return fmt.Sprintf("class[%d]", i) }
func tenantKey(i int) string  { return fmt.Sprintf("tenant[%d]", i) }
func serviceKey(i int) string { return fmt.Sprintf("service[%d]", i) }
