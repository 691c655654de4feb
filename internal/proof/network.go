package proof

import "time"

// Times of the network between nodes.
const (
	nearDelay = 200 * time.Microsecond
	farDelay  = time.Millisecond
	// dialTimeout is package link's, callTimeout package server's bound of
	// opening a connection.
	dialTimeout = 3 * time.Second
	callTimeout = time.Second
	// holdLimit is how long bytes that were sent into a cut may come out of it.
	holdLimit = 10 * time.Second
)

// network carries messages and attempts between nodes, with faults.
type network struct {
	w *world
	// loss, repeat and reorder are shares of the control messages.
	loss, repeat, reorder float64
	// broken is the share of attempts whose connection breaks, copied of those
	// that arrive a second time.
	broken, copied float64
	// slow multiplies delays.
	slow float64
	cuts map[pair]bool
	// held is what was sent into a cut, in the order of sending.
	held map[pair][]heldBytes
}

// pair names two nodes, the smaller index first.
type pair struct{ a, b int }

func pairOf(a, b *node) pair {
	return pair{min(a.index, b.index), max(a.index, b.index)}
}

type heldBytes struct {
	since   time.Time
	deliver func()
}

func newNetwork(w *world) *network {
	return &network{w: w, slow: 1, cuts: map[pair]bool{}, held: map[pair][]heldBytes{}}
}

// isCut tells whether nothing passes between a and b.
func (n *network) isCut(a, b *node) bool { return n.cuts[pairOf(a, b)] }

// delay draws the time one way.
func (n *network) delay(a, b *node) time.Duration {
	base := farDelay
	if a.dataCentre == b.dataCentre {
		base = nearDelay
	}
	base += n.w.between(0, base/2)
	return time.Duration(float64(base) * n.slow)
}

// carry delivers bytes that were sent from a to b: at once, or, when sent into a
// cut, after it has healed, if that is soon enough for the senders to try still.
func (n *network) carry(a, b *node, deliver func()) {
	if !n.isCut(a, b) {
		n.w.after(n.delay(a, b), deliver)
		return
	}
	p := pairOf(a, b)
	n.held[p] = append(n.held[p], heldBytes{since: n.w.now, deliver: deliver})
}

// cut parts a and b.
func (n *network) cut(a, b *node) {
	if a == b || n.isCut(a, b) {
		return
	}
	n.cuts[pairOf(a, b)] = true
	n.breakConns(a, b)
}

// breakConns ends the links of a cut pair when the cut outlasts TCP's patience,
// at each end at a time of its own.
func (n *network) breakConns(a, b *node) {
	for _, end := range [...]*node{a, b} {
		other := a
		if end == a {
			other = b
		}
		n.w.after(n.w.between(2*time.Second, 15*time.Second), func() {
			if end.life != nil && n.isCut(a, b) {
				end.life.links.breakAll(other.id)
			}
		})
	}
}

// heal joins a and b; what was held arrives.
func (n *network) heal(p pair) {
	if !n.cuts[p] {
		return
	}
	delete(n.cuts, p)
	held := n.held[p]
	delete(n.held, p)
	for _, h := range held {
		if n.w.now.Sub(h.since) < holdLimit {
			n.w.after(n.w.between(0, 200*time.Millisecond), h.deliver)
		}
	}
}

// split cuts every pair whose ends are on different sides.
func (n *network) split(sideOf func(*node) int) {
	for i, a := range n.w.nodes {
		for _, b := range n.w.nodes[i+1:] {
			if sideOf(a) != sideOf(b) {
				n.cut(a, b)
			}
		}
	}
}

// healAll joins all pairs.
func (n *network) healAll() {
	for i, a := range n.w.nodes {
		for _, b := range n.w.nodes[i+1:] {
			n.heal(pairOf(a, b))
		}
	}
}

// calm ends all faults.
func (n *network) calm() {
	n.healAll()
	n.loss, n.repeat, n.reorder, n.broken, n.copied, n.slow = 0, 0, 0, 0, 0, 1
}
