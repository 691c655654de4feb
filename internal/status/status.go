// Package status defines the JSON responses of a node's operators' port: Node for /status,
// Explanation for /explain and Quarantine for /aside. Tools of other versions read them, so
// fields may be added but never renamed or given another meaning. Times are in milliseconds.
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

// Milliseconds is the JSON form of a duration.
type Milliseconds float64

// Ms converts a duration to milliseconds.
func Ms(d time.Duration) Milliseconds {
	return Milliseconds(float64(d) / float64(time.Millisecond))
}

// Duration converts milliseconds to a duration.
func (m Milliseconds) Duration() time.Duration {
	return time.Duration(float64(m) * float64(time.Millisecond))
}

// Age returns the time from then to now, or nil if then is the zero time, which means that
// the event never happened.
func Age(now, then time.Time) *Milliseconds {
	if then.IsZero() {
		return nil
	}
	m := Ms(now.Sub(then))
	return &m
}

// Node is a snapshot of a node's view and counters.
type Node struct {
	Instance    model.InstanceID  `json:"instance"`
	Service     model.ServiceName `json:"service"`
	DataCentre  model.DataCentre  `json:"data_centre"`
	State       string            `json:"state"`
	Incarnation model.Incarnation `json:"incarnation"`
	// Ready reports whether callers are served. NotReadyReasons lists what is still missing.
	Ready           bool     `json:"ready"`
	NotReadyReasons []string `json:"missing"`
	Bundles         []Bundle `json:"bundles"`
	Fleet           Fleet    `json:"fleet"`
	Sources         Sources  `json:"sources"`
	// Directory is nil on a node that follows no directory.
	Directory *Directory `json:"directory,omitempty"`
	Owner     Load       `json:"owner"`
	Links     []Link     `json:"links"`
	Measuring Measuring  `json:"measuring"`
}

// Bundle identifies a bundle in force.
type Bundle struct {
	Name    model.BundleName `json:"name"`
	Version uint64           `json:"version"`
}

// BundleOf converts a bundle version.
func BundleOf(v model.BundleVersion) Bundle { return Bundle{Name: v.Name, Version: v.Version} }

// Fleet counts the known instances by service and state.
type Fleet struct {
	// Revision increases with every change of the node's view.
	Revision uint64 `json:"revision"`
	// Services are sorted by name.
	Services []ServiceCount `json:"services"`
}

// ServiceCount counts the instances of one service, by state.
type ServiceCount struct {
	Service model.ServiceName `json:"service"`
	Cold    int               `json:"cold"`
	Live    int               `json:"live"`
	Leaving int               `json:"leaving"`
	Gone    int               `json:"gone"`
}

// Sources states how old the data read from the platform is.
type Sources struct {
	// ConfigAge and ListAge are the times since this node or a peer last confirmed the
	// data by a read. They are nil without a confirmation that still holds.
	ConfigAge *Milliseconds `json:"config_age_ms"`
	ListAge   *Milliseconds `json:"list_age_ms"`
	// ConfigReads and ListReads count this node's own reads since its start.
	ConfigReads uint64 `json:"config_reads"`
	ListReads   uint64 `json:"list_reads"`
}

// Directory states how far a node's view of its directory lags, and why.
type Directory struct {
	// Era counts how often the directory was restored from an older copy; absent where it does
	// not tell. Revisions start anew with it.
	Era uint64 `json:"era,omitempty"`
	// Revision is the known revision of the directory, NewestSeen the highest announced one.
	Revision   uint64 `json:"revision"`
	NewestSeen uint64 `json:"heard"`
	// Age is the time since the revision was last confirmed to be the newest; nil if never.
	Age *Milliseconds `json:"age_ms"`
	// Late reports whether a change may have taken longer than its target to arrive;
	// LagReason states why.
	Late      bool   `json:"late"`
	LagReason string `json:"lag"`
	// Listed is the number of instances in the directory. PeerRequests counts the recent
	// requests to peers whose time to reply has passed, PeerReplies those answered.
	Listed       int `json:"listed"`
	PeerRequests int `json:"asked"`
	PeerReplies  int `json:"answered"`
	// ReadFailures counts this node's failed reads since its last successful one.
	ReadFailures int `json:"failures"`
	// Reads counts this node's reads by cause.
	Reads map[string]uint64 `json:"readings"`
	// Evacuated names the data centres whose workers receive no requests.
	Evacuated []model.DataCentre `json:"evacuated,omitempty"`
}

