package entry

import (
	"time"

	"gypsumstand/internal/model"
	"gypsumstand/internal/route"
	"gypsumstand/internal/wire"
)

// homeState is what a call knows from the home of its request's id; see
// docs/DESIGN.md, "At most once".
type homeState struct {
	// spoke: the home's last word was that it had looked the id up, found no
	// earlier sending of it, and does not run it now.
	spoke bool
	// delegate is set once the home registered the id and left its placing to
	// this call.
	delegate *delegation
	// passed are homes that take no part any more: one that is leaving has handed
	// its memory over, and one whose address refuses connections has none.
	passed []model.InstanceID
}

// delegation is the home that delegated and the attempt that it recorded.
type delegation struct {
	instance model.Instance
	attempt  model.AttemptID
}

func (h *homeState) delegated() bool { return h.delegate != nil }

// maxPassed bounds the homes that one call passes by.
const maxPassed = 3

// passHome goes on to the next home of the order; false when the current one
// still has the say.
func (c *Call) passHome(now time.Time, r model.Reason) bool {
	if !c.bound() || len(c.home.passed) == maxPassed {
		return false
	}
	if r != model.ReasonLeaving && r != model.ReasonOwnerAbsent {
		return false
	}
	passed := c.home.passed
	c.home.passed = append(passed, c.to.ID)
	if _, ok := c.chooseHome(now); !ok {
		c.home.passed = passed
		return false
	}
	c.home.spoke = false
	c.phase = phasePlace
	return true
}

// scopedID is the id under which the home remembers the request.
func (c *Call) scopedID() model.RequestID { return model.ScopedRequestID(c.req.Tenant, c.req.ID) }

// keyed tells whether the same request may arrive a second time by another way,
// so that its id needs a home.
func (c *Call) keyed() bool { return c.req.CallerKey && !c.req.Idempotent }

// bound tells whether the next attempt may go to the home only.
func (c *Call) bound() bool { return c.keyed() && !c.home.delegated() }

// chooseHome returns the id's home unless it was asked in this round. A home
// that takes no part any more (leaving or gone) is followed by the next one of
// the order, which the table names.
func (c *Call) chooseHome(now time.Time) (route.Choice, bool) {
	choice, ok := c.engine.table.NextHome(now, c.queryAt(now), c.scopedID(), c.home.passed)
	if !ok || c.tried.has(choice.Instance.ID) || c.tried.full() {
		return route.Choice{}, false
	}
	return choice, true
}

// heardHome takes a refusal of the home, for a reason that the home gives only
// after it has looked the id up. A home that could not be reached has not.
func (c *Call) heardHome(r model.Refusal) {
	if !c.bound() || !r.NotRun {
		return
	}
	switch r.Reason {
	case model.ReasonOverloaded, model.ReasonQueueFull, model.ReasonLeaving, model.ReasonNotReady,
		model.ReasonTenantLimit, model.ReasonDelegated, model.ReasonWorkerShed, model.ReasonWorkerReplaced, model.ReasonQuarantined, model.ReasonDeferred:
		c.home.spoke = true
	case model.ReasonWorkerUnreachable:
		c.home.spoke = c.home.spoke || c.hasReport
	}
}

// delegate frees the call to place the request elsewhere.
func (c *Call) delegate() {
	c.home.delegate = &delegation{instance: c.to, attempt: c.current.ID}
}

// notice returns what the home that delegated is told of the call's end.
func (c *Call) notice() *wire.KeyResult {
	if !c.home.delegated() {
		return nil
	}
	return &wire.KeyResult{Request: c.scopedID(), Attempt: c.home.delegate.attempt, Outcome: c.outcome, Regions: c.req.Regions}
}
