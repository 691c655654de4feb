package node

import (
	"context"
	"errors"
	"fmt"
	"math"
	"net/http"
	"net/url"
	"strconv"
	"time"

	"gypsumstand/internal/blackboard"
	"gypsumstand/internal/control"
	"gypsumstand/internal/directory"
	"gypsumstand/internal/model"
	"gypsumstand/internal/wire"
)

const (
	// directoryPath is where a node serves to peers the changes of the directory after
	// the revision in the query.
	directoryPath = "/v1/directory"
	// directoryAfter and directoryEra are the query parameters with that revision and its
	// era. Earlier versions of nodes omit the era; it is then taken for this node's.
	directoryAfter = "after"
	directoryEra   = "era"
	// directoryConfig is the query parameter with the version of the requesting node's
	// configuration. Earlier versions of nodes omit it.
	directoryConfig = "config"
	// directorySeparate is the query parameter of nodes that request large configurations
	// separately. Earlier versions of nodes omit it.
	directorySeparate = "separate"
	// directoryFrom is the query parameter with the requesting instance.
	directoryFrom = "from"
	// peerRequestTimeout bounds a request to a peer; see package directory.
	peerRequestTimeout = 500 * time.Millisecond
)

func (n *Node) readDirectory(after model.Revision) {
	began := n.clock()
	read, err := n.cfg.Directory.Read(n.ctx, after)
	if err != nil {
		n.sink(control.DirectoryReadFailed{Err: err})
		return
	}
	read.After = after
	read.ReadDuration = n.elapsed(began)
	if read.Config != nil {
		n.configReceived("", read.Config, read.ReadDuration)
	}
	n.sink(read)
}

// requestPeerDirectory requests changes from a peer over the connections that calls use.
func (n *Node) requestPeerDirectory(a control.RequestPeerDirectory) {
	ctx, cancel := context.WithTimeout(n.ctx, peerRequestTimeout)
	defer cancel()
	query := url.Values{
		directoryAfter:  {strconv.FormatUint(a.After.Number, 10)},
		directoryEra:    {strconv.FormatUint(a.After.Era, 10)},
		directoryConfig: {strconv.FormatUint(a.Config, 10)},
		directoryFrom:   {string(n.cfg.Instance)},

		directorySeparate: {"1"},
	}
	began := n.clock()
	data, err := n.forwarder.Get(ctx, a.Peer.PeerAddress, directoryPath+"?"+query.Encode(), wire.MaxDirectoryBytes)
	if err != nil {
		n.sink(control.PeerDirectoryFailed{From: a.Peer.ID, Err: err})
		return
	}
	transferred := n.elapsed(began)
	received, err := n.decodeDirectory(data)
	if err != nil {
		n.sink(control.PeerDirectoryFailed{From: a.Peer.ID, Err: err})
		return
	}
	for _, raw := range []*model.RawConfig{received.Config, received.Refused} {
		if raw != nil {
			n.configReceived(a.Peer.ID, raw, transferred)
		}
	}
	received.From = a.Peer.ID
	// The response may have been delayed in the network.
	received.Age += n.elapsed(began)
	n.sink(received)
}

func (n *Node) decodeDirectory(data []byte) (control.PeerDirectoryReceived, error) {
	c, err := wire.DecodeDirectory(data)
	if err != nil {
		return control.PeerDirectoryReceived{}, err
	}
	received := control.PeerDirectoryReceived{
		Age:          time.Duration(c.AgeMs) * time.Millisecond,
		ReadsFailing: c.ReadsFailing,
		DirectoryRead: control.DirectoryRead{
			Era: c.Era, Revision: c.Revision, Full: c.Full, Listed: c.Listed, Unlisted: c.Unlisted, Evacuations: c.Evacuations,
			Separate: c.Separate,
		},
	}
	n.setConfig(&received.DirectoryRead, c.Config)
	n.setConfig(&received.DirectoryRead, c.Refused)
	return received, nil
}

// setConfig decodes a configuration received from a peer into read; raw is nil if there is
// none. If it cannot be decoded here, the rest of the response is still used.
func (n *Node) setConfig(read *control.DirectoryRead, raw *model.RawConfig) {
	if raw == nil {
		return
	}
	b, err := n.decodeConfig(raw)
	if err != nil {
		read.Refused, read.RefusedErr = raw, err
		return
	}
	read.Config, read.Bundle = raw, b
}

// errNoRevision is the error of a request that names no revision.
var errNoRevision = errors.New(directoryAfter + " is missing")

