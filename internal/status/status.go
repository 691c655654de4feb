// Package status holds the JSON that a node answers on its operators' port:
// Node for /status and Explanation for /explain. Fields may be added; none is
// renamed or given another meaning, since tools of another version read them.
// Times are in milliseconds. The package has no behaviour beyond conversion.
package status

import (
	"time"

	"gypsumstand/internal/model"
)

// Paths and query parameters of the operators' port.
const (
	NodePath       = "/status"
	ExplainPath    = "/explain"
	QuarantinePath = "/aside"

	ParamMethod = "method"
	ParamPath   = "path"
	ParamTenant = "tenant"
	ParamClass  = "class"
)

// Milliseconds is a duration in JSON.
type Milliseconds float64

// Ms converts a duration.
func Ms(d time.Duration) Milliseconds {
	return Milliseconds(float64(d) / float64(time.Millisecond))
}

// Duration converts back.
func (m Milliseconds) Duration() time.Duration {
	return time.Duration(float64(m) * float64(time.Millisecond))
}

// Age returns the time from then to now, or nil when then is the zero time:
// it never happened.
func Age(now, then time.Time) *Milliseconds {
	if then.IsZero() {
		return nil
	}
	m := Ms(now.Sub(then))
	return &m
}

// Node is one node's blackboard and counts, at one moment.
type Node struct {
	Instance    model.InstanceID  `json:"instance"`
	Service     model.ServiceName `json:"service"`
	DataCentre  model.DataCentre  `json:"data_centre"`
	State       string            `json:"state"`
	Incarnation model.Incarnation `json:"incarnation"`
	// Ready tells whether callers are served; Missing what is still waited for.
	Ready           bool     `json:"ready"`
	NotReadyReasons []string `json:"missing"`
	Bundles         []Bundle `json:"bundles"`
	Fleet           Fleet    `json:"fleet"`
	Sources         Sources  `json:"sources"`
	// Directory is nil at a node that follows none.
	Directory *Directory `json:"directory,omitempty"`
	Owner     Load       `json:"owner"`
	Links     []Link     `json:"links"`
	Measuring Measuring  `json:"measuring"`
}

// Bundle is a bundle in force.
type Bundle struct {
	Name    model.BundleName `json:"name"`
	Version uint64           `json:"version"`
}

// BundleOf converts a version.
func BundleOf(v model.BundleVersion) Bundle { return Bundle{Name: v.Name, Version: v.Version} }

// Fleet counts the known instances.
type Fleet struct {
	// Revision grows with every change of the node's view.
	Revision uint64 `json:"revision"`
	// Services in the order of their names.
	Services []ServiceCount `json:"services"`
}

// ServiceCount counts the instances of one service by state.
type ServiceCount struct {
	Service model.ServiceName `json:"service"`
	Cold    int               `json:"cold"`
	Live    int               `json:"live"`
	Leaving int               `json:"leaving"`
	Gone    int               `json:"gone"`
}

// Sources tells how old what was read from the platform is.
type Sources struct {
	// ConfigAge and ListAge count from the last confirmation, by this node's own
	// reading or a peer's; nil means that there is none that still holds.
	ConfigAge *Milliseconds `json:"config_age_ms"`
	ListAge   *Milliseconds `json:"list_age_ms"`
	// ConfigReads and ListReads count this node's own reads since its start.
	ConfigReads uint64 `json:"config_reads"`
	ListReads   uint64 `json:"list_reads"`
}

// Directory tells how far behind a node's view of its directory is, and why.
type Directory struct {
	// Revision is the directory's that is known, Heard the greatest heard of.
	Revision   uint64 `json:"revision"`
	NewestSeen uint64 `json:"heard"`
	// Age counts from when the revision was last known to be the newest; nil for never.
	Age *Milliseconds `json:"age_ms"`
	// Late: a change may already have taken longer than it should. Lag says why.
	Late      bool   `json:"late"`
	LagReason string `json:"lag"`
	// Listed is the number of instances that the directory names. Of the latest Asked
	// questions to them Answered were answered.
	Listed       int `json:"listed"`
	PeerRequests int `json:"asked"`
	PeerReplies  int `json:"answered"`
	// ReadFailures counts the node's own failed readings since its last good one.
	ReadFailures int `json:"failures"`
	// Reads counts the node's own readings by cause.
	Reads map[string]uint64 `json:"readings"`
	// Evacuated names the data centres to whose workers nothing is to be sent.
	Evacuated []model.DataCentre `json:"evacuated,omitempty"`
}

