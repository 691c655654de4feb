package route

import (
	"testing"
	"time"

	"gypsumstand/internal/model"
)

// The node of a leaving worker may start again and not know of it.
func TestLeavingWorkerIsNotChosenAfterItsNodeRestarted(t *testing.T) {
	fleet := makeFleet(2)
	for i := range fleet.Instances {
		fleet.Instances[i].Worker = model.WorkerID("w" + string(fleet.Instances[i].ID))
	}
	table := NewTable(Config{DataCentre: "dc0", LeavingTTL: time.Second})
	table.Update(origin, fleet, nil)
	leaving := report(fleet.Instances[1].ID, time.Second)
	leaving.State, leaving.LeavingWorker = model.StateLeaving, fleet.Instances[1].Worker
	table.Observe(origin, leaving)
	restarted := report(fleet.Instances[1].ID, time.Second)
	restarted.Incarnation++
	table.Observe(origin.Add(time.Minute), restarted)
	if got := share(table, origin.Add(time.Minute), query, 500)[fleet.Instances[1].ID]; got != 0 {
		t.Errorf("a share of %.2f goes to a worker that said it was leaving", got)
	}
	fleet.Instances[1].Worker = "another"
	table.Update(origin.Add(time.Minute), fleet, nil)
	if got := share(table, origin.Add(time.Minute), query, 500)[fleet.Instances[1].ID]; got == 0 {
		t.Error("nothing goes to the worker that took its place")
	}
}
