package bundle

import (
	"fmt"
	"net/http"
	"slices"
	"strings"

	"gypsumstand/internal/model"
	"gypsumstand/internal/tomlfile"
)

// knownMethods are those of RFC 9110, section 9, and RFC 5789, but for CONNECT,
// which asks for a tunnel.
var knownMethods = []string{
	http.MethodGet, http.MethodHead, http.MethodPost, http.MethodPut, http.MethodPatch,
	http.MethodDelete, http.MethodOptions, http.MethodTrace,
}

func checkServices(b *Bundle, doc *tomlfile.Document) {
	names := newNames(doc)
	routes := newRouteChecker(b, doc)
	for i := range b.Services {
		s, key := &b.Services[i], serviceKey(i)
		names.add(key+".name", string(s.Name))
		checkCounts(s, key, doc)
		checkTimes(s, key, doc)
		checkWorkerPath(key+".health_path", s.HealthPath, doc)
		checkUpstreams(s, key, doc)
		for j := range s.Routes {
			routes.check(s, &s.Routes[j], fmt.Sprintf("%s.route[%d]", key, j))
		}
	}
}

func checkCounts(s *Service, key string, doc *tomlfile.Document) {
	if doc.Require(key + ".slots") {
		doc.CheckIntRange(key+".slots", int64(s.Slots), 1, maxUpstreamCount)
	}
	if doc.Require(key + ".connections") {
		doc.CheckIntRange(key+".connections", int64(s.Connections), 1, maxUpstreamCount)
		checkEnough(key+".connections", s.Connections, s.Slots, doc)
	}
	doc.CheckFloatRange(key+".slot_share", s.SlotShare, minSlotShare, 1)
	doc.CheckIntRange(key+".queue_limit", int64(s.QueueLimit), 0, maxUpstreamCount)
	doc.CheckIntRange(key+".body_limit_bytes", s.BodyLimitBytes, 1, maxBodyLimitBytes)
}

// checkEnough notes connections that cannot fill the slots. Counts that are
// not positive have findings of their own.
func checkEnough(key string, connections, slots int, doc *tomlfile.Document) {
	if connections > 0 && connections < slots {
		doc.Add(key, "%d connections cannot fill %d slots", connections, slots)
	}
}

func checkTimes(s *Service, key string, doc *tomlfile.Document) {
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
		doc.Add(key+".warming_most", "has no meaning without warming_per_second")
	default:
		doc.CheckIntRange(key+".warming_most", int64(s.WarmingMost), 1, maxWarmingMost)
	}
}

func checkWorkerPath(key, path string, doc *tomlfile.Document) {
	if !doc.Has(key) {
		return
	}
	if fault := pathFault(path); fault != "" {
		doc.Add(key, "%q %s", path, fault)
	}
}

func checkUpstreams(s *Service, serviceKey string, doc *tomlfile.Document) {
	names := newNames(doc)
	for i := range s.Upstreams {
		u, key := &s.Upstreams[i], fmt.Sprintf("%s.upstream[%d]", serviceKey, i)
		names.add(key+".instance", string(u.Instance))
		doc.CheckIntRange(key+".slots", int64(u.Slots), 0, maxUpstreamCount)
		doc.CheckIntRange(key+".connections", int64(u.Connections), 0, maxUpstreamCount)
		if u.Slots == 0 && u.Connections == 0 && !doc.RejectedWithin(key) {
			doc.Add(key, "overrides neither slots nor connections")
			continue
		}
		slots, connections := s.UpstreamLimits(u.Instance)
		if u.Connections > 0 {
			checkEnough(key+".connections", connections, slots, doc)
		} else {
			checkEnough(key+".slots", connections, slots, doc)
		}
	}
}

// UpstreamLimits returns the slots and connections of one upstream of the service: the
// service's, or what an override says.
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
	// taken maps host, path and method ("" for a route of all methods) to the
	// route that has it.
	taken map[routeID]takenRoute
	// classesKnown is false when a class's name was not taken, so that an
	// unknown class may be that one.
	classesKnown bool
}

// takenRoute is a route and its key in the document.
type takenRoute struct {
	key   string
	route *Route
}

