package node

import (
	"context"
	"fmt"
	"net/http"
	"net/url"
	"strconv"
	"time"

	"gypsumstand/internal/bundle"
	"gypsumstand/internal/control"
	"gypsumstand/internal/directory"
	"gypsumstand/internal/model"
	"gypsumstand/internal/packed"
	"gypsumstand/internal/wire"
)

const (
	// directoryPath is where a node tells peers what changed in the directory after
	// the revision in the query.
	directoryPath  = "/v1/directory"
	directoryAfter = "after"
	// directoryFrom names the instance that asks.
	directoryFrom = "from"
	// askTimeout bounds a question to a peer; see package directory.
	askTimeout = 500 * time.Millisecond
)

func (n *Node) readDirectory(after uint64) {
	began := n.clock()
	read, err := n.cfg.Directory.Read(n.ctx, after)
	if err != nil {
		n.sink(control.DirectoryFailed{Err: err})
		return
	}
	read.ReadDuration = n.elapsed(began)
	n.sink(read)
}

// askDirectory asks a peer over the connections that calls use.
func (n *Node) askDirectory(a control.RequestPeerDirectory) {
	ctx, cancel := context.WithTimeout(n.ctx, askTimeout)
	defer cancel()
	query := url.Values{
		directoryAfter: {strconv.FormatUint(a.After, 10)},
		directoryFrom:  {string(n.cfg.Instance)},
	}
	began := n.clock()
	data, err := n.forwarder.Get(ctx, a.Peer.PeerAddress, directoryPath+"?"+query.Encode(), wire.MaxDirectoryBytes)
	if err != nil {
		n.sink(control.PeerDirectoryFailed{From: a.Peer.ID, Err: err})
		return
	}
	told, err := n.decodeDirectory(data)
	if err != nil {
		n.sink(control.PeerDirectoryFailed{From: a.Peer.ID, Err: err})
		return
	}
	told.From = a.Peer.ID
	// The answer may have waited on its way.
	told.Age += n.elapsed(began)
	n.sink(told)
}

func (n *Node) decodeDirectory(data []byte) (control.PeerDirectoryReceived, error) {
	c, err := wire.DecodeDirectory(data)
	if err != nil {
		return control.PeerDirectoryReceived{}, err
	}
	told := control.PeerDirectoryReceived{
		Age:          time.Duration(c.AgeMs) * time.Millisecond,
		ReadsFailing: c.ReadsFailing,
		DirectoryRead: control.DirectoryRead{
			Revision: c.Revision, Full: c.Full, Listed: c.Listed, Unlisted: c.Unlisted, Evacuations: c.Evacuations,
		},
	}
	n.takeConfig(&told.DirectoryRead, c.Config)
	n.takeConfig(&told.DirectoryRead, c.Refused)
	return told, nil
}

// takeConfig decodes a configuration that a peer told, nil for none. One that cannot be
// decoded here keeps nothing else of the answer from being taken.
func (n *Node) takeConfig(told *control.DirectoryRead, raw *model.RawConfig) {
	if raw == nil {
		return
	}
	b, err := n.decodeConfig(raw)
	if err != nil {
		told.Refused, told.RefusedErr = raw, err
		return
	}
	told.Config, told.Bundle = raw, b
}

func (n *Node) decodeConfig(raw *model.RawConfig) (*bundle.Bundle, error) {
	text, err := packed.Unpack(raw.Packed)
	if err != nil {
		return nil, fmt.Errorf("the directory's configuration: %w", err)
	}
	return n.cfg.Directory.Configuration(text)
}

// serveDirectory answers a peer's question.
func (n *Node) serveDirectory(w http.ResponseWriter, r *http.Request) {
	known := n.core.Board.Directory.Get()
	after, err := strconv.ParseUint(r.URL.Query().Get(directoryAfter), 10, 64)
	if err != nil {
		http.Error(w, directoryAfter+": want a whole number", http.StatusBadRequest)
		return
	}
	n.revisionHeard(model.InstanceID(r.URL.Query().Get(directoryFrom)), after)
	if known == nil {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	changes := directory.Changes(known, after)
	now := time.Now()
	data, err := wire.EncodeDirectory(&wire.DirectoryChanges{
		Revision: changes.Revision, AgeMs: known.Freshness(now).AgeMs, ReadsFailing: known.Failing(now),
		Full: changes.Full, Listed: changes.Listed, Unlisted: changes.Unlisted, Evacuations: changes.Evacuations, Config: changes.Config, Refused: changes.Refused,
	})
	if err != nil {
		http.Error(w, err.Error(), http.StatusInternalServerError)
		return
	}
	// A peer that is gone asks another.
	_, _ = w.Write(data)
}

// mark returns what this node knows of the directory, for messages to peers.
func (n *Node) mark() model.DirectoryFreshness {
	return n.core.Board.Directory.Get().Freshness(time.Now())
}

// ownerHeard is told each owner that answered an attempt, with the mark that it told.
func (n *Node) ownerHeard(from model.InstanceID, m model.DirectoryFreshness) {
	n.core.Quarantine.PeerSeen(from)
	n.markHeard(from, m)
}

// entryHeard is told each entry that sent an attempt, with the revision that it told.
func (n *Node) entryHeard(from model.InstanceID, revision uint64) {
	n.core.Quarantine.PeerSeen(from)
	n.revisionHeard(from, revision)
}

// revisionHeard is told each revision that rode on an attempt or a question, whose age
// nothing bounds.
func (n *Node) revisionHeard(from model.InstanceID, revision uint64) {
	n.markHeard(from, model.DirectoryFreshness{Revision: revision, AgeMs: model.AgeUnknown})
}

// markHeard is told each mark that rode on a message; it passes on those that tell
// something, at most a few a tick.
func (n *Node) markHeard(from model.InstanceID, m model.DirectoryFreshness) {
	if m.Revision == 0 || n.cfg.Directory == nil {
		return
	}
	known := n.mark()
	if !m.IsNewerThan(known) {
		return
	}
	if n.calls.newMark(m) {
		n.hint(control.PeerFreshnessReceived{From: from, Freshness: m})
	}
}
