package core

import (
	"time"

	"gypsumstand/internal/model"
	"gypsumstand/internal/route"
)

// alternatives returns the function with which an owner asks its node's routing table what a
// queued attempt could expect at other owners of its service.
func alternatives(table *route.Table, self model.Instance) func(now time.Time) []model.Alternative {
	q := route.Query{Service: self.Service, Tried: []model.InstanceID{self.ID}}
	return func(now time.Time) []model.Alternative { return table.Alternatives(now, &q) }
}
