package bundle

import (
	"cmp"
	"fmt"
	"slices"
	"strconv"
)

// Subject is the kind of element that a change concerns.
type Subject uint8

// The subjects, in the order in which Diff lists them.
const (
	SubjectBundle Subject = iota
	SubjectMeasuring
	SubjectRetry
	SubjectAdmission
	SubjectCallers
	SubjectClass
	SubjectTenant
	SubjectService
	SubjectUpstream
	SubjectRoute
)

var subjectNames = [...]string{"bundle", "measuring", "retry", "admission", "callers", "class", "tenant", "service", "upstream", "route"}

// String returns the subject's name in the bundle's TOML.
func (s Subject) String() string {
	if int(s) < len(subjectNames) {
		return subjectNames[s]
	}
	return "invalid"
}

// Operation tells whether a subject is added, removed or changed.
type Operation uint8

// The operations of a Change.
const (
	Added Operation = iota
	Removed
	Changed
)

var operationNames = [...]string{"added", "removed", "changed"}

// String returns the operation's name, such as "added".
func (o Operation) String() string {
	if int(o) < len(operationNames) {
		return operationNames[o]
	}
	return "invalid"
}

// Change is one difference between two versions of a bundle.
type Change struct {
	Subject   Subject
	Operation Operation
	// Name identifies the subject: the name of a class, tenant or service,
	// "service/instance" for an upstream, "POST /path" for a route. It is empty for
	// subjects that a bundle has only once.
	Name string
	// Field is the TOML key that changed; empty if the subject was added or removed.
	Field string
	// Old and New are the field's values, formatted for operators.
	Old string
	New string
	// Sentence describes the effect of the change in one sentence.
	Sentence string
}

// Diff returns the changes that take effect when new replaces old, ordered by subject and
// then as in the bundles. old is nil for a bundle that did not exist before. The bundles'
// comments are not compared.
func Diff(old, new *Bundle) []Change {
	d := &differ{}
	if old == nil {
		old = &Bundle{Name: new.Name, Measuring: new.Measuring, Retry: new.Retry, Callers: new.Callers}
		d.add(Change{Subject: SubjectBundle, Operation: Added, Name: string(new.Name), New: new.VersionID().String(),
			Sentence: fmt.Sprintf("Bundle %s takes effect for the first time.", new.VersionID())})
	}
	d.bundle(old, new)
	d.fields(SubjectMeasuring, "", measuringFields.values(&old.Measuring), measuringFields.values(&new.Measuring))
	d.fields(SubjectRetry, "", retryFields.values(&old.Retry), retryFields.values(&new.Retry))
	d.fields(SubjectAdmission, "", admissionFields.values(&old.Admission), admissionFields.values(&new.Admission))
	d.fields(SubjectCallers, "", callersFields.values(&old.Callers), callersFields.values(&new.Callers))
	d.classes(old, new)
	d.tenants(old, new)
	d.services(old, new)
	d.upstreams(old, new)
	d.routes(old, new)
	return d.changes
}

// differ collects the changes between two bundles.
type differ struct{ changes []Change }

func (d *differ) add(c Change) { d.changes = append(d.changes, c) }

func (d *differ) bundle(old, new *Bundle) {
	if old.Name != new.Name {
		d.add(Change{Subject: SubjectBundle, Operation: Changed, Field: "name", Old: string(old.Name), New: string(new.Name),
			Sentence: fmt.Sprintf("Bundle %s does not replace bundle %s, whose name differs: both would be in force.", new.Name, old.Name)})
		return
	}
	if old.Version == 0 || old.Version == new.Version {
		return
	}
	sentence := fmt.Sprintf("Version %d replaces version %d.", new.Version, old.Version)
	if new.Version < old.Version {
		sentence = fmt.Sprintf("Version %d is older than version %d: nodes that have the newer one refuse it.", new.Version, old.Version)
	}
	d.add(Change{Subject: SubjectBundle, Operation: Changed, Field: "version",
		Old: strconv.FormatUint(old.Version, 10), New: strconv.FormatUint(new.Version, 10), Sentence: sentence})
}

