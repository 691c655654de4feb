package model

import (
	"cmp"
	"math"
	"slices"
	"time"
)

// UpstreamState is the lifecycle state of an upstream, as its owner knows it.
type UpstreamState uint8

// The lifecycle states. An upstream may alternate between cold and live. Leaving is final
// within an incarnation: it is followed by gone only.
const (
	// StateCold: the worker is starting or does not respond; no request is started.
	StateCold UpstreamState = iota
	// StateLive: the worker accepts requests.
	StateLive
	// StateLeaving: the upstream completes the requests it admitted and accepts no new ones.
	StateLeaving
	// StateGone: the upstream has stopped or was declared dead.
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

// ParseUpstreamState parses the form that UpstreamState.String returns; ok is false for any
// other string.
func ParseUpstreamState(s string) (state UpstreamState, ok bool) {
	for i, name := range upstreamStateNames {
		if name == s {
			return UpstreamState(i), true
		}
	}
	return StateCold, false
}

// LoadReport is an owner's exact state of its upstream at one moment. It is piggybacked on
// every response and refusal, so that it needs no message of its own.
type LoadReport struct {
	Owner       InstanceID  `cbor:"1,keyasint"`
	Incarnation Incarnation `cbor:"2,keyasint"`
	// Clock is the time on the owner's monotonic clock since its start when the report
	// was made. It orders reports and is the basis of Attempt.OwnerClock.
	Clock time.Duration `cbor:"3,keyasint"`
	State UpstreamState `cbor:"4,keyasint"`
	// Limit is the number of requests that the owner currently runs concurrently: the
	// slots, lowered by the adaptive limit, the slow start and warming; zero while admitted
	// requests cannot start.
	Limit uint16 `cbor:"5,keyasint"`
	// InFlight is the number of requests at the worker.
	InFlight uint16 `cbor:"6,keyasint"`
	// Queued is the number of requests that wait at the owner.
	Queued uint16 `cbor:"7,keyasint"`
	// ServiceTime is the smoothed time that the worker takes per request.
	ServiceTime time.Duration `cbor:"8,keyasint"`
	// FailureRate is the smoothed share of the worker's responses that failed, in
	// thousandths.
	FailureRate uint16 `cbor:"9,keyasint"`
	// Bundle is the version that governs the owner's service, so that an outdated node
	// learns of a newer version from any call.
	Bundle BundleVersion `cbor:"10,keyasint"`
	// SlowdownPercent is the time that a request now takes at the worker, in percent of
	// the usual time; 0 when the worker does not report it.
	SlowdownPercent uint16 `cbor:"11,keyasint,omitempty"`
	// Directory is how much of the directory the owner's node knows, where it follows one.
	Directory DirectoryFreshness `cbor:"12,keyasint,omitempty"`
	// WarmingMs is how much longer the worker is warming, in milliseconds; zero when it is
	// not warming or that is not known.
	WarmingMs uint32 `cbor:"13,keyasint,omitempty"`
	// Delayed is the smoothed share of the attempts offered to the owner that it did not
	// start at once, in thousandths.
	Delayed uint16 `cbor:"14,keyasint,omitempty"`
	// RateLimitMilli is how many requests the worker takes in 1,000 s from the whole fleet;
	// zero when it names no rate limit.
	RateLimitMilli uint32 `cbor:"15,keyasint,omitempty"`
	// StartWaitMs is the time after which that limit lets one more attempt start than those
	// queued, in milliseconds.
	StartWaitMs uint32 `cbor:"16,keyasint,omitempty"`
	// LeavingWorker is the worker if it has said itself that it is leaving.
	LeavingWorker WorkerID `cbor:"17,keyasint,omitempty"`
	// ClassOutcomes lists the classes of which a notable share of the requests is refused here
	// for load, or fails because calls of their runs are refused. Other classes are served.
	ClassOutcomes []ClassOutcome `cbor:"18,keyasint,omitempty"`
	// MalformedOutcomes reports that ClassOutcomes was received malformed and dropped, so
	// that nothing is known about any class. It is set where the report is decoded.
	MalformedOutcomes bool `cbor:"-"`
}

// ClassOutcome is how an owner's recent requests of one class ended.
type ClassOutcome struct {
	Class ClassName `cbor:"1,keyasint"`
	// Served is the smoothed share of the requests that were served, in thousandths. Requests
	// refused before their start weigh a quarter of those whose run failed.
	Served uint16 `cbor:"2,keyasint"`
}

// ServedShare returns the share of the requests that were served, 0 to 1.
func (o ClassOutcome) ServedShare() float64 { return float64(o.Served) / ShareScale }

// MaxClassOutcomes bounds LoadReport.ClassOutcomes, so that a report stays small.
const MaxClassOutcomes = 8

// rateLimitScale is the value of LoadReport.RateLimitMilli for one request a second.
const rateLimitScale = 1000

// SetRateLimit sets the worker's rate limit, in requests a second, and the time after which
// it lets one more attempt start.
func (r *LoadReport) SetRateLimit(perSecond float64, wait time.Duration) {
	r.RateLimitMilli = uint32(min(max(perSecond*rateLimitScale, 1), math.MaxUint32))
	r.StartWaitMs = uint32(min(max(wait.Milliseconds(), 0), math.MaxUint32))
}

// RateLimit returns the worker's rate limit in requests a second, zero when it names none.
func (r *LoadReport) RateLimit() float64 { return float64(r.RateLimitMilli) / rateLimitScale }

// rateBurst is the time whose worth of requests may start at once at a worker with a rate
// limit.
const rateBurst = 500 * time.Millisecond

// RateBurst returns how many requests may start at once at a worker with a rate limit, in
// requests a second.
func RateBurst(perSecond float64) int { return max(int(perSecond*rateBurst.Seconds()), 1) }

// StartWait returns the time after which the rate limit lets one more attempt start.
func (r *LoadReport) StartWait() time.Duration {
	return time.Duration(r.StartWaitMs) * time.Millisecond
}

// ShareScale is the value of a share of 1 in a report: shares are in thousandths.
const ShareScale = 1000

// Thousandths converts a share, 0 to 1, to the form in a report.
func Thousandths(share float64) uint16 { return uint16(share*ShareScale + 0.5) }

// ImmediateStartShare returns the share, 0 to 1, of the offered attempts that the owner
// started at once.
func (r *LoadReport) ImmediateStartShare() float64 {
	return max(1-float64(r.Delayed)/ShareScale, 0)
}

// WarmingLeft returns how much longer the worker is warming.
func (r *LoadReport) WarmingLeft() time.Duration {
	return time.Duration(r.WarmingMs) * time.Millisecond
}

// SlowdownFactor returns how many times as long as usual a request takes at the worker, at
// least 1.
func (r *LoadReport) SlowdownFactor() float64 {
	const usual = 100
	return max(1, float64(r.SlowdownPercent)/usual)
}

// FailureShare returns the failure rate as a share, 0 to 1.
func (r *LoadReport) FailureShare() float64 { return float64(r.FailureRate) / ShareScale }

// Instance is one member of the fleet, as the node's blackboard shows it.
type Instance struct {
	ID         InstanceID  `cbor:"1,keyasint"`
	Service    ServiceName `cbor:"2,keyasint"`
	DataCentre DataCentre  `cbor:"3,keyasint"`
	// PeerAddress is the "ip:port" of the node's peer port.
	PeerAddress string `cbor:"4,keyasint"`
	// Incarnation is zero while the instance is known only from the platform's list.
	Incarnation Incarnation   `cbor:"5,keyasint"`
	State       UpstreamState `cbor:"6,keyasint"`
	// Worker is the id of the instance's current worker, where the source of instances
	// distinguishes incarnations of workers; empty otherwise.
	Worker WorkerID `cbor:"7,keyasint,omitempty"`
	// WorkerStarted distinguishes incarnations of a worker that restarted under the same
	// id: the start time of the current one, in Unix milliseconds by its own clock; zero
	// where the source does not report it. It is an identifier, never compared with a
	// time.
	WorkerStarted int64 `cbor:"9,keyasint,omitempty"`
	// Slots is the number of requests that the worker runs concurrently, as it reports
	// itself; zero when only the bundle defines it.
	Slots int `cbor:"8,keyasint,omitempty"`
	// WarmingUntil is when the worker stops warming, by this node's clock, as the source
	// of instances last reported; zero when it is not warming or that is not known.
	WarmingUntil time.Time `cbor:"-"`
}

// WorkerIncarnation identifies one run of a worker process; see Instance.WorkerStarted.
type WorkerIncarnation struct {
	ID      WorkerID
	Started int64
}

// WorkerIncarnation returns the current incarnation of the instance's worker; zero when none
// is known.
func (in *Instance) WorkerIncarnation() WorkerIncarnation {
	return WorkerIncarnation{ID: in.Worker, Started: in.WorkerStarted}
}

// Fleet is an immutable view of all known instances. Readers must not change it.
type Fleet struct {
	// Revision increases with every change that this node publishes.
	Revision uint64
	// Instances is sorted by ID.
	Instances []Instance
	// Evacuated lists, in order, the data centres whose workers get no requests.
	Evacuated []DataCentre
}

// IsEvacuated reports whether the workers of a data centre get no requests.
func (f *Fleet) IsEvacuated(dc DataCentre) bool { return slices.Contains(f.Evacuated, dc) }

// Instance returns the instance with an id. A node's view of its own instance is valid even
// if peers disagree, as they may have an older view.
func (f *Fleet) Instance(id InstanceID) (in Instance, known bool) {
	at, known := slices.BinarySearchFunc(f.Instances, id, func(in Instance, id InstanceID) int {
		return cmp.Compare(in.ID, id)
	})
	if !known {
		return Instance{}, false
	}
	return f.Instances[at], true
}

// InstanceOf returns the instance with an id if its worker is of the given service. The
// address of a worker that has ended may be given to a worker of another service before the
// node beside it has ended.
func (f *Fleet) InstanceOf(id InstanceID, service ServiceName) (in Instance, known bool) {
	in, known = f.Instance(id)
	if !known || in.Service != service {
		return Instance{}, false
	}
	return in, true
}
