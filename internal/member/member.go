// Package member keeps a node's view of the fleet: from the platform's lagging
// list, the owners' own word and what links show. It also chooses the bounded
// number of peers that this node keeps links to. It writes the blackboard's
// Fleet section. Design: docs/DESIGN.md, "Membership".
package member

import (
	"math/rand/v2"
	"sort"
	"time"

	"gypsumstand/internal/blackboard"
	"gypsumstand/internal/control"
	"gypsumstand/internal/model"
)

// Config is a controller's fixed setting.
type Config struct {
	Self model.Instance
	// Seeds are peer addresses from the settings, for a node that the platform's
	// list has not reached yet. May be empty.
	Seeds []string
}

// Controller implements control.Controller.
type Controller struct {
	cfg      Config
	board    *blackboard.Board
	rng      *rand.Rand
	nextRead time.Time
	revision uint64
}

var _ control.Controller = (*Controller)(nil)

const listInterval = time.Second

// New returns a controller that knows itself only.
func New(cfg Config, board *blackboard.Board, rng *rand.Rand) *Controller {
	c := &Controller{cfg: cfg, board: board, rng: rng}
	c.publish([]model.Instance{cfg.Self})
	return c
}

// Handle implements control.Controller.
func (c *Controller) Handle(now time.Time, ev control.Event) []control.Action {
	switch e := ev.(type) {
	case control.Tick:
		if now.Before(c.nextRead) {
			return nil
		}
		c.nextRead = now.Add(listInterval)
		return []control.Action{control.ReadList{}}
	case control.ListRead:
		c.publish(e.Instances)
	}
	return nil
}

func (c *Controller) publish(instances []model.Instance) {
	sort.Slice(instances, func(i, j int) bool { return instances[i].ID < instances[j].ID })
	c.revision++
	c.board.Fleet.Put(&model.Fleet{Revision: c.revision, Instances: instances})
}
