package bundle

import (
	"fmt"
	"net/http"
	"slices"
	"strings"

	"gypsumstand/internal/model"
	"gypsumstand/internal/tomlfile"
)

// knownMethods are the methods of RFC 9110, section 9, and RFC 5789, except CONNECT,
// which requests a tunnel.
var knownMethods = []string{
	http.MethodGet, http.MethodHead, http.MethodPost, http.MethodPut, http.MethodPatch,
	http.MethodDelete, http.MethodOptions, http.MethodTrace,
}

func checkServices(b *Bundle, doc *tomlfile.Document) {
	names := newNameChecker(doc)
	routes := newRouteChecker(b, doc)
	for i := range b.Services {
		s, key := &b.Services[i], serviceKey(i)
		names.check(key+".name", string(s.Name))
		checkCapacity(s, key, doc)
		checkDurations(s, key, doc)
		checkWorkerPath(key+".health_path", s.HealthPath, doc)
		checkUpstreams(s, key, doc)
		for j := range s.Routes {
			routes.check(s, &s.Routes[j], fmt.Sprintf("%s.route[%d]", key, j))
		}
	}
}

func checkCapacity(s *Service, key string, doc *tomlfile.Document) {
	if doc.Require(key + ".slots") {
		doc.CheckIntRange(key+".slots", int64(s.Slots), 1, maxReportedCount)
	}
	if doc.Require(key + ".connections") {
		doc.CheckIntRange(key+".connections", int64(s.Connections), 1, maxReportedCount)
		checkSlotsFillable(key+".connections", s.Connections, s.Slots, doc)
	}
	doc.CheckFloatRange(key+".slot_share", s.SlotShare, minSlotShare, 1)
	doc.CheckIntRange(key+".queue_limit", int64(s.QueueLimit), 0, maxReportedCount)
	doc.CheckIntRange(key+".body_limit_bytes", s.BodyLimitBytes, 1, maxBodyLimitBytes)
	doc.CheckIntRange(key+".response_limit_bytes", s.ResponseLimitBytes, 1, maxResponseLimitBytes)
}

// checkSlotsFillable reports a connection limit that is below the number of slots. Counts
// below 1 have their own findings.
func checkSlotsFillable(key string, connections, slots int, doc *tomlfile.Document) {
	if connections > 0 && connections < slots {
		doc.Add(key, "%d connections are too few for %d slots", connections, slots)
	}
}

func checkDurations(s *Service, key string, doc *tomlfile.Document) {
	doc.CheckIntRange(key+".warmup_ms", s.WarmupMs, 1, maxWarmupMs)
	doc.CheckIntRange(key+".warming_ms", s.WarmingMs, 1, maxWarmupMs)
	checkWarming(s, key, doc)
	doc.CheckIntRange(key+".key_memory_ms", s.KeyMemoryMs, 1, maxKeyMemoryMs)
}

func checkWarming(s *Service, key string, doc *tomlfile.Document) {
	doc.CheckFloatRange(key+".warming_per_second", s.WarmingPerSecond, 0, maxRatePerSecond)
	switch {
	case !doc.Has(key + ".warming_most"), doc.Rejected(key + ".warming_per_second"):
	case s.WarmingPerSecond == 0:
		doc.Add(key+".warming_most", "requires warming_per_second over 0")
	default:
		doc.CheckIntRange(key+".warming_most", int64(s.WarmingMost), 1, maxWarmingMost)
	}
}

func checkWorkerPath(key, path string, doc *tomlfile.Document) {
	if !doc.Has(key) {
		return
	}
	if problem := pathProblem(path); problem != "" {
		doc.Add(key, "%q %s", path, problem)
	}
}

func checkUpstreams(s *Service, serviceKey string, doc *tomlfile.Document) {
	names := newNameChecker(doc)
	for i := range s.Upstreams {
		u, key := &s.Upstreams[i], fmt.Sprintf("%s.upstream[%d]", serviceKey, i)
		names.check(key+".instance", string(u.Instance))
		doc.CheckIntRange(key+".slots", int64(u.Slots), 0, maxReportedCount)
		doc.CheckIntRange(key+".connections", int64(u.Connections), 0, maxReportedCount)
		if u.Slots == 0 && u.Connections == 0 && !doc.RejectedWithin(key) {
			doc.Add(key, "must override slots or connections")
			continue
		}
		slots, connections := s.UpstreamLimits(u.Instance)
		if u.Connections > 0 {
			checkSlotsFillable(key+".connections", connections, slots, doc)
		} else {
			checkSlotsFillable(key+".slots", connections, slots, doc)
		}
	}
}

// UpstreamLimits returns the slots and connections of one upstream of the service: the
// service's limits, replaced by the instance's overrides.
func (s *Service) UpstreamLimits(id model.InstanceID) (slots, connections int) {
	slots, connections = s.Slots, s.Connections
	for i := range s.Upstreams {
		u := &s.Upstreams[i]
		if u.Instance != id {
			continue
		}
		if u.Slots > 0 {
			slots = u.Slots
		}
		if u.Connections > 0 {
			connections = u.Connections
		}
		return slots, connections
	}
	return slots, connections
}

// routeChecker checks the routes of all services of a bundle against each other.
type routeChecker struct {
	bundle *Bundle
	doc    *tomlfile.Document
	// seen maps host, path and method ("" for a route of all methods) to the first route
	// that matches them.
	seen map[routeID]seenRoute
	// allClassNamesParsed is false if the name of a class was rejected: a route's unknown
	// class may be that one.
	allClassNamesParsed bool
}

// seenRoute is a route with its key in the document.
type seenRoute struct {
	key   string
	route *Route
}

