package model

import (
	"cmp"
	"slices"
	"time"
)

// UpstreamState is the life stage of an upstream, as its owner knows it.
// Within an incarnation it only grows from Leaving on: leaving never turns back.
type UpstreamState uint8

// The life stages. Cold and Live may alternate; Leaving and Gone are final
// within an incarnation.
const (
	// StateCold: the worker is starting or does not answer; no work is started.
	StateCold UpstreamState = iota
	// StateLive: the worker takes work.
	StateLive
	// StateLeaving: finishes what it admitted and takes no new work.
	StateLeaving
	// StateGone: stopped or declared dead.
	StateGone
)

var upstreamStateNames = [...]string{"cold", "live", "leaving", "gone"}

// String returns the name of s for logs, status and the platform's list.
func (s UpstreamState) String() string {
	if int(s) < len(upstreamStateNames) {
		return upstreamStateNames[s]
	}
	return "invalid"
}

// ParseUpstreamState reads the form that UpstreamState.String writes.
func ParseUpstreamState(s string) (state UpstreamState, ok bool) {
	for i, name := range upstreamStateNames {
		if name == s {
			return UpstreamState(i), true
		}
	}
	return StateCold, false
}

// LoadReport is the owner's exact knowledge of its upstream at one moment. It
// rides on every answer and refusal, so it costs no message of its own.
type LoadReport struct {
	Owner       InstanceID  `cbor:"1,keyasint"`
	Incarnation Incarnation `cbor:"2,keyasint"`
	// Clock is the owner's monotonic clock since its start when the report was
	// made. It orders reports and stamps attempts (Attempt.OwnerClock).
	Clock time.Duration `cbor:"3,keyasint"`
	State UpstreamState `cbor:"4,keyasint"`
	// Limit is the number of requests that the owner runs at once now (slots,
	// lowered by adaptation and slow start).
	Limit uint16 `cbor:"5,keyasint"`
	// InFlight is the number of requests at the worker.
	InFlight uint16 `cbor:"6,keyasint"`
	// Queued is the number of requests that wait at the owner.
	Queued uint16 `cbor:"7,keyasint"`
	// ServiceTime is the smoothed time that the worker takes per request.
	ServiceTime time.Duration `cbor:"8,keyasint"`
	// FailureRate is the smoothed share of the worker's answers that failed, in
	// thousandths.
	FailureRate uint16 `cbor:"9,keyasint"`
	// Bundle is the version that governs the owner's service, so that a node
	// behind learns of a newer one from any call.
	Bundle BundleVersion `cbor:"10,keyasint"`
	// SlowdownPercent is how long work takes at the worker at this moment, in percent of
	// usual; 0 when the worker does not tell.
	SlowdownPercent uint16 `cbor:"11,keyasint,omitempty"`
	// Directory is what the owner's node knows of the directory, where it follows one.
	Directory DirectoryFreshness `cbor:"12,keyasint,omitempty"`
	// WarmingMs is for how much longer the worker is warming, in milliseconds; zero when
	// it is not, or nothing says so.
	WarmingMs uint32 `cbor:"13,keyasint,omitempty"`
	// Delayed is the smoothed share of the attempts offered to the owner that it did not start
	// at once, in thousandths.
	Delayed uint16 `cbor:"14,keyasint,omitempty"`
}

// delayedUnit is the unit of LoadReport.Delayed.
const delayedUnit = 1000

// DelayedThousandths returns the form of a share, 0 to 1, in LoadReport.Delayed.
func DelayedThousandths(share float64) uint16 { return uint16(share*delayedUnit + 0.5) }

// ImmediateStartShare returns the share of offered attempts that the owner started at once.
func (r *LoadReport) ImmediateStartShare() float64 {
	return max(1-float64(r.Delayed)/delayedUnit, 0)
}

// WarmingLeft returns for how much longer the worker is warming.
func (r *LoadReport) WarmingLeft() time.Duration {
	return time.Duration(r.WarmingMs) * time.Millisecond
}

// SlowdownFactor returns how many times as long as usual work takes, at least 1.
func (r *LoadReport) SlowdownFactor() float64 {
	const usual = 100
	return max(1, float64(r.SlowdownPercent)/usual)
}

// failureUnit is the unit of LoadReport.FailureRate.
const failureUnit = 1000

// FailureShare returns the failure rate as a share, 0 to 1.
func (r *LoadReport) FailureShare() float64 { return float64(r.FailureRate) / failureUnit }

// Instance is one member of the fleet as the blackboard shows it.
type Instance struct {
	ID         InstanceID  `cbor:"1,keyasint"`
	Service    ServiceName `cbor:"2,keyasint"`
	DataCentre DataCentre  `cbor:"3,keyasint"`
	// PeerAddress is the "ip:port" of the node's peer port.
	PeerAddress string `cbor:"4,keyasint"`
	// Incarnation is zero while only the platform's list has named the instance.
	Incarnation Incarnation   `cbor:"5,keyasint"`
	State       UpstreamState `cbor:"6,keyasint"`
	// Worker is the present life of the instance's worker, where the source of
	// instances tells the lives apart; empty otherwise.
	Worker WorkerID `cbor:"7,keyasint,omitempty"`
	// WorkerStarted tells lives of one Worker apart that started again under the same id:
	// when the present one started, in Unix milliseconds by its own clock; zero where
	// the source does not say. It only identifies and is never compared with a time.
	WorkerStarted int64 `cbor:"9,keyasint,omitempty"`
	// Slots is the number of requests that the worker runs at once, as it says
	// itself; zero when only the bundle tells.
	Slots int `cbor:"8,keyasint,omitempty"`
	// WarmingUntil is when the worker, as the source of instances last said, is no longer
	// warming, by this node's clock; zero when it is not, or the source does not say.
	WarmingUntil time.Time `cbor:"-"`
}

// WorkerIncarnation identifies one life of a worker.
type WorkerIncarnation struct {
	ID      WorkerID
	Started int64
}

// WorkerIncarnation returns the present life of the instance's worker; zero when none is known.
func (in *Instance) WorkerIncarnation() WorkerIncarnation {
	return WorkerIncarnation{ID: in.Worker, Started: in.WorkerStarted}
}

// Fleet is an immutable view of all known instances, sorted by ID. Readers must
// not change it.
type Fleet struct {
	// Revision grows with every change that this node publishes.
	Revision  uint64
	Instances []Instance
	// Evacuated names, in order, the data centres to whose workers nothing is to be sent.
	Evacuated []DataCentre
}

// IsEvacuated tells whether nothing is to be sent to the workers of a data centre.
func (f *Fleet) IsEvacuated(dc DataCentre) bool { return slices.Contains(f.Evacuated, dc) }

// Instance returns the view of one instance. What it says of a node's own one counts also
// when nobody else says so: others may hold an older view.
func (f *Fleet) Instance(id InstanceID) (in Instance, known bool) {
	at, known := slices.BinarySearchFunc(f.Instances, id, func(in Instance, id InstanceID) int {
		return cmp.Compare(in.ID, id)
	})
	if !known {
		return Instance{}, false
	}
	return f.Instances[at], true
}