// Load is the owner's load.
type Load struct {
	Limit       int          `json:"limit"`
	InFlight    int          `json:"in_flight"`
	Queued      int          `json:"queued"`
	ServiceTime Milliseconds `json:"service_ms"`
	// FailureRate is the share of the worker's answers that failed, 0 to 1.
	FailureRate float64 `json:"failure_rate"`
	// Warming is for how much longer the worker is warming; absent when it is not.
	Warming Milliseconds `json:"warming_ms,omitempty"`
}

// LoadOf converts a report.
func LoadOf(r model.LoadReport) Load {
	return Load{
		Limit:       int(r.Limit),
		InFlight:    int(r.InFlight),
		Queued:      int(r.Queued),
		ServiceTime: Ms(r.ServiceTime),
		FailureRate: r.FailureShare(),
		Warming:     Ms(r.WarmingLeft()),
	}
}

// Link is an open control link.
type Link struct {
	Peer       model.InstanceID `json:"peer"`
	DataCentre model.DataCentre `json:"data_centre"`
	// Outgoing tells whether this node opened it.
	Outgoing bool         `json:"outgoing"`
	Age      Milliseconds `json:"age_ms"`
}

// Measuring counts measuring messages against the bundle's budget.
type Measuring struct {
	// BudgetPerSecond is the budget of this node's own upstream.
	BudgetPerSecond float64 `json:"budget_per_second"`
	// Polls counts the polls of this node's own worker.
	Polls uint64 `json:"polls"`
	// Sent and Received count probes to other owners and from other entries.
	Sent     uint64 `json:"sent"`
	Received uint64 `json:"received"`
	// Refused counts probes that came over the budget.
	Refused uint64 `json:"refused"`
}

// Quarantine lists the requests under which workers ended, as a node knows of them: those that
// are put aside first.
type Quarantine struct {
	Requests []SuspectRequest `json:"requests"`
	// Crashes counts the ends of this node's own worker with requests in hand.
	Crashes uint64 `json:"ends"`
}

// SuspectRequest is one request under which workers ended.
type SuspectRequest struct {
	// Fingerprint is the same for every sending of the request; events 514 to 517 name it.
	Fingerprint string `json:"fingerprint"`
	// Label is method, host and path; empty where this node has never seen the request.
	Label string `json:"asked"`
	// Quarantined: it reaches no worker. SinceAge is for how long at this node, NextTrial the
	// time until it may run once; nil when it may not any more.
	Quarantined bool          `json:"put_aside"`
	SinceAge    *Milliseconds `json:"since_age_ms"`
	NextTrial   *Milliseconds `json:"next_trial_ms"`
	// Crashes are the ends of workers under it.
	Crashes []WorkerCrash `json:"ends"`
}

// WorkerCrash is one end of a worker under a request.
type WorkerCrash struct {
	Instance model.InstanceID `json:"instance"`
	Age      Milliseconds     `json:"age_ms"`
}

// Explanation tells why a request would go where at this moment.
type Explanation struct {
	// Method, Path, Tenant and Class are what was asked for.
	Method string           `json:"method"`
	Path   string           `json:"path"`
	Tenant model.TenantName `json:"tenant"`
	// Matched is false when the request leads to no service and class; Reason
	// then says why.
	Matched    bool              `json:"matched"`
	Reason     string            `json:"reason"`
	Bundle     Bundle            `json:"bundle"`
	Service    model.ServiceName `json:"service"`
	Class      model.ClassName   `json:"class"`
	Idempotent bool              `json:"idempotent"`
	// Candidates in the order of their expected time.
	Candidates []Candidate `json:"candidates"`
	// Chosen is empty when there is none.
	Chosen model.InstanceID `json:"chosen"`
}

// Candidate is one upstream with the estimates that it was weighed by.
type Candidate struct {
	Instance   model.InstanceID `json:"instance"`
	DataCentre model.DataCentre `json:"data_centre"`
	// Expected is the time to the whole answer; it is the sum of the next four.
	Expected Milliseconds `json:"expected_ms"`
	Wait     Milliseconds `json:"wait_ms"`
	Service  Milliseconds `json:"service_ms"`
	Link     Milliseconds `json:"link_ms"`
	// Penalty is the expected cost of failure.
	Penalty Milliseconds `json:"penalty_ms"`
	// InFlight counts this entry's own attempts there.
	InFlight int `json:"in_flight"`
	// ReportAge is the age of the owner's last report; nil when none came.
	ReportAge *Milliseconds `json:"report_age_ms"`
	// Note says what else was weighed, such as a refusal's Retry-After.
	Note string `json:"note"`
}
