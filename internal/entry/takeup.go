package entry

import "time"

// An owner begins to answer an attempt when it has read its head: it asks for the body or
// refuses. One that does not is cut off, without power or stands still, and as it has no
// body the attempt may be withdrawn and the request go elsewhere, proved not to have run.
const (
	// takeUpMost is the longest time that an owner has: some times the longest way between
	// two regions (70 ms and back).
	takeUpMost = 250 * time.Millisecond
	// takeUpLeast is the least: a machine whose share of a core is a quota may stand still
	// for most of a tenth of a second.
	takeUpLeast = 100 * time.Millisecond
	// takeUpShare is the part of the class's objective that finding out may take, so that
	// the next owner can still answer within it.
	takeUpShare = 4
)

// takeUpTime returns when an attempt that is sent now is withdrawn unless its owner has
// begun to answer; zero for this node's own owner, which always does.
func (c *Call) takeUpTime(now time.Time) time.Time {
	if c.to.ID == c.engine.cfg.Self.ID {
		return time.Time{}
	}
	patience := takeUpMost
	if objective := c.req.Target.Class.Objective(); objective > 0 {
		patience = min(max(objective/takeUpShare, takeUpLeast), takeUpMost)
	}
	return now.Add(patience)
}
