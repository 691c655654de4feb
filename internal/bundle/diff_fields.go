package bundle

import (
	"fmt"
	"strconv"
	"strings"

	"gypsumstand/internal/model"
)

// field is one comparable field of T. sentence is a format whose arguments are the
// subject's name, the old value and the new value.
type field[T any] struct {
	key      string
	value    func(*T) string
	sentence string
}

// fieldList holds the fields of T that Diff compares.
type fieldList[T any] []field[T]

// fieldValue is the formatted value of one field.
type fieldValue struct {
	key      string
	value    string
	sentence string
}

func (l fieldList[T]) values(t *T) []fieldValue {
	out := make([]fieldValue, len(l))
	for i, f := range l {
		out[i] = fieldValue{key: f.key, value: f.value(t), sentence: f.sentence}
	}
	return out
}

var measuringFields = fieldList[Measuring]{
	{"per_upstream_per_second", func(m *Measuring) string { return formatNumber(m.PerUpstreamPerSecond) },
		"Each upstream%[1]s may get %[3]s measuring messages a second instead of %[2]s."},
	{"poll_share", func(m *Measuring) string { return formatPercent(m.PollShare) },
		"Owners' polls of their workers%[1]s have %[3]s of the measuring budget instead of %[2]s."},
}

var retryFields = fieldList[Retry]{
	{"per_path", func(r *Retry) string { return strconv.Itoa(r.PerPath) },
		"Each request%[1]s may cause %[3]s extra attempts in all hops together instead of %[2]s."},
	{"ratio", func(r *Retry) string { return formatPercent(r.Ratio) },
		"Each entry node%[1]s may add extra attempts of up to %[3]s of a service's first attempts instead of %[2]s."},
	{"hedge_after_quantile", func(r *Retry) string { return formatHedging(r.HedgeAfterQuantile) },
		"Idempotent requests%[1]s are hedged %[3]s instead of %[2]s."},
	{"moves", func(r *Retry) string { return strconv.Itoa(r.Moves) },
		"Up to %[3]s owners may refuse a request as busy%[1]s instead of %[2]s."},
	{"fleet_extra", func(r *Retry) string { return formatRateLimit(r.FleetExtra) },
		"All entry nodes together%[1]s may cause %[3]s extra arrivals in ten seconds at a service instead of %[2]s."},
}

var admissionFields = fieldList[Admission]{
	{"inherit_priority", func(a *Admission) string { return strconv.FormatBool(a.InheritPriority) },
		"Calls of workers%[1]s have the priority of the request they are made for: %[3]s instead of %[2]s."},
	{"by_outcome", func(a *Admission) string { return strconv.FormatBool(a.ByOutcome) },
		"Requests that would mostly fail%[1]s are refused where they enter: %[3]s instead of %[2]s."},
	{"relocate_queued", func(a *Admission) string { return strconv.FormatBool(a.RelocateQueued) },
		"Queued requests%[1]s move to owners that answer them sooner: %[3]s instead of %[2]s."},
}

var callersFields = fieldList[Callers]{
	{"idle_timeout_ms", func(c *Callers) string { return formatMs(c.IdleTimeoutMs) },
		"Callers' idle connections%[1]s stay open for %[3]s instead of %[2]s."},
	{"header_timeout_ms", func(c *Callers) string { return formatMs(c.HeaderTimeoutMs) },
		"The header of a request%[1]s may take %[3]s instead of %[2]s."},
	{"max_header_bytes", func(c *Callers) string { return formatOverride(c.MaxHeaderBytes) },
		"The header of a request%[1]s may have %[3]s bytes instead of %[2]s."},
}

var classFields = fieldList[Class]{
	{"worth", func(c *Class) string { return formatNumber(c.Worth) },
		"A response of class %[1]s within its deadline is worth %[3]s instead of %[2]s."},
	{"deadline_ms", func(c *Class) string { return formatMs(c.DeadlineMs) },
		"Requests of class %[1]s that name no deadline have %[3]s instead of %[2]s."},
	{"max_deadline_ms", func(c *Class) string { return formatMs(c.MaxDeadlineMs) },
		"Requests of class %[1]s may name a deadline of up to %[3]s instead of %[2]s."},
	{"share", func(c *Class) string { return formatPercent(c.Share) },
		"Class %[1]s is guaranteed %[3]s of an upstream's slots instead of %[2]s."},
	{"priority", func(c *Class) string { return strconv.Itoa(c.Priority) },
		"Class %[1]s has priority %[3]s in owners' queues instead of %[2]s."},
	{"objective_ms", func(c *Class) string { return formatMs(c.ObjectiveMs) },
		"A response of class %[1]s has its full worth within %[3]s instead of %[2]s."},
	{"max_attempts", func(c *Class) string { return formatOverride(c.MaxAttempts) },
		"A request of class %[1]s may be sent to %[3]s workers instead of %[2]s."},
}

var tenantFields = fieldList[Tenant]{
	{"rate_per_second", func(t *Tenant) string { return formatRateLimit(t.RatePerSecond) },
		"Tenant %[1]s may send %[3]s requests a second to each service instead of %[2]s."},
	{"burst", func(t *Tenant) string { return formatRateLimit(t.Burst) },
		"Tenant %[1]s may send %[3]s requests at once instead of %[2]s."},
	{"max_share", func(t *Tenant) string { return formatPercent(t.MaxShare) },
		"Tenant %[1]s may hold %[3]s of an upstream's slots while others wait instead of %[2]s."},
	{"regions", func(t *Tenant) string { return formatRegions(t.Regions) },
		"Requests of tenant %[1]s may run in %[3]s instead of %[2]s."},
}

