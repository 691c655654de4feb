package bundle

import (
	"slices"
	"strings"
)

// routeNode is a node of the trie of path segments.
type routeNode struct {
	children map[string]*routeNode
	// here holds the routes whose path ends at this node; they match this path
	// and everything below. below holds those whose path ends in a slash after
	// it; they match only what is below.
	here  routeList
	below routeList
}

// routeList holds the routes of one path: those with methods before those
// without, otherwise in the order of adding.
type routeList []routeEntry

type routeEntry struct {
	route  *Route
	target Target
}

// add puts a route under its path. One that does not start with a slash can
// match no request and is left out.
func (n *routeNode) add(r *Route, t Target) {
	rest, ok := strings.CutPrefix(r.Path, "/")
	if !ok {
		return
	}
	for rest != "" {
		segment, after, more := strings.Cut(rest, "/")
		n = n.child(segment)
		rest = after
		if !more {
			n.here.add(routeEntry{route: r, target: t})
			return
		}
	}
	n.below.add(routeEntry{route: r, target: t})
}

func (n *routeNode) child(segment string) *routeNode {
	c := n.children[segment]
	if c != nil {
		return c
	}
	if n.children == nil {
		n.children = map[string]*routeNode{}
	}
	c = &routeNode{}
	n.children[segment] = c
	return c
}

func (l *routeList) add(e routeEntry) {
	at := len(*l)
	if len(e.route.Methods) > 0 {
		at = slices.IndexFunc(*l, func(o routeEntry) bool { return len(o.route.Methods) == 0 })
	}
	if at < 0 {
		at = len(*l)
	}
	*l = slices.Insert(*l, at, e)
}

// match walks down the path and keeps the longest route that has the method.
func (n *routeNode) match(method, path string) (t Target, ok bool) {
	if path == "" || path[0] != '/' {
		return Target{}, false
	}
	best := n.below.find(method)
	for rest, more := path[1:], true; more; {
		var segment string
		segment, rest, more = strings.Cut(rest, "/")
		n = n.children[segment]
		if n == nil {
			break
		}
		if e := n.here.find(method); e != nil {
			best = e
		}
		if !more {
			break
		}
		if e := n.below.find(method); e != nil {
			best = e
		}
	}
	if best == nil {
		return Target{}, false
	}
	t = best.target
	t.Idempotent = best.route.idempotent(method)
	return t, true
}

// find returns the first entry that has the method, or nil.
func (l routeList) find(method string) *routeEntry {
	for i := range l {
		e := &l[i]
		if len(e.route.Methods) == 0 || slices.Contains(e.route.Methods, method) {
			return e
		}
	}
	return nil
}
