// Package spread brings every signed-off bundle into force on this node within
// seconds and never backwards: few nodes read the configuration service, the
// rest hear it from peers, and each checks the signature itself. It writes the
// blackboard's Bundles section. Design: docs/DESIGN.md, "Bundle spread".
package spread

import (
	"math/rand/v2"
	"time"

	"gypsumstand/internal/blackboard"
	"gypsumstand/internal/bundle"
	"gypsumstand/internal/control"
	"gypsumstand/internal/model"
)

// Config is a controller's fixed setting.
type Config struct {
	Self    model.Instance
	Trusted []bundle.Signer
}

// Controller implements control.Controller.
type Controller struct {
	cfg      Config
	board    *blackboard.Board
	rng      *rand.Rand
	inForce  map[model.BundleName]*bundle.Bundle
	nextRead time.Time
}

var _ control.Controller = (*Controller)(nil)

const indexInterval = time.Second

// New returns a controller with no bundle in force.
func New(cfg Config, board *blackboard.Board, rng *rand.Rand) *Controller {
	return &Controller{cfg: cfg, board: board, rng: rng, inForce: map[model.BundleName]*bundle.Bundle{}}
}

// Handle implements control.Controller.
func (c *Controller) Handle(now time.Time, ev control.Event) []control.Action {
	switch e := ev.(type) {
	case control.Tick:
		if now.Before(c.nextRead) {
			return nil
		}
		c.nextRead = now.Add(indexInterval)
		return []control.Action{control.ReadIndex{}}
	case control.IndexRead:
		return c.readNewer(e.Versions)
	case control.ValueRead:
		c.accept(e)
	}
	return nil
}

func (c *Controller) readNewer(versions []model.BundleVersion) []control.Action {
	var out []control.Action
	for _, v := range versions {
		if old := c.inForce[v.Name]; old == nil || old.Version < v.Version {
			out = append(out, control.ReadValue{Name: v.Name})
		}
	}
	return out
}

func (c *Controller) accept(e control.ValueRead) {
	b, err := bundle.Open(string(e.Name), e.Data, c.cfg.Trusted)
	if err != nil {
		return
	}
	if old := c.inForce[b.Name]; old != nil && old.Version >= b.Version {
		return
	}
	c.inForce[b.Name] = b
	all := make([]*bundle.Bundle, 0, len(c.inForce))
	for _, b := range c.inForce {
		all = append(all, b)
	}
	c.board.Bundles.Put(bundle.NewSet(all))
}