// splitsWith tells whether two routes with the same host, path and method are
// parts of one split.
func (r *Route) splitsWith(other *Route) bool {
	return r.Weight > 0 && other.Weight > 0 && slices.Equal(r.Methods, other.Methods)
}

type routeID struct {
	host   string
	path   string
	method string
}

func newRouteChecker(b *Bundle, doc *tomlfile.Document) *routeChecker {
	known := true
	for i := range b.Classes {
		known = known && !doc.Rejected(classKey(i)+".name")
	}
	known = known && !doc.Rejected("class")
	return &routeChecker{bundle: b, doc: doc, taken: map[routeID]takenRoute{}, classesKnown: known}
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
		c.checkTaken(r, key)
	}
	c.checkKeyMemory(s, r, key)
}

func (c *routeChecker) checkPath(key, path string) {
	if fault := pathFault(path); fault != "" {
		c.doc.Add(key, "%q %s", path, fault)
	}
}

// checkHost notes a host that no request can name.
func (c *routeChecker) checkHost(key, host string) {
	if len(host) > maxHostBytes || strings.ContainsAny(host, " /:@?#") {
		c.doc.Add(key, "%q must be a host name or IP number without a port, of at most %d bytes", host, maxHostBytes)
	}
}

// pathFault says what is wrong with a path; empty when nothing is.
func pathFault(path string) string {
	switch {
	case !strings.HasPrefix(path, "/"):
		return `must start with "/"`
	case len(path) > maxPathBytes:
		return fmt.Sprintf("is over %d bytes", maxPathBytes)
	case strings.ContainsFunc(path, notInPath):
		return "must have no space, control character, '?' or '#'"
	case strings.Contains(path, "//"):
		return "must have no empty segment"
	}
	for segment := range strings.SplitSeq(path, "/") {
		if segment == "." || segment == ".." {
			return "must have no '.' or '..' segment"
		}
	}
	return ""
}

func notInPath(r rune) bool { return r <= ' ' || r == 0x7f || r == '?' || r == '#' }

func (c *routeChecker) checkClass(key string, class model.ClassName) {
	switch {
	case class == "" && !c.doc.Has(key):
		c.doc.Add(key, "missing")
	case c.classesKnown && c.bundle.Class(class) == nil:
		c.doc.Add(key, "%q is no class of this bundle", class)
	}
}

func (c *routeChecker) checkMethods(r *Route, key string) {
	for i, m := range r.Methods {
		if !slices.Contains(knownMethods, m) {
			c.doc.Add(key, "%q is not one of %s", m, strings.Join(knownMethods, ", "))
		}
		if slices.Contains(r.Methods[:i], m) {
			c.doc.Add(key, "%q stands twice", m)
		}
	}
}

// checkTaken notes a route that another of the same path and method hides.
func (c *routeChecker) checkTaken(r *Route, key string) {
	reported := false
	for _, id := range r.ids() {
		first, taken := c.taken[id]
		if !taken {
			c.taken[id] = takenRoute{key: key, route: r}
			continue
		}
		if first.key == key || reported || first.route.splitsWith(r) {
			continue
		}
		reported = true
		line, _ := c.doc.Position(first.key)
		c.doc.Add(key+".path", "%s is hidden by %s on line %d", id, first.key, line)
	}
}

// ids returns what the route takes: its path with each of its methods.
func (r *Route) ids() []routeID {
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

// checkKeyMemory notes a service that forgets a finished request id while the
// request's own deadline still runs.
func (c *routeChecker) checkKeyMemory(s *Service, r *Route, key string) {
	class := c.bundle.Class(r.Class)
	if class == nil || r.alwaysIdempotent() || s.KeyMemoryMs < 1 || s.KeyMemoryMs >= class.MaxDeadlineMs {
		return
	}
	c.doc.Add(key+".class", "class %s allows deadlines of %d ms, over the service's key_memory_ms of %d", r.Class, class.MaxDeadlineMs, s.KeyMemoryMs)
}

// alwaysIdempotent tells whether no request of the route can be non-idempotent,
// short of the caller's own word.
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
