package node

import (
	"fmt"
	"time"

	"gypsumstand/internal/core"
	"gypsumstand/internal/dialect"
	"gypsumstand/internal/link"
	"gypsumstand/internal/model"
	"gypsumstand/internal/registry"
	"gypsumstand/internal/server"
)

// makeComponents creates the node's components from Config. The ports are already open, so
// their addresses are known.
func (n *Node) makeComponents() error {
	if n.cfg.Callers == nil {
		n.cfg.Callers = dialect.Product{}
	}
	if n.cfg.Workers == nil {
		n.cfg.Workers = dialect.Product{}
	}
	if err := n.makeRegistry(); err != nil {
		return err
	}
	started := time.Now()
	n.makeCore(started)
	n.watch = newWorkerWatch(n)
	n.makeExecutor()
	n.forwarder = server.NewForwarder(n.cfg.DialPeer, n.cfg.PeerTLS, n.cfg.MaxIdleConnections)
	n.forwarder.Unreachable = &server.UnreachableOwners{List: n.unreachableOwners, Reported: n.ownersReportedUnreachable}
	n.links = link.New(link.Config{
		Self: n.self, Sink: n.sink, OnPanic: n.componentFailed,
		TLS: n.cfg.PeerTLS, Dial: n.cfg.DialPeer, MaxAccepted: maxAcceptedLinks,
	})
	n.resolver = newOutcomeResolver(n)
	n.stopBound = server.NewStopBound()
	n.makeServers()
	return nil
}

func (n *Node) makeExecutor() {
	n.executor = server.NewExecutor(server.ExecutorConfig{
		Owner:              n.core.Owner,
		Address:            n.cfg.WorkerAddress,
		Dialect:            n.cfg.Workers,
		Worker:             n.worker,
		ConnectionObserved: n.watch.connectionObserved,

		RequestLog:         &n.cfg.RequestLog,
		RefreshLoad:        n.watch.refresh,
		DirectoryFreshness: n.directoryFreshness,
		WorkerIdentified:   n.watch.identified,
		WorkerDescribed:    n.watch.workerDescribed,
		RunInterrupted:     n.runInterrupted,

		PortClosed: n.workerPortClosed,
		Quarantine: n.core.Quarantine,
		RouteHost: func(host, method, path string) string {
			return n.core.Board.Bundles.Get().RouteHost(host, method, path)
		},
	})
}

// worker returns the id of the worker's current incarnation: the one that the directory
// lists, or else the one that the worker itself last reported.
func (n *Node) worker() model.WorkerID {
	if id := n.core.Worker(); id != "" {
		return id
	}
	return n.watch.workerID()
}

// makeRegistry creates the clients of the platform's services, unless a directory
// replaces them.
func (n *Node) makeRegistry() error {
	if n.cfg.Directory != nil {
		return nil
	}
	var err error
	n.list, err = registry.NewClient(registry.ClientConfig{Addresses: n.cfg.ListAddresses, Timeout: n.cfg.PlatformTimeout})
	if err != nil {
		return fmt.Errorf("platform list: %w", err)
	}
	n.config, err = registry.NewClient(registry.ClientConfig{Addresses: n.cfg.ConfigAddresses, Timeout: n.cfg.PlatformTimeout})
	if err != nil {
		return fmt.Errorf("platform configuration: %w", err)
	}
	return nil
}

func (n *Node) makeCore(started time.Time) {
	n.core = core.New(core.Config{
		Self: model.Instance{
			ID:          n.cfg.Instance,
			Service:     n.cfg.Service,
			DataCentre:  n.cfg.DataCentre,
			PeerAddress: n.ports.peer.Addr().String(),
			Incarnation: model.Incarnation(started.UnixMicro()),
		},
		Regions:         n.cfg.Regions,
		Trusted:         n.cfg.Trusted,
		Seeds:           n.cfg.Seeds,
		LocalDelay:      n.cfg.LocalDelay,
		RemoteDelay:     n.cfg.RemoteDelay,
		Policy:          n.cfg.Policy,
		ProbeAge:        n.cfg.ProbeAge,
		OnBreakerChange: n.breakerChanged,

		FollowsDirectory:      n.cfg.Directory != nil,
		WorkersNameRateLimits: n.cfg.Workers.NamesRateLimits(),
		BodyMemory:            n.cfg.BodyMemory,

		Started: started,
		Seed:    uint64(started.UnixNano()),
	})
}
