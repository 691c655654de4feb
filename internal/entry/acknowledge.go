package entry

import "time"

// An owner acknowledges an attempt once it has read the head: it asks for the body or
// refuses. An owner that does neither is unreachable, without power or paused. As it
// doesn't have the body, the attempt can be withdrawn and the request sent elsewhere,
// proved not to have run.
const (
	// maxAcknowledgeTime bounds the time that an owner has: several times the longest network
	// path between two regions, which takes 70 ms each way.
	maxAcknowledgeTime = 250 * time.Millisecond
	// minAcknowledgeTime is the least time that an owner has: an instance with a CPU quota
	// may be stopped for most of 100 ms.
	minAcknowledgeTime = 100 * time.Millisecond
	// The time is at most 1/objectiveDivisor of the class's objective, so that the next owner
	// can still respond within it.
	objectiveDivisor = 4
	// recentReportAge is the age up to which an owner's report lets the body be sent at once.
	// Withholding every body costs throughput where reports are frequent: with ten instances
	// at 0.32 of a core and 380 requests a second, where a node receives reports of every
	// owner several times a second, it cost 0.04 of the worth. With 195 instances, where a
	// node receives reports of most owners once a minute, it gained 0.12 during a network
	// partition.
	recentReportAge = 500 * time.Millisecond
)

// acknowledgeTime returns when an attempt sent now is withdrawn unless its owner has
// acknowledged it. Zero means that the body is sent at once: this node's own owner always
// responds, and an owner with a recent report is reachable. A reservation has the longest
// time: on the links of owners that receive large bodies, a reply often waits behind one.
func (c *Call) acknowledgeTime(now time.Time) time.Time {
	if c.reservedBytes() > 0 {
		return now.Add(maxAcknowledgeTime)
	}
	if c.to.ID == c.engine.cfg.Self.ID || c.estimate.Reported && c.estimate.Age < recentReportAge {
		return time.Time{}
	}
	timeout := maxAcknowledgeTime
	if objective := c.req.Target.Class.Objective(); objective > 0 {
		timeout = min(max(objective/objectiveDivisor, minAcknowledgeTime), maxAcknowledgeTime)
	}
	return now.Add(timeout)
}