// readRequested reads what a requesting peer knows. What an earlier version of a node omits
// is taken so that its request means what it meant before: the era of this node's view, and a
// configuration that is only sent as a change.
func readRequested(query url.Values, view *blackboard.Directory) (directory.Requested, error) {
	known := directory.Requested{Config: math.MaxUint64, Separate: query.Has(directorySeparate)}
	if view != nil {
		known.After.Era = view.Revision.Era
	}
	if !query.Has(directoryAfter) {
		return directory.Requested{}, errNoRevision
	}
	var errs [3]error
	known.After.Number, errs[0] = readWhole(query, directoryAfter, 0)
	known.After.Era, errs[1] = readWhole(query, directoryEra, known.After.Era)
	known.Config, errs[2] = readWhole(query, directoryConfig, known.Config)
	return known, errors.Join(errs[:]...)
}

// readWhole reads a whole number of a query, or returns absent if the query lacks it.
func readWhole(query url.Values, name string, absent uint64) (uint64, error) {
	if !query.Has(name) {
		return absent, nil
	}
	n, err := strconv.ParseUint(query.Get(name), 10, 64)
	if err != nil {
		return 0, fmt.Errorf("%s: want a whole number", name)
	}
	return n, nil
}

// serveDirectory responds to a peer's request for changes.
func (n *Node) serveDirectory(w http.ResponseWriter, r *http.Request) {
	view := n.core.Board.Directory.Get()
	known, err := readRequested(r.URL.Query(), view)
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	from := model.InstanceID(r.URL.Query().Get(directoryFrom))
	n.revisionReported(from, known.After)
	if known.Separate {
		n.configReported(from, known.Config)
	}
	if view == nil {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	changes := directory.Changes(view, known)
	now := time.Now()
	data, err := wire.EncodeDirectory(&wire.DirectoryChanges{
		Era: changes.Era, Revision: changes.Revision, AgeMs: view.Freshness(now).AgeMs, ReadsFailing: view.ReadsFailing(now),
		Full: changes.Full, Listed: changes.Listed, Unlisted: changes.Unlisted, Evacuations: changes.Evacuations,
		Config: changes.Config, Refused: changes.Refused, Separate: changes.Separate,
	})
	if err != nil {
		http.Error(w, err.Error(), http.StatusInternalServerError)
		return
	}
	if changes.Config != nil || changes.Refused != nil {
		n.configCopiesSent.Add(1)
	}
	// A peer that has gone asks another one.
	_, _ = w.Write(data)
}

// directoryFreshness returns the freshness of this node's view of the directory, for
// messages to peers.
func (n *Node) directoryFreshness() model.DirectoryFreshness {
	return n.core.Board.Directory.Get().Freshness(time.Now())
}

// ownerReported handles the directory freshness in each owner's response to an attempt.
func (n *Node) ownerReported(from model.InstanceID, m model.DirectoryFreshness) {
	n.core.Quarantine.PeerSeen(from)
	n.freshnessReported(from, m)
}

// entryReported handles the directory revision in each attempt from an entry node.
func (n *Node) entryReported(from model.InstanceID, revision model.Revision) {
	n.core.Quarantine.PeerSeen(from)
	n.revisionReported(from, revision)
}

// revisionReported handles a directory revision in an attempt or a request, whose age is
// unknown.
func (n *Node) revisionReported(from model.InstanceID, revision model.Revision) {
	n.freshnessReported(from, model.DirectoryFreshness{Era: revision.Era, Revision: revision.Number, AgeMs: model.AgeUnknown})
}

// configReported handles the version of the configuration that a requesting peer holds. Only
// a newer one than this node's is passed on, once per tick.
func (n *Node) configReported(from model.InstanceID, version uint64) {
	v := model.BundleVersion{Version: version}
	if version > directory.NewestVersion(n.core.Board.Directory.Get()) && n.calls.firstVersion(v) {
		n.hint(control.VersionSeen{From: from, Version: v})
	}
}

// freshnessReported handles a directory freshness received in a message. It passes on
// only newer ones than this node's, and at most a few per tick.
func (n *Node) freshnessReported(from model.InstanceID, m model.DirectoryFreshness) {
	if m.At().IsZero() || n.cfg.Directory == nil {
		return
	}
	known := n.directoryFreshness()
	if !m.IsNewerThan(known) {
		return
	}
	if n.calls.firstFreshness(m) {
		n.hint(control.PeerFreshnessReceived{From: from, Freshness: m})
	}
}
