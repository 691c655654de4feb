package node

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"time"

	"gypsumstand/internal/bundle"
	"gypsumstand/internal/control"
	"gypsumstand/internal/directory"
	"gypsumstand/internal/event"
	"gypsumstand/internal/model"
	"gypsumstand/internal/packed"
	"gypsumstand/internal/wire"
)

const (
	// directoryConfigPath is where a node serves its newest configuration to peers.
	directoryConfigPath = "/v1/directory/configuration"
	// configTransferTimeout bounds the transfer of a configuration: on a link of 10 Mbit/s
	// that others use too, the largest one takes seconds.
	configTransferTimeout = 10 * time.Second
)

// errNoConfig is the error of a reply without a configuration.
var errNoConfig = errors.New("the peer sent no configuration")

// requestPeerConfig requests a peer's newest configuration.
func (n *Node) requestPeerConfig(peer model.Instance) {
	ctx, cancel := context.WithTimeout(n.ctx, configTransferTimeout)
	defer cancel()
	began := n.clock()
	data, err := n.forwarder.GetSteady(ctx, peer.PeerAddress, directoryConfigPath, wire.MaxDirectoryBytes)
	if err != nil {
		n.sink(control.ConfigFailed{From: peer.ID, Err: err})
		return
	}
	reply, err := wire.DecodeDirectory(data)
	if err == nil && reply.Config == nil {
		err = errNoConfig
	}
	if err != nil {
		n.sink(control.ConfigFailed{From: peer.ID, Err: err})
		return
	}
	n.configReceived(peer.ID, reply.Config, n.elapsed(began))
	n.sink(control.ConfigReceived{From: peer.ID, Raw: reply.Config, KnownTo: model.Revision{Era: reply.Era, Number: reply.Revision}})
}

// startConfigRead reads the configuration from the directory until cancelConfigRead.
func (n *Node) startConfigRead() {
	n.cancelConfigRead()
	ctx, cancel := context.WithTimeout(n.ctx, configTransferTimeout)
	n.configReadCancel = cancel
	n.start(func() {
		defer cancel()
		n.readConfig(ctx)
	})
}

// cancelConfigRead ends the latest read of the configuration without a result.
func (n *Node) cancelConfigRead() {
	if n.configReadCancel != nil {
		n.configReadCancel()
	}
}

func (n *Node) readConfig(ctx context.Context) {
	began := n.clock()
	raw, knownTo, err := n.cfg.Directory.ReadConfiguration(ctx)
	if errors.Is(ctx.Err(), context.Canceled) {
		// The core has the configuration from a peer (636), or the node ends.
		return
	}
	if err != nil {
		n.sink(control.ConfigFailed{Err: err})
		return
	}
	if raw != nil {
		n.configReceived("", raw, n.elapsed(began))
	}
	n.sink(control.ConfigReceived{Raw: raw, KnownTo: knownTo})
}

// decodeConfigForCore decodes a configuration that was transferred separately.
func (n *Node) decodeConfigForCore(raw *model.RawConfig) {
	began := n.clock()
	b, err := n.decodeConfig(raw)
	event.Log(&n.log, event.ConfigDecoded).Str("subject", configSubject(raw)).
		Int("milliseconds", n.elapsed(began).Milliseconds()).Send()
	n.sink(control.ConfigDecoded{Raw: raw, Bundle: b, Err: err})
}

func (n *Node) decodeConfig(raw *model.RawConfig) (*bundle.Bundle, error) {
	text, err := packed.Unpack(raw.Packed, model.MaxConfigBytes)
	if err != nil {
		return nil, fmt.Errorf("directory configuration: %w", err)
	}
	return n.cfg.Directory.Configuration(text)
}

// configReceived counts and logs a copy of a configuration that was received from a peer, or
// from the directory if from is empty.
func (n *Node) configReceived(from model.InstanceID, raw *model.RawConfig, transfer time.Duration) {
	n.configCopiesReceived.Add(1)
	source := "the directory"
	if from != "" {
		source = "peer " + string(from)
	}
	event.Log(&n.log, event.ConfigReceived).Str("subject", configSubject(raw)).Str("from", source).
		Int("bytes", int64(len(raw.Packed))).Int("milliseconds", transfer.Milliseconds()).Send()
}

func configSubject(raw *model.RawConfig) string { return fmt.Sprint("version ", raw.Version) }

// serveDirectoryConfig responds with this node's newest configuration.
func (n *Node) serveDirectoryConfig(w http.ResponseWriter, _ *http.Request) {
	view := n.core.Board.Directory.Get()
	newest := directory.NewestConfig(view)
	if newest == nil {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	data, err := wire.EncodeDirectory(&wire.DirectoryChanges{
		Era: view.Revision.Era, Revision: view.ConfigKnownTo, Config: newest,
	})
	if err != nil {
		http.Error(w, err.Error(), http.StatusInternalServerError)
		return
	}
	n.configCopiesSent.Add(1)
	// A peer that has gone asks another one.
	_, _ = w.Write(data)
}
