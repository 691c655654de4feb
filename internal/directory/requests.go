package directory

import (
	"slices"
	"time"

	"gypsumstand/internal/model"
)

// Parameters for evaluating peers by their replies to requests.
const (
	// replyGrace is how long a request may be open before it counts as unanswered. A reply
	// takes 1 to 5 ms, and some tens of ms on a slow machine.
	replyGrace = 60 * time.Millisecond
	// requestTTL is how long a request counts. A node that receives no messages sends about
	// five requests in that time.
	requestTTL = 500 * time.Millisecond
	// maxRequests bounds the requests that are remembered.
	maxRequests = 16
)

// request is one request to a peer.
type request struct {
	peer   model.InstanceID
	sentAt time.Time
	// replied reports whether the peer replied; canRead whether its own reads succeed.
	replied, canRead bool
}

// requestHistory holds the latest requests to peers.
type requestHistory struct{ list []request }

// add records a request.
func (h *requestHistory) add(now time.Time, peer model.InstanceID) {
	h.list = slices.DeleteFunc(h.list, func(r request) bool { return now.Sub(r.sentAt) > requestTTL })
	if len(h.list) < maxRequests {
		h.list = append(h.list, request{peer: peer, sentAt: now})
	}
}

// replied records a peer's reply and whether the peer can read the directory.
func (h *requestHistory) replied(peer model.InstanceID, canRead bool) {
	for i := range h.list {
		if r := &h.list[i]; r.peer == peer {
			r.replied, r.canRead = true, canRead
		}
	}
}

// requestCounts counts requests by their result.
type requestCounts struct{ sent, replied, canRead int }

// count counts the requests of the last requestTTL that were answered or exceeded
// replyGrace.
func (h *requestHistory) count(now time.Time) requestCounts {
	var counts requestCounts
	for _, r := range h.list {
		age := now.Sub(r.sentAt)
		if age > requestTTL || !r.replied && age < replyGrace {
			continue
		}
		counts.sent++
		if r.replied {
			counts.replied++
		}
		if r.canRead {
			counts.canRead++
		}
	}
	return counts
}

const (
	// minRequests is the number of counted requests from which they replace the number of
	// listed nodes as the estimate.
	minRequests = 3
	// maxSoleReaders is the number of nodes that may each read as if they were the only
	// reader: at ten reads a second each, they use the 2,000 calls a second that the
	// directory grants in total.
	maxSoleReaders = 200
)

// estimateReaders estimates how many of the listed nodes, this one included, take turns
// reading the directory. Nodes that are stopped, dead or isolated stay listed but do not
// reply. Nodes that the directory rejects do reply; if it served none, each of them would
// read as the only reader, so a share of them is counted.
func (h *requestHistory) estimateReaders(now time.Time, listed int) int {
	counts := h.count(now)
	if counts.sent < minRequests {
		return listed
	}
	others := listed - 1
	return 1 + max(others*counts.canRead/counts.sent, others*counts.replied/counts.sent/maxSoleReaders)
}

// estimateResponsive estimates how many of the listed nodes reply, this one included.
func (h *requestHistory) estimateResponsive(now time.Time, listed int) int {
	counts := h.count(now)
	if counts.sent < minRequests {
		return listed
	}
	return 1 + (listed-1)*counts.replied/counts.sent
}
