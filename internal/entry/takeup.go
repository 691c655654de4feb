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
	// heardAge is how recently an owner must have been heard for the body to leave at once.
	// To withhold each body cost 0.04 of the worth of ten machines at 0.32 of a core with
	// 380 requests a second, which hear every owner some times a second; with 195 machines a
	// node hears most owners once in a minute, and there it gains 0.12 under a cut.
	heardAge = 500 * time.Millisecond
)

// takeUpTime returns when an attempt that is sent now is withdrawn unless its owner has
// begun to answer; zero where the body leaves at once: this node's own owner always
// answers, and one that was heard just now is in reach.
func (c *Call) takeUpTime(now time.Time) time.Time {
	if c.to.ID == c.engine.cfg.Self.ID || c.believed.Reported && c.believed.Age < heardAge {
		return time.Time{}
	}
	patience := takeUpMost
	if objective := c.req.Target.Class.Objective(); objective > 0 {
		patience = min(max(objective/takeUpShare, takeUpLeast), takeUpMost)
	}
	return now.Add(patience)
}