// sharesSplitWith reports whether two routes with the same host, path and method are
// parts of one split.
func (r *Route) sharesSplitWith(other *Route) bool {
	return r.Weight > 0 && other.Weight > 0 && slices.Equal(r.Methods, other.Methods)
}

type routeID struct {
	host   string
	path   string
	method string
}

func newRouteChecker(b *Bundle, doc *tomlfile.Document) *routeChecker {
	parsed := true
	for i := range b.Classes {
		parsed = parsed && !doc.Rejected(classKey(i)+".name")
	}
	parsed = parsed && !doc.Rejected("class")
	return &routeChecker{bundle: b, doc: doc, seen: map[routeID]seenRoute{}, allClassNamesParsed: parsed}
}

func (c *routeChecker) check(s *Service, r *Route, key string) {
	if c.doc.Require(key + ".path") {
		c.checkPath(key+".path", r.Path)
	}
	c.checkClass(key+".class", r.Class)
	c.checkMethods(r, key+".methods")
	c.checkHost(key+".host", r.Host)
	c.doc.CheckIntRange(key+".weight", int64(r.Weight), 0, maxRouteWeight)
	checkRegions(r.Regions, key+".regions", c.doc)
	if !c.doc.RejectedWithin(key) {
		c.checkDuplicate(r, key)
	}
	c.checkKeyMemory(s, r, key)
}

func (c *routeChecker) checkPath(key, path string) {
	if problem := pathProblem(path); problem != "" {
		c.doc.Add(key, "%q %s", path, problem)
	}
}

// checkHost reports a host that no Host header can contain.
func (c *routeChecker) checkHost(key, host string) {
	if len(host) > maxHostBytes || strings.ContainsAny(host, " /:@?#") {
		c.doc.Add(key, "%q must be a host name or IP address without a port, of at most %d bytes", host, maxHostBytes)
	}
}

// pathProblem describes what makes a path invalid; it is empty for a valid path.
func pathProblem(path string) string {
	switch {
	case !strings.HasPrefix(path, "/"):
		return `must start with "/"`
	case len(path) > maxPathBytes:
		return fmt.Sprintf("must be at most %d bytes", maxPathBytes)
	case strings.ContainsFunc(path, isInvalidInPath):
		return "must not contain a space, a control character, '?' or '#'"
	case strings.Contains(path, "//"):
		return "must not contain an empty segment"
	}
	for segment := range strings.SplitSeq(path, "/") {
		if segment == "." || segment == ".." {
			return "must not contain a '.' or '..' segment"
		}
	}
	return ""
}

func isInvalidInPath(r rune) bool { return r <= ' ' || r == 0x7f || r == '?' || r == '#' }

func (c *routeChecker) checkClass(key string, class model.ClassName) {
	switch {
	case class == "" && !c.doc.Has(key):
		c.doc.Add(key, "missing")
	case c.allClassNamesParsed && c.bundle.Class(class) == nil:
		c.doc.Add(key, "%q is not a class of this bundle", class)
	}
}

func (c *routeChecker) checkMethods(r *Route, key string) {
	for i, m := range r.Methods {
		if !slices.Contains(knownMethods, m) {
			c.doc.Add(key, "%q is not one of %s", m, strings.Join(knownMethods, ", "))
		}
		if slices.Contains(r.Methods[:i], m) {
			c.doc.Add(key, "%q is listed twice", m)
		}
	}
}

// checkDuplicate reports a route with a method that an earlier route of the same host and
// path already has, unless both are parts of one split.
func (c *routeChecker) checkDuplicate(r *Route, key string) {
	reported := false
	for _, id := range r.routeIDs() {
		first, found := c.seen[id]
		if !found {
			c.seen[id] = seenRoute{key: key, route: r}
			continue
		}
		if first.key == key || reported || first.route.sharesSplitWith(r) {
			continue
		}
		reported = true
		line, _ := c.doc.Position(first.key)
		c.doc.Add(key+".path", "%s is already routed by %s on line %d", id, first.key, line)
	}
}

// routeIDs returns the route's host and path with each of its methods.
func (r *Route) routeIDs() []routeID {
	if len(r.Methods) == 0 {
		return []routeID{{host: strings.ToLower(r.Host), path: r.Path}}
	}
	out := make([]routeID, len(r.Methods))
	for i, m := range r.Methods {
		out[i] = routeID{host: strings.ToLower(r.Host), path: r.Path, method: m}
	}
	return out
}

// String names the route for findings, as in "POST /payouts".
func (id routeID) String() string {
	if id.method == "" {
		return "every method of " + id.host + id.path
	}
	return id.method + " " + id.host + id.path
}

// checkKeyMemory reports a service that forgets the id of a finished request before the
// request's deadline, so that a retry could run it a second time.
func (c *routeChecker) checkKeyMemory(s *Service, r *Route, key string) {
	class := c.bundle.Class(r.Class)
	if class == nil || r.alwaysIdempotent() || s.KeyMemoryMs < 1 || s.KeyMemoryMs >= class.MaxDeadlineMs {
		return
	}
	c.doc.Add(key+".class", "class %s allows deadlines of %d ms, longer than the service's key_memory_ms of %d", r.Class, class.MaxDeadlineMs, s.KeyMemoryMs)
}

// alwaysIdempotent reports whether all requests of the route are idempotent, unless the
// caller itself declares otherwise.
func (r *Route) alwaysIdempotent() bool {
	if len(r.Methods) == 0 {
		return r.Idempotent != nil && *r.Idempotent
	}
	for _, m := range r.Methods {
		if !r.idempotent(m) {
			return false
		}
	}
	return true
}