// Load is the load of the node's own worker, as its owner reports it.
type Load struct {
	Limit       int          `json:"limit"`
	InFlight    int          `json:"in_flight"`
	Queued      int          `json:"queued"`
	ServiceTime Milliseconds `json:"service_ms"`
	// FailureRate is the share of the worker's responses that failed, from 0 to 1.
	FailureRate float64 `json:"failure_rate"`
	// WarmingLeft is the time until the worker has warmed up; absent if it is not warming.
	WarmingLeft Milliseconds `json:"warming_ms,omitempty"`
	// RateLimit is the worker's rate limit in requests a second; absent if it names none.
	RateLimit float64 `json:"rate_limit,omitempty"`
}

// LoadOf converts a load report.
func LoadOf(r model.LoadReport) Load {
	return Load{
		Limit:       int(r.Limit),
		InFlight:    int(r.InFlight),
		Queued:      int(r.Queued),
		ServiceTime: Ms(r.ServiceTime),
		FailureRate: r.FailureShare(),
		WarmingLeft: Ms(r.WarmingLeft()),
		RateLimit:   r.RateLimit(),
	}
}

// Link is an open control link.
type Link struct {
	Peer       model.InstanceID `json:"peer"`
	DataCentre model.DataCentre `json:"data_centre"`
	// Outgoing reports whether this node opened the link.
	Outgoing bool `json:"outgoing"`
	// Age is the time since the last message from the peer.
	Age Milliseconds `json:"age_ms"`
}

// Measuring counts measuring messages (polls and probes) beside their budget.
type Measuring struct {
	// BudgetPerSecond is the bundle's budget of measuring messages for this node's worker.
	BudgetPerSecond float64 `json:"budget_per_second"`
	// Polls counts the polls of this node's own worker.
	Polls uint64 `json:"polls"`
	// Sent counts probes to other owners, Received answered probes from other entries.
	Sent     uint64 `json:"sent"`
	Received uint64 `json:"received"`
	// Refused counts received probes that exceeded the budget.
	Refused uint64 `json:"refused"`
}

// Quarantine lists the suspect requests that a node knows, quarantined ones first.
type Quarantine struct {
	Requests []SuspectRequest `json:"requests"`
	// Crashes counts the crashes of this node's own worker with requests in flight.
	Crashes uint64 `json:"ends"`
}

// SuspectRequest is a request during which workers crashed.
type SuspectRequest struct {
	// Fingerprint is equal for all submissions of the request; events 514 to 517 contain it.
	Fingerprint string `json:"fingerprint"`
	// Label is method, host and path; empty if this node has not seen the request.
	Label string `json:"asked"`
	// Quarantined reports whether the request is kept from all workers. SinceAge is the time
	// since this node quarantined it. NextTrial is the time until it may run once more; nil
	// if no trial is left.
	Quarantined bool          `json:"put_aside"`
	SinceAge    *Milliseconds `json:"since_age_ms"`
	NextTrial   *Milliseconds `json:"next_trial_ms"`
	// Crashes lists the worker crashes during the request.
	Crashes []WorkerCrash `json:"ends"`
}

// WorkerCrash is one crash of a worker during a request.
type WorkerCrash struct {
	Instance model.InstanceID `json:"instance"`
	Age      Milliseconds     `json:"age_ms"`
}

// Explanation states where a request would be sent now, and why.
type Explanation struct {
	// Method, Path and Tenant are those of the query.
	Method string           `json:"method"`
	Path   string           `json:"path"`
	Tenant model.TenantName `json:"tenant"`
	// Matched reports whether the request has a service and class; if not, Reason states
	// why.
	Matched    bool              `json:"matched"`
	Reason     string            `json:"reason"`
	Bundle     Bundle            `json:"bundle"`
	Service    model.ServiceName `json:"service"`
	Class      model.ClassName   `json:"class"`
	Idempotent bool              `json:"idempotent"`
	// Candidates are sorted by expected time.
	Candidates []Candidate `json:"candidates"`
	// Chosen is empty if there is no upstream.
	Chosen model.InstanceID `json:"chosen"`
}

// Candidate is an upstream with the estimates that it is ranked by.
type Candidate struct {
	Instance   model.InstanceID `json:"instance"`
	DataCentre model.DataCentre `json:"data_centre"`
	// Expected is the time to the complete response: the sum of Wait, Service, Link and
	// Penalty.
	Expected Milliseconds `json:"expected_ms"`
	Wait     Milliseconds `json:"wait_ms"`
	Service  Milliseconds `json:"service_ms"`
	Link     Milliseconds `json:"link_ms"`
	// Penalty is the expected cost of a failure.
	Penalty Milliseconds `json:"penalty_ms"`
	// InFlight counts this entry's attempts in flight at the upstream.
	InFlight int `json:"in_flight"`
	// ReportAge is the age of the owner's last load report; nil without a report.
	ReportAge *Milliseconds `json:"report_age_ms"`
	// Note states what else affects the choice, such as that the instance is leaving or
	// warming.
	Note string `json:"note"`
}
