package node

import (
	"encoding/json"
	"fmt"
	"net/http"
	"sort"
	"time"

	"gypsumstand/internal/bundle"
	"gypsumstand/internal/directory"
	"gypsumstand/internal/model"
	"gypsumstand/internal/quarantine"
	"gypsumstand/internal/route"
	"gypsumstand/internal/status"
)

// serveStatus responds with the node's blackboard as status.Node.
func (n *Node) serveStatus(w http.ResponseWriter, _ *http.Request) {
	writeJSON(w, n.status(time.Now()))
}

// writeJSON writes v. An error means that the client has gone, so it is ignored.
func writeJSON(w http.ResponseWriter, v any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(v)
}

func (n *Node) status(now time.Time) status.Node {
	self := n.self()
	out := status.Node{
		Instance:        self.ID,
		Service:         self.Service,
		DataCentre:      self.DataCentre,
		State:           self.State.String(),
		Incarnation:     self.Incarnation,
		NotReadyReasons: []string{},
		Bundles:         []status.Bundle{},
		Owner:           status.LoadOf(n.core.Owner.Report(now)),
		Links:           []status.Link{},
	}
	if r := n.core.Board.Readiness.Get(); r != nil {
		out.Ready = r.Ready
		out.NotReadyReasons = append(out.NotReadyReasons, r.Missing...)
	}
	for _, b := range n.core.Board.Bundles.Get().All() {
		out.Bundles = append(out.Bundles, status.BundleOf(b.VersionID()))
	}
	fleet := n.core.Board.Fleet.Get()
	out.Fleet = fleetStatus(fleet)
	n.sourcesStatus(now, &out.Sources)
	out.Directory = n.directoryStatus(now)
	n.linksStatus(now, fleet, &out)
	n.measuringStatus(&out.Measuring)
	return out
}

func fleetStatus(f *model.Fleet) status.Fleet {
	counts := map[model.ServiceName]*status.ServiceCount{}
	for key, count := range countInstances(f) {
		c := counts[key.service]
		if c == nil {
			c = &status.ServiceCount{Service: key.service}
			counts[key.service] = c
		}
		switch key.state {
		case model.StateCold:
			c.Cold = count
		case model.StateLive:
			c.Live = count
		case model.StateLeaving:
			c.Leaving = count
		case model.StateGone:
			c.Gone = count
		}
	}
	out := status.Fleet{Revision: f.Revision, Services: []status.ServiceCount{}}
	for _, c := range counts {
		out.Services = append(out.Services, *c)
	}
	sort.Slice(out.Services, func(i, j int) bool { return out.Services[i].Service < out.Services[j].Service })
	return out
}

func (n *Node) sourcesStatus(now time.Time, out *status.Sources) {
	s := n.core.Board.Sources.Get()
	if s == nil {
		return
	}
	out.ConfigAge = status.Age(now, s.ConfigConfirmed)
	out.ListAge = status.Age(now, s.ListConfirmed)
	out.ConfigReads = s.ConfigReads
	out.ListReads = s.ListReads
}

func (n *Node) directoryStatus(now time.Time) *status.Directory {
	s := n.core.Stats.Get()
	if s == nil || s.Directory == nil {
		return nil
	}
	v := s.Directory
	out := &status.Directory{
		Era: v.Revision.Era, Revision: v.Revision.Number, NewestSeen: v.Revision.Number + v.RevisionsBehind(), Age: status.Age(now, v.Confirmed),
		Late: v.Status != directory.ViewCurrent, LagReason: string(v.Status),
		Listed: v.Listed, PeerRequests: v.PeerRequests, PeerReplies: v.PeerReplies, ReadFailures: v.ReadFailures,
		Reads: map[string]uint64{}, Evacuated: n.core.Board.Fleet.Get().Evacuated,
	}
	for cause, count := range v.Reads {
		out.Reads[string(cause)] = count
	}
	return out
}

func (n *Node) linksStatus(now time.Time, fleet *model.Fleet, out *status.Node) {
	s := n.core.Stats.Get()
	if s == nil {
		return
	}
	for _, l := range s.Links {
		link := status.Link{Peer: l.Peer, Outgoing: l.Outgoing, Age: status.Ms(now.Sub(l.LastReceived))}
		if in := find(fleet, l.Peer); in != nil {
			link.DataCentre = in.DataCentre
		}
		out.Links = append(out.Links, link)
	}
}

// serveQuarantine responds with the suspect requests.
func (n *Node) serveQuarantine(w http.ResponseWriter, _ *http.Request) {
	now := time.Now()
	out := status.Quarantine{Requests: []status.SuspectRequest{}, Crashes: n.core.Quarantine.Counts().Crashes}
	for _, s := range n.core.Quarantine.Suspects() {
		out.Requests = append(out.Requests, suspectStatus(now, &s))
	}
	writeJSON(w, out)
}

