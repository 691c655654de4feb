package bundle

import (
	"gypsumstand/internal/model"
	"gypsumstand/internal/tomlfile"
)

// Bounds of a bundle's fields.
const (
	maxMeasuringPerSecond = 1000
	minPollShare          = 0.1
	maxRetryPerPath       = 10
	maxHedgeQuantile      = 0.9999
	maxWorth              = 1e6
	maxDeadlineMs         = 3_600_000
	maxRatePerSecond      = 1e6
	// maxUpstreamCount is the greatest count that a load report carries.
	maxUpstreamCount  = 1<<16 - 1
	maxBodyLimitBytes = 64 << 20
	maxWarmupMs       = 600_000
	// maxWarmingMost bounds the starts that an owner remembers.
	maxWarmingMost = 10_000
	maxRegions     = 64
	maxKeyMemoryMs = 86_400_000
	maxPathBytes   = 1024
	maxHostBytes   = 255
	minSlotShare   = 0.1
	maxFleetExtra  = 1e6
	maxPriority    = 1000
	maxMoves       = 10
	maxAttempts    = 100
	maxRouteWeight = 1_000_000
	minCallerMs    = 100
	maxCallerMs    = 3_600_000
	maxHeaderBytes = 1 << 20
	// shareSlack forgives the rounding of shares such as 0.1 + 0.2.
	shareSlack = 1e-9
)

// check notes every contradiction of b in doc.
func check(b *Bundle, doc *tomlfile.Document) {
	doc.CheckName("name", string(b.Name))
	if b.Version == 0 {
		doc.Add("version", "must be at least 1")
	}
	checkMeasuring(&b.Measuring, doc)
	checkRetry(&b.Retry, doc)
	checkCallers(&b.Callers, doc)
	checkClasses(b, doc)
	checkTenants(b, doc)
	checkServices(b, doc)
}

func checkMeasuring(m *Measuring, doc *tomlfile.Document) {
	doc.CheckFloatAbove("measuring.per_upstream_per_second", m.PerUpstreamPerSecond, 0, maxMeasuringPerSecond)
	doc.CheckFloatRange("measuring.poll_share", m.PollShare, minPollShare, 1)
}

func checkRetry(r *Retry, doc *tomlfile.Document) {
	doc.CheckIntRange("retry.per_path", int64(r.PerPath), 0, maxRetryPerPath)
	doc.CheckFloatRange("retry.ratio", r.Ratio, 0, 1)
	doc.CheckFloatRange("retry.hedge_after_quantile", r.HedgeAfterQuantile, 0, maxHedgeQuantile)
	doc.CheckIntRange("retry.moves", int64(r.Moves), 0, maxMoves)
	doc.CheckFloatRange("retry.fleet_extra", r.FleetExtra, 0, maxFleetExtra)
}

func checkCallers(c *Callers, doc *tomlfile.Document) {
	doc.CheckIntRange("callers.idle_timeout_ms", c.IdleTimeoutMs, minCallerMs, maxCallerMs)
	doc.CheckIntRange("callers.header_timeout_ms", c.HeaderTimeoutMs, minCallerMs, maxCallerMs)
	doc.CheckIntRange("callers.max_header_bytes", int64(c.MaxHeaderBytes), 0, maxHeaderBytes)
}

func checkClasses(b *Bundle, doc *tomlfile.Document) {
	names := newNames(doc)
	sum := 0.0
	for i := range b.Classes {
		c, key := &b.Classes[i], classKey(i)
		names.add(key+".name", string(c.Name))
		doc.CheckFloatRange(key+".worth", c.Worth, 0, maxWorth)
		doc.CheckFloatRange(key+".share", c.Share, 0, 1)
		doc.CheckIntRange(key+".priority", int64(c.Priority), 0, maxPriority)
		doc.CheckIntRange(key+".objective_ms", c.ObjectiveMs, 0, maxDeadlineMs)
		doc.CheckIntRange(key+".max_attempts", int64(c.MaxAttempts), 0, maxAttempts)
		checkDeadlines(c, key, doc)
		sum += c.Share
		if sum > 1+shareSlack && sum-c.Share <= 1+shareSlack {
			doc.Add(key+".share", "the shares of the classes up to here sum to %.4g, which is over 1", sum)
		}
	}
}

func checkDeadlines(c *Class, key string, doc *tomlfile.Document) {
	if doc.Require(key + ".deadline_ms") {
		doc.CheckIntRange(key+".deadline_ms", c.DeadlineMs, 1, maxDeadlineMs)
	}
	if !doc.Has(key + ".max_deadline_ms") {
		return
	}
	doc.CheckIntRange(key+".max_deadline_ms", c.MaxDeadlineMs, 1, maxDeadlineMs)
	if c.MaxDeadlineMs < c.DeadlineMs {
		doc.Add(key+".max_deadline_ms", "%d is under deadline_ms of %d", c.MaxDeadlineMs, c.DeadlineMs)
	}
}

func checkTenants(b *Bundle, doc *tomlfile.Document) {
	names := newNames(doc)
	for i := range b.Tenants {
		t, key := &b.Tenants[i], tenantKey(i)
		names.add(key+".name", string(t.Name))
		if t.Name == model.OtherTenant {
			doc.Add(key+".name", "%q is kept for tenants that no bundle names", t.Name)
		}
		doc.CheckFloatRange(key+".rate_per_second", t.RatePerSecond, 0, maxRatePerSecond)
		doc.CheckFloatAbove(key+".max_share", t.MaxShare, 0, 1)
		checkRegions(t.Regions, key+".regions", doc)
		checkBurst(t, key, doc)
	}
}

func checkBurst(t *Tenant, key string, doc *tomlfile.Document) {
	switch {
	case !doc.Has(key + ".burst"), doc.Rejected(key + ".rate_per_second"):
	case t.RatePerSecond == 0:
		doc.Add(key+".burst", "has no meaning without rate_per_second")
	default:
		doc.CheckFloatRange(key+".burst", t.Burst, minBurst, maxRatePerSecond)
	}
}

// checkRegions notes a list of regions that names none, or one badly.
func checkRegions(regions []model.RegionName, key string, doc *tomlfile.Document) {
	if regions != nil && len(regions) == 0 || len(regions) > maxRegions {
		doc.Add(key, "must name 1 to %d regions", maxRegions)
	}
	for _, region := range regions {
		doc.CheckName(key, string(region))
	}
}

// names notes faulty and repeated names of one kind.
type names struct {
	doc  *tomlfile.Document
	seen map[string]string
}

func newNames(doc *tomlfile.Document) *names {
	return &names{doc: doc, seen: map[string]string{}}
}

func (n *names) add(key, name string) {
	n.doc.CheckName(key, name)
	if name == "" {
		return
	}
	first, taken := n.seen[name]
	if !taken {
		n.seen[name] = key
		return
	}
	line, _ := n.doc.Position(first)
	n.doc.Add(key, "%q is taken by %s on line %d", name, first, line)
}
