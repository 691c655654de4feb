package proof

import "time"

// Delays and timeouts of the network between nodes.
const (
	nearDelay = 200 * time.Microsecond
	farDelay  = time.Millisecond
	// dialTimeout is package link's timeout for opening a link. callTimeout is how long an
	// attempt waits for a connection across a cut; package server waits 400 ms.
	dialTimeout = 3 * time.Second
	callTimeout = time.Second
	// maxRetransmitDelay is how long TCP may hold bytes that were sent into a partition
	// and still deliver them when it heals.
	maxRetransmitDelay = 10 * time.Second
)

// network carries control messages and attempts between nodes and applies faults.
type network struct {
	w *world
	// loss, duplicate and reorder are shares of the control messages.
	loss, duplicate, reorder float64
	// broken is the share of attempts whose connection breaks; duplicated is the share of
	// attempts that arrive a second time.
	broken, duplicated float64
	// delayFactor multiplies delays.
	delayFactor float64
	cuts        map[pair]bool
	// delayed holds what was sent into a cut, in the order of sending.
	delayed map[pair][]delayedDelivery
}

// pair names two nodes, the smaller index first.
type pair struct{ a, b int }

func pairOf(a, b *node) pair {
	return pair{min(a.index, b.index), max(a.index, b.index)}
}

type delayedDelivery struct {
	since   time.Time
	deliver func()
}

func newNetwork(w *world) *network {
	return &network{w: w, delayFactor: 1, cuts: map[pair]bool{}, delayed: map[pair][]delayedDelivery{}}
}

// isCut reports whether the connection between a and b is cut.
func (n *network) isCut(a, b *node) bool { return n.cuts[pairOf(a, b)] }

// delay draws a one-way delay.
func (n *network) delay(a, b *node) time.Duration {
	base := farDelay
	if a.dataCentre == b.dataCentre {
		base = nearDelay
	}
	base += n.w.between(0, base/2)
	return time.Duration(float64(base) * n.delayFactor)
}

// transmit delivers bytes that a sent to b. Bytes that were sent into a cut are delivered
// after it heals, if that happens within maxRetransmitDelay.
func (n *network) transmit(a, b *node, deliver func()) {
	if !n.isCut(a, b) {
		n.w.after(n.delay(a, b), deliver)
		return
	}
	p := pairOf(a, b)
	n.delayed[p] = append(n.delayed[p], delayedDelivery{since: n.w.now, deliver: deliver})
}

// cut stops all traffic between a and b.
func (n *network) cut(a, b *node) {
	if a == b || n.isCut(a, b) {
		return
	}
	n.cuts[pairOf(a, b)] = true
	n.breakLinks(a, b)
}

// breakLinks closes the links of a cut pair if the cut outlasts TCP's retransmissions, at
// each end after 2 to 15 s.
func (n *network) breakLinks(a, b *node) {
	for _, end := range [...]*node{a, b} {
		other := a
		if end == a {
			other = b
		}
		n.w.after(n.w.between(2*time.Second, 15*time.Second), func() {
			if end.process != nil && n.isCut(a, b) {
				end.process.links.breakAll(other.id)
			}
		})
	}
}

// heal ends a cut and delivers what was delayed.
func (n *network) heal(p pair) {
	if !n.cuts[p] {
		return
	}
	delete(n.cuts, p)
	delayed := n.delayed[p]
	delete(n.delayed, p)
	for _, h := range delayed {
		if n.w.now.Sub(h.since) < maxRetransmitDelay {
			n.w.after(n.w.between(0, 200*time.Millisecond), h.deliver)
		}
	}
}

// split cuts every pair whose nodes are on different sides.
func (n *network) split(sideOf func(*node) int) {
	for i, a := range n.w.nodes {
		for _, b := range n.w.nodes[i+1:] {
			if sideOf(a) != sideOf(b) {
				n.cut(a, b)
			}
		}
	}
}

// healAll ends all cuts.
func (n *network) healAll() {
	for i, a := range n.w.nodes {
		for _, b := range n.w.nodes[i+1:] {
			n.heal(pairOf(a, b))
		}
	}
}

// clearFaults ends all network faults.
func (n *network) clearFaults() {
	n.healAll()
	n.loss, n.duplicate, n.reorder, n.broken, n.duplicated, n.delayFactor = 0, 0, 0, 0, 0, 1
}