func suspectStatus(now time.Time, s *quarantine.SuspectRequest) status.SuspectRequest {
	out := status.SuspectRequest{
		Fingerprint: s.Content.String(), Label: s.Label, Quarantined: s.Quarantined,
		SinceAge: status.Age(now, s.Since), Crashes: []status.WorkerCrash{},
	}
	if !s.NextTrial.IsZero() {
		untilTrial := status.Ms(max(s.NextTrial.Sub(now), 0))
		out.NextTrial = &untilTrial
	}
	for _, c := range s.Crashes {
		out.Crashes = append(out.Crashes, status.WorkerCrash{Instance: c.Owner, Age: status.Ms(now.Sub(c.At))})
	}
	return out
}

// find returns the instance with the given id, or nil.
func find(f *model.Fleet, id model.InstanceID) *model.Instance {
	i := sort.Search(len(f.Instances), func(i int) bool { return f.Instances[i].ID >= id })
	if i < len(f.Instances) && f.Instances[i].ID == id {
		return &f.Instances[i]
	}
	return nil
}

func (n *Node) measuringStatus(out *status.Measuring) {
	ownerCounts, entryCounts := n.core.OwnerLimiter.Counts(), n.core.EntryLimiter.Counts()
	out.Polls = ownerCounts.PollsSent
	out.Sent = entryCounts.Sent
	out.Received = ownerCounts.ProbesAnswered
	out.Refused = ownerCounts.ProbesRefused
	if _, b := n.core.Board.Bundles.Get().Service(n.cfg.Service); b != nil {
		out.BudgetPerSecond = b.Measuring.PerUpstreamPerSecond
	}
}

// serveExplain explains which instance a request would be sent to now, and why.
func (n *Node) serveExplain(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	out := status.Explanation{
		Method:     q.Get(status.ParamMethod),
		Path:       q.Get(status.ParamPath),
		Tenant:     model.TenantName(q.Get(status.ParamTenant)),
		Candidates: []status.Candidate{},
	}
	if out.Method == "" {
		out.Method = http.MethodGet
	}
	target, ok := n.core.Board.Bundles.Get().Match(out.Method, out.Path)
	if !ok {
		out.Reason = "no route of any bundle in force leads there"
		writeJSON(w, out)
		return
	}
	class := target.Class
	if named := model.ClassName(q.Get(status.ParamClass)); named != "" {
		class = target.Bundle.Class(named)
	}
	if class == nil {
		out.Reason = "the bundle has no such class"
		writeJSON(w, out)
		return
	}
	n.explain(time.Now(), target, class, &out)
	writeJSON(w, out)
}

func (n *Node) explain(now time.Time, t bundle.Target, class *bundle.Class, out *status.Explanation) {
	out.Matched = true
	out.Bundle = status.BundleOf(t.Bundle.VersionID())
	out.Service = t.Service.Name
	out.Class = class.Name
	out.Idempotent = t.Idempotent
	query := &route.Query{Service: t.Service.Name, Class: class.Name, Remaining: class.Deadline()}
	for _, e := range n.core.Table.Explain(now, query) {
		out.Candidates = append(out.Candidates, candidate(&e))
		if out.Chosen == "" && !e.Leaving && !e.Unreachable && !e.Evacuated {
			out.Chosen = e.Instance.ID
		}
	}
}

func candidate(e *route.Estimate) status.Candidate {
	c := status.Candidate{
		Instance:   e.Instance.ID,
		DataCentre: e.Instance.DataCentre,
		Expected:   status.Ms(e.Expected),
		Wait:       status.Ms(e.Wait + e.Overdue),
		Service:    status.Ms(e.Service),
		Link:       status.Ms(e.Link),
		Penalty:    status.Ms(e.Failure),
		InFlight:   e.OwnInFlight,
	}
	if e.Reported {
		age := status.Ms(e.Age)
		c.ReportAge = &age
	}
	switch {
	case e.Leaving:
		c.Note = "leaving: not chosen"
	case e.Unreachable:
		c.Note = "out of reach: not chosen"
	case e.Evacuated:
		c.Note = "its data centre is evacuated: not chosen"
	case e.Warming > 0:
		c.Note = fmt.Sprintf("warming for %s: chosen in turn", e.Warming.Round(time.Millisecond))
	case e.RateLimit > 0:
		c.Note = fmt.Sprintf("its worker takes %.2f requests a second", e.RateLimit)
	case !e.Reported:
		c.Note = "no report heard yet: taken for the service's mean"
	}
	return c
}
