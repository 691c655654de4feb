package bundle

import (
	"fmt"

	"gypsumstand/internal/finding"
	"gypsumstand/internal/tomlfile"
)

// Defaults of absent keys. A key that is present keeps its value, even 0.
const (
	defaultMeasuringPerSecond = 5
	defaultPollShare          = 0.5
	defaultRetryPerPath       = 2
	defaultRetryRatio         = 0.2
	defaultMaxShare           = 1
	defaultQueuePerSlot       = 4
	defaultBodyLimitBytes     = 1 << 20
	defaultResponseLimitBytes = 64 << 20
	defaultWarmupMs           = 2000
	defaultKeyMemoryMs        = 120_000
	minBurst                  = 1
	defaultIdleTimeoutMs      = 60_000
	defaultHeaderTimeoutMs    = 5000
	adapterDeadlineMs         = 30_000
	adapterSlots              = 16
	// adapterMeasuringPerSecond and adapterPollShare allow the owner to sample the worker's
	// slowdown with each attempt at 20 attempts a second.
	adapterMeasuringPerSecond = 30
	adapterPollShare          = 0.9
	// adapterMoves lets a request try all owners of a small service: a refusal costs 1 to
	// 2 ms on the path, a start on an instance that its neighbours slow down costs
	// hundreds of ms.
	adapterMoves = 5
	// adapterSlotShare is for workers that are known only from a directory: some take 1.7
	// times as long when more than four fifths of their slots are in use, so that using
	// all slots lowers their throughput.
	adapterSlotShare = 0.78
	// contendedSlotShare is the same without a margin, for bundles whose callers compete for
	// slots: of five slots per worker, the margin would cost a quarter of the usable ones.
	contendedSlotShare = 0.8
)

// Parse decodes a bundle from TOML, sets defaults and checks it. file names the input in
// findings. The error is a finding.List with every finding.
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

// FillAdapterDefaults sets the defaults of a bundle that was not parsed from TOML but made by
// an adapter from a configuration that others have checked. It sets the fields below if they
// are zero; some of their defaults differ from those of absent TOML keys.
func FillAdapterDefaults(b *Bundle) {
	setIfZero(&b.Measuring.PerUpstreamPerSecond, adapterMeasuringPerSecond)
	setIfZero(&b.Measuring.PollShare, adapterPollShare)
	setIfZero(&b.Retry.PerPath, defaultRetryPerPath)
	setIfZero(&b.Retry.Moves, adapterMoves)
	setIfZero(&b.Callers.IdleTimeoutMs, defaultIdleTimeoutMs)
	setIfZero(&b.Callers.HeaderTimeoutMs, defaultHeaderTimeoutMs)
	for i := range b.Classes {
		c := &b.Classes[i]
		setIfZero(&c.DeadlineMs, adapterDeadlineMs)
		setIfZero(&c.MaxDeadlineMs, c.DeadlineMs)
	}
	for i := range b.Services {
		s := &b.Services[i]
		setIfZero(&s.Slots, adapterSlots)
		setIfZero(&s.Connections, s.Slots)
		setIfZero(&s.SlotShare, b.Admission.adapterSlotShare())
		setIfZero(&s.QueueLimit, defaultQueuePerSlot*s.Slots)
		setIfZero(&s.BodyLimitBytes, defaultBodyLimitBytes)
		setIfZero(&s.ResponseLimitBytes, defaultResponseLimitBytes)
		// The worker itself reports how long it stays cold.
		setIfZero(&s.WarmupMs, 1)
		setIfZero(&s.KeyMemoryMs, defaultKeyMemoryMs)
		setIfZero(&s.WarmingMs, defaultWarmupMs)
		if s.WarmingPerSecond > 0 {
			setIfZero(&s.WarmingMost, defaultWarmingMost(s.WarmingPerSecond))
		}
	}
}

// adapterSlotShare returns the default share of a worker's slots that its owner uses.
func (a *Admission) adapterSlotShare() float64 {
	if *a == (Admission{}) {
		return adapterSlotShare
	}
	return contendedSlotShare
}

// setIfZero sets *field to value if it is zero.
func setIfZero[T comparable](field *T, value T) {
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
		setDefault(doc, key+".queue_limit", &s.QueueLimit, min(maxReportedCount, defaultQueuePerSlot*s.Slots))
		setDefault(doc, key+".body_limit_bytes", &s.BodyLimitBytes, defaultBodyLimitBytes)
		setDefault(doc, key+".response_limit_bytes", &s.ResponseLimitBytes, defaultResponseLimitBytes)
		setDefault(doc, key+".warmup_ms", &s.WarmupMs, defaultWarmupMs)
		setDefault(doc, key+".key_memory_ms", &s.KeyMemoryMs, defaultKeyMemoryMs)
		setDefault(doc, key+".warming_ms", &s.WarmingMs, defaultWarmupMs)
		if s.WarmingPerSecond > 0 {
			setDefault(doc, key+".warming_most", &s.WarmingMost, defaultWarmingMost(s.WarmingPerSecond))
		}
	}
}

// defaultWarmingMost returns two seconds of perSecond, the rate limit of a warming worker.
func defaultWarmingMost(perSecond float64) int {
	return min(max(int(2*perSecond), 1), maxWarmingMost)
}

// setDefault sets *field to value if key is absent or was rejected.
func setDefault[T any](doc *tomlfile.Document, key string, field *T, value T) {
	if !doc.Has(key) || doc.Rejected(key) {
		*field = value
	}
}

func classKey(i int) string   { return fmt.Sprintf("class[%d]", i) }
func tenantKey(i int) string  { return fmt.Sprintf("tenant[%d]", i) }
func serviceKey(i int) string { return fmt.Sprintf("service[%d]", i) }