// fields adds a change for each field whose value differs. old and new hold the same
// fields in the same order.
func (d *differ) fields(subject Subject, name string, old, new []fieldValue) {
	for i, n := range new {
		o := old[i]
		if o.value == n.value {
			continue
		}
		d.add(Change{Subject: subject, Operation: Changed, Name: name, Field: n.key, Old: o.value, New: n.value,
			Sentence: fmt.Sprintf(n.sentence, name, o.value, n.value)})
	}
}

func (d *differ) classes(old, new *Bundle) {
	compareByName(old.Classes, new.Classes, func(c *Class) string { return string(c.Name) }, pairHandlers[Class]{
		added: func(c *Class) {
			d.addSubject(SubjectClass, Added, string(c.Name), fmt.Sprintf("Class %s is new: worth %s, deadline %s, %s of an upstream's slots.",
				c.Name, formatNumber(c.Worth), formatMs(c.DeadlineMs), formatPercent(c.Share)))
		},
		removed: func(c *Class) {
			d.addSubject(SubjectClass, Removed, string(c.Name), fmt.Sprintf("Class %s is removed, with its guaranteed %s of an upstream's slots.", c.Name, formatPercent(c.Share)))
		},
		inBoth: func(o, n *Class) {
			d.fields(SubjectClass, string(n.Name), classFields.values(o), classFields.values(n))
		},
	})
}

func (d *differ) tenants(old, new *Bundle) {
	compareByName(old.Tenants, new.Tenants, func(t *Tenant) string { return string(t.Name) }, pairHandlers[Tenant]{
		added: func(t *Tenant) {
			d.addSubject(SubjectTenant, Added, string(t.Name), fmt.Sprintf("Tenant %s is counted and limited separately: %s requests a second to each service.", t.Name, formatRateLimit(t.RatePerSecond)))
		},
		removed: func(t *Tenant) {
			d.addSubject(SubjectTenant, Removed, string(t.Name), fmt.Sprintf("Tenant %s has no separate limits any more and is counted among the other tenants.", t.Name))
		},
		inBoth: func(o, n *Tenant) {
			d.fields(SubjectTenant, string(n.Name), tenantFields.values(o), tenantFields.values(n))
		},
	})
}

func (d *differ) services(old, new *Bundle) {
	compareByName(old.Services, new.Services, func(s *Service) string { return string(s.Name) }, pairHandlers[Service]{
		added: func(s *Service) {
			d.addSubject(SubjectService, Added, string(s.Name), fmt.Sprintf("Service %s is new: %d slots and %d connections an upstream.", s.Name, s.Slots, s.Connections))
		},
		removed: func(s *Service) {
			d.addSubject(SubjectService, Removed, string(s.Name), fmt.Sprintf("Service %s is removed: its upstreams get no more requests.", s.Name))
		},
		inBoth: func(o, n *Service) {
			d.fields(SubjectService, string(n.Name), serviceFields.values(o), serviceFields.values(n))
		},
	})
}

// namedUpstream is an override with its name in a Change, "service/instance".
type namedUpstream struct {
	name string
	Upstream
}

func namedUpstreams(b *Bundle) []namedUpstream {
	var out []namedUpstream
	for i := range b.Services {
		for _, u := range b.Services[i].Upstreams {
			out = append(out, namedUpstream{name: string(b.Services[i].Name) + "/" + string(u.Instance), Upstream: u})
		}
	}
	return out
}

func (d *differ) upstreams(old, new *Bundle) {
	compareByName(namedUpstreams(old), namedUpstreams(new), func(u *namedUpstream) string { return u.name }, pairHandlers[namedUpstream]{
		added: func(u *namedUpstream) {
			d.addSubject(SubjectUpstream, Added, u.name, fmt.Sprintf("Upstream %s has separate limits: %s slots, %s connections.", u.name, formatOverride(u.Slots), formatOverride(u.Connections)))
		},
		removed: func(u *namedUpstream) {
			d.addSubject(SubjectUpstream, Removed, u.name, fmt.Sprintf("Upstream %s has its service's limits again.", u.name))
		},
		inBoth: func(o, n *namedUpstream) {
			d.fields(SubjectUpstream, n.name, upstreamFields.values(&o.Upstream), upstreamFields.values(&n.Upstream))
		},
	})
}

