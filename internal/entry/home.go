package entry

import (
	"time"

	"gypsumstand/internal/model"
	"gypsumstand/internal/route"
	"gypsumstand/internal/wire"
)

// homeState is what a call knows from the home node of its request's id; see
// docs/DESIGN.md, "At most once".
type homeState struct {
	// provesNotRun reports that the home node's latest reply proves that it looked the id up,
	// found no earlier submission of it, and does not run it now.
	provesNotRun bool
	// delegate is set once the home node has registered the id and delegated the placing of
	// the request to this call.
	delegate *delegation
	// skipped are home nodes that are no longer in charge: one that is leaving has handed its
	// records over, and one whose address refuses connections has lost them.
	skipped []model.InstanceID
}

// delegation is the home node that delegated the request, and the attempt that it recorded.
type delegation struct {
	instance model.Instance
	attempt  model.AttemptID
}

func (h *homeState) isDelegated() bool { return h.delegate != nil }

// maxSkippedHomes bounds the home nodes that one call skips.
const maxSkippedHomes = 3

// tryNextHome makes the call continue at the next home node in order. It returns false when
// the reason r does not show that the current one is no longer in charge, or when no other
// home node is left to try.
func (c *Call) tryNextHome(now time.Time, r model.Reason) bool {
	if !c.mustUseHome() || len(c.home.skipped) == maxSkippedHomes {
		return false
	}
	if r != model.ReasonLeaving && r != model.ReasonOwnerAbsent {
		return false
	}
	skipped := c.home.skipped
	c.home.skipped = append(skipped, c.to.ID)
	if _, ok := c.chooseHome(now); !ok {
		c.home.skipped = skipped
		return false
	}
	c.home.provesNotRun = false
	c.phase = phasePlace
	return true
}

// scopedID is the id under which the home node remembers the request.
func (c *Call) scopedID() model.RequestID { return model.ScopedRequestID(c.req.Tenant, c.req.ID) }

// needsHome reports whether the same request may also arrive through another entry node while
// it must not run twice, so that its id needs a home node.
func (c *Call) needsHome() bool { return c.req.CallerKey && !c.req.Idempotent }

// mustUseHome reports whether the next attempt may go to the home node only.
func (c *Call) mustUseHome() bool { return c.needsHome() && !c.home.isDelegated() }

// chooseHome returns the id's home node unless it was asked in this round. A home node that
// is leaving or gone is succeeded by the next one in the table's order.
func (c *Call) chooseHome(now time.Time) (route.Choice, bool) {
	choice, ok := c.engine.table.NextHome(now, c.routeQuery(now), c.scopedID(), c.home.skipped)
	if !ok || c.tried.has(choice.Instance.ID) || c.tried.full() {
		return route.Choice{}, false
	}
	return choice, true
}

// noteHomeRefusal records a refusal by the home node, if its reason shows that the home node
// looked the id up. An unreachable home node has not.
func (c *Call) noteHomeRefusal(r model.Refusal) {
	if !c.mustUseHome() || !r.NotRun {
		return
	}
	switch r.Reason {
	case model.ReasonOverloaded, model.ReasonQueueFull, model.ReasonLeaving, model.ReasonNotReady,
		model.ReasonTenantLimit, model.ReasonDelegated, model.ReasonWorkerShed, model.ReasonWorkerReplaced,
		model.ReasonQuarantined, model.ReasonDeferred, model.ReasonPaused:
		c.home.provesNotRun = true
	case model.ReasonWorkerUnreachable:
		c.home.provesNotRun = c.home.provesNotRun || c.hasReport
	}
}

// acceptDelegation lets the call place the request at other owners.
func (c *Call) acceptDelegation() {
	c.home.delegate = &delegation{instance: c.to, attempt: c.current.ID}
}

// homeNotice returns the notice of the outcome for the home node that delegated the request,
// or nil if none did.
func (c *Call) homeNotice() *wire.KeyResult {
	if !c.home.isDelegated() {
		return nil
	}
	return &wire.KeyResult{Request: c.scopedID(), Attempt: c.home.delegate.attempt, Outcome: c.outcome, Regions: c.req.Regions}
}