var serviceFields = fieldList[Service]{
	{"slots", func(s *Service) string { return strconv.Itoa(s.Slots) },
		"Each upstream of service %[1]s runs %[3]s requests at once instead of %[2]s."},
	{"slot_share", func(s *Service) string { return formatPercent(s.SlotShare) },
		"Owners of service %[1]s use %[3]s of a worker's slots at once instead of %[2]s."},
	{"connections", func(s *Service) string { return strconv.Itoa(s.Connections) },
		"Each upstream of service %[1]s accepts %[3]s connections instead of %[2]s."},
	{"queue_limit", func(s *Service) string { return strconv.Itoa(s.QueueLimit) },
		"Up to %[3]s requests wait at each owner of service %[1]s instead of %[2]s."},
	{"body_limit_bytes", func(s *Service) string { return strconv.FormatInt(s.BodyLimitBytes, 10) },
		"Callers of service %[1]s may send bodies of up to %[3]s bytes instead of %[2]s."},
	{"response_limit_bytes", func(s *Service) string { return strconv.FormatInt(s.ResponseLimitBytes, 10) },
		"Workers of service %[1]s may respond with bodies of up to %[3]s bytes instead of %[2]s."},
	{"warmup_ms", func(s *Service) string { return formatMs(s.WarmupMs) },
		"A cold upstream of service %[1]s warms up over %[3]s instead of %[2]s."},
	{"warming_per_second", func(s *Service) string { return formatRateLimit(s.WarmingPerSecond) },
		"A warming upstream of service %[1]s gets %[3]s requests a second instead of %[2]s."},
	{"warming_most", func(s *Service) string { return formatOverride(s.WarmingMost) },
		"A warming upstream of service %[1]s gets at most %[3]s requests in any second instead of %[2]s."},
	{"warming_ms", func(s *Service) string { return formatMs(s.WarmingMs) },
		"Workers of service %[1]s are warming for %[3]s after their start instead of %[2]s."},
	{"key_memory_ms", func(s *Service) string { return formatMs(s.KeyMemoryMs) },
		"Owners of service %[1]s remember a finished request id for %[3]s instead of %[2]s."},
	{"require_echo", func(s *Service) string { return strconv.FormatBool(s.RequireEcho) },
		"Workers of service %[1]s must echo the attempt's id: %[3]s instead of %[2]s."},
	{"health_path", func(s *Service) string { return formatHealthPath(s.HealthPath) },
		"The health of workers of service %[1]s is polled at %[3]s instead of %[2]s."},
}

var upstreamFields = fieldList[Upstream]{
	{"slots", func(u *Upstream) string { return formatOverride(u.Slots) },
		"Upstream %[1]s runs %[3]s requests at once instead of %[2]s."},
	{"connections", func(u *Upstream) string { return formatOverride(u.Connections) },
		"Upstream %[1]s accepts %[3]s connections instead of %[2]s."},
}

var routeFields = fieldList[routeEffect]{
	{"service", func(u *routeEffect) string { return u.service },
		"Requests for %[1]s go to service %[3]s instead of %[2]s."},
	{"class", func(u *routeEffect) string { return u.class },
		"Requests for %[1]s are of class %[3]s instead of %[2]s."},
	{"idempotent", func(u *routeEffect) string { return u.idempotent },
		"Requests for %[1]s are treated as %[3]s instead of %[2]s."},
	{"weight", func(u *routeEffect) string { return u.weight },
		"Requests for %[1]s have the weight %[3]s instead of %[2]s."},
	{"large_bodies", func(u *routeEffect) string { return u.largeBodies },
		"Requests for %[1]s carry large bodies: %[3]s instead of %[2]s."},
	{"regions", func(u *routeEffect) string { return u.regions },
		"Requests for %[1]s may run in %[3]s instead of %[2]s."},
}

// formatRegions returns the regions for a sentence.
func formatRegions(r []model.RegionName) string {
	if r == nil {
		return "any region"
	}
	words := make([]string, len(r))
	for i, region := range r {
		words[i] = string(region)
	}
	return strings.Join(words, ", ")
}

func formatNumber(f float64) string { return strconv.FormatFloat(f, 'g', -1, 64) }

// percentDigits is the number of significant digits of a formatted percentage.
const percentDigits = 6

func formatPercent(f float64) string {
	return strconv.FormatFloat(f*100, 'g', percentDigits, 64) + "%"
}

func formatMs(n int64) string { return fmt.Sprintf("%d ms", n) }

// formatRateLimit formats a limit for which 0 means no limit.
func formatRateLimit(n float64) string {
	if n == 0 {
		return "any number of"
	}
	return formatNumber(n)
}

// formatOverride formats a limit for which 0 means the service's.
func formatOverride(n int) string {
	if n == 0 {
		return "its service's"
	}
	return strconv.Itoa(n)
}

func formatHedging(quantile float64) string {
	if quantile == 0 {
		return "never"
	}
	return "after the " + formatNumber(quantile) + " quantile of their class"
}

func formatHealthPath(path string) string {
	if path == "" {
		return "no path"
	}
	return path
}