// addSubject adds the change of a subject that is added or removed.
func (d *differ) addSubject(subject Subject, op Operation, name, sentence string) {
	d.add(Change{Subject: subject, Operation: op, Name: name, Sentence: sentence})
}

// pairHandlers are called for the elements that are in the new list only, in the old list
// only, or in both.
type pairHandlers[T any] struct {
	added, removed func(*T)
	inBoth         func(old, new *T)
}

// compareByName pairs the elements of two lists by name and calls p's handlers: first for
// the removed elements, then for the others in the order of the new list.
func compareByName[T any](old, new []T, name func(*T) string, p pairHandlers[T]) {
	find := func(list []T, key string) *T {
		i := slices.IndexFunc(list, func(t T) bool { return name(&t) == key })
		if i < 0 {
			return nil
		}
		return &list[i]
	}
	for i := range old {
		if find(new, name(&old[i])) == nil {
			p.removed(&old[i])
		}
	}
	for i := range new {
		o := find(old, name(&new[i]))
		if o == nil {
			p.added(&new[i])
		} else {
			p.inBoth(o, &new[i])
		}
	}
}

// routeEffect is how requests of one host, path and method are routed.
type routeEffect struct {
	id routeID
	// splitPart is the service that distinguishes this part of a split from the others;
	// empty for a route that is not split.
	splitPart  string
	weight     string
	service    string
	class      string
	idempotent string
	regions    string
	// largeBodies is "true" or "false".
	largeBodies string
}

// name identifies the effect among those of its bundle.
func (u *routeEffect) name() string {
	if u.splitPart == "" {
		return u.id.String()
	}
	return u.id.String() + " by " + u.splitPart
}

func routeEffects(b *Bundle) []routeEffect {
	var out []routeEffect
	for i := range b.Services {
		s := &b.Services[i]
		for j := range s.Routes {
			r := &s.Routes[j]
			for _, id := range r.routeIDs() {
				u := routeEffect{id: id, service: string(s.Name), class: string(r.Class), idempotent: r.describeIdempotency(id.method), regions: formatRegions(r.Regions), largeBodies: strconv.FormatBool(r.LargeBodies)}
				if r.Weight > 0 {
					u.splitPart, u.weight = string(s.Name), strconv.Itoa(r.Weight)
				}
				out = append(out, u)
			}
		}
	}
	slices.SortStableFunc(out, func(a, b routeEffect) int {
		return cmp.Or(cmp.Compare(a.id.host, b.id.host), cmp.Compare(a.id.path, b.id.path), cmp.Compare(a.id.method, b.id.method))
	})
	return out
}

// describeIdempotency describes whether requests of the method count as idempotent.
func (r *Route) describeIdempotency(method string) string {
	switch {
	case method == "" && r.Idempotent == nil:
		return "idempotent by method"
	case r.idempotent(method):
		return "idempotent"
	}
	return "not idempotent"
}

func (d *differ) routes(old, new *Bundle) {
	compareByName(routeEffects(old), routeEffects(new), (*routeEffect).name, pairHandlers[routeEffect]{
		added: func(u *routeEffect) {
			d.addSubject(SubjectRoute, Added, u.name(), fmt.Sprintf("Requests for %s go to service %s as class %s, %s.", u.id, u.service, u.class, u.idempotent))
		},
		removed: func(u *routeEffect) {
			d.addSubject(SubjectRoute, Removed, u.name(), fmt.Sprintf("Requests for %s no longer have their own route to service %s.", u.id, u.service))
		},
		inBoth: func(o, n *routeEffect) {
			d.fields(SubjectRoute, n.name(), routeFields.values(o), routeFields.values(n))
		},
	})
}
