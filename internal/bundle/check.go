package bundle

import (
	"gypsumstand/internal/model"
	"gypsumstand/internal/tomlfile"
)

// Limits of a bundle's values.
const (
	maxMeasuringPerSecond = 1000
	minPollShare          = 0.1
	maxRetryPerPath       = 10
	maxHedgeQuantile      = 0.9999
	maxWorth              = 1e6
	maxDeadlineMs         = 3_600_000
	maxRatePerSecond      = 1e6
	// maxReportedCount is the largest count that a load report can carry.
	maxReportedCount      = 1<<16 - 1
	maxBodyLimitBytes     = 64 << 20
	maxResponseLimitBytes = 1 << 40
	maxWarmupMs           = 600_000
	// maxWarmingMost limits how many start times an owner has to remember.
	maxWarmingMost     = 10_000
	maxRegions         = 64
	maxKeyMemoryMs     = 86_400_000
	maxPathBytes       = 1024
	maxHostBytes       = 255
	minSlotShare       = 0.1
	maxFleetExtra      = 1e6
	maxMoves           = 10
	maxAttempts        = 100
	maxRouteWeight     = 1_000_000
	minCallerTimeoutMs = 100
	maxCallerTimeoutMs = 3_600_000
	maxHeaderBytes     = 1 << 20
	// shareTolerance absorbs rounding errors of sums such as 0.1 + 0.2.
	shareTolerance = 1e-9
)

// check adds a finding to doc for each invalid value and contradiction in b.
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
	doc.CheckIntRange("callers.idle_timeout_ms", c.IdleTimeoutMs, minCallerTimeoutMs, maxCallerTimeoutMs)
	doc.CheckIntRange("callers.header_timeout_ms", c.HeaderTimeoutMs, minCallerTimeoutMs, maxCallerTimeoutMs)
	doc.CheckIntRange("callers.max_header_bytes", int64(c.MaxHeaderBytes), 0, maxHeaderBytes)
}

func checkClasses(b *Bundle, doc *tomlfile.Document) {
	names := newNameChecker(doc)
	sum := 0.0
	for i := range b.Classes {
		c, key := &b.Classes[i], classKey(i)
		names.check(key+".name", string(c.Name))
		doc.CheckFloatRange(key+".worth", c.Worth, 0, maxWorth)
		doc.CheckFloatRange(key+".share", c.Share, 0, 1)
		doc.CheckIntRange(key+".priority", int64(c.Priority), 0, MaxPriority)
		doc.CheckIntRange(key+".objective_ms", c.ObjectiveMs, 0, maxDeadlineMs)
		doc.CheckIntRange(key+".max_attempts", int64(c.MaxAttempts), 0, maxAttempts)
		checkDeadlines(c, key, doc)
		sum += c.Share
		if sum > 1+shareTolerance && sum-c.Share <= 1+shareTolerance {
			doc.Add(key+".share", "the shares of the classes up to this one sum to %.4g, which is over 1", sum)
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
		doc.Add(key+".max_deadline_ms", "%d must be at least deadline_ms of %d", c.MaxDeadlineMs, c.DeadlineMs)
	}
}

func checkTenants(b *Bundle, doc *tomlfile.Document) {
	names := newNameChecker(doc)
	for i := range b.Tenants {
		t, key := &b.Tenants[i], tenantKey(i)
		names.check(key+".name", string(t.Name))
		if t.Name == model.OtherTenant {
			doc.Add(key+".name", "%q is reserved for tenants that no bundle names", t.Name)
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
		doc.Add(key+".burst", "requires rate_per_second over 0")
	default:
		doc.CheckFloatRange(key+".burst", t.Burst, minBurst, maxRatePerSecond)
	}
}

// checkRegions checks the number of regions in a list and their names; a list that is
// present must not be empty.
func checkRegions(regions []model.RegionName, key string, doc *tomlfile.Document) {
	if regions != nil && len(regions) == 0 || len(regions) > maxRegions {
		doc.Add(key, "must name 1 to %d regions", maxRegions)
	}
	for _, region := range regions {
		doc.CheckName(key, string(region))
	}
}

// nameChecker finds invalid and duplicate names of one kind.
type nameChecker struct {
	doc       *tomlfile.Document
	keyByName map[string]string
}

func newNameChecker(doc *tomlfile.Document) *nameChecker {
	return &nameChecker{doc: doc, keyByName: map[string]string{}}
}

// check reports a name that is invalid or already used.
func (n *nameChecker) check(key, name string) {
	n.doc.CheckName(key, name)
	if name == "" {
		return
	}
	first, found := n.keyByName[name]
	if !found {
		n.keyByName[name] = key
		return
	}
	line, _ := n.doc.Position(first)
	n.doc.Add(key, "%q is already used by %s on line %d", name, first, line)
}
