package node

import (
	"context"
	"crypto/tls"
	"time"

	"github.com/rs/zerolog"

	"gypsumstand/internal/bundle"
	"gypsumstand/internal/control"
	"gypsumstand/internal/dialect"
	"gypsumstand/internal/model"
	"gypsumstand/internal/route"
	"gypsumstand/internal/server"
	"gypsumstand/internal/upstream"
)

// Config holds a node's validated settings.
type Config struct {
	Instance   model.InstanceID
	Service    model.ServiceName
	DataCentre model.DataCentre
	// Regions maps each data centre to its region.
	Regions model.DataCentreRegions
	// Addresses are "ip:port"; port 0 selects a free one.
	CallerAddress   string
	PeerAddress     string
	OperatorAddress string
	WorkerAddress   string
	// ListAddresses and ConfigAddresses are the addresses of the platform's services.
	ListAddresses   []string
	ConfigAddresses []string
	PlatformTimeout time.Duration
	Seeds           []string
	Trusted         []bundle.Signer
	// PeerTLS is the mutual TLS of the peer port; nil means none.
	PeerTLS *tls.Config
	// Callers and Workers define the headers of callers and of the worker; nil means the
	// product's own dialect.
	Callers dialect.Callers
	Workers dialect.Workers
	// Directory is the source of instances and configuration in place of ListAddresses,
	// ConfigAddresses, Seeds and Trusted; nil means that those are used.
	Directory Directory
	// DialPeer opens connections to other nodes; nil means TCP.
	DialPeer upstream.DialFunc
	// StopTimeout bounds a graceful stop; LeaveGrace is how long callers are still
	// accepted after the node has announced that it is leaving.
	StopTimeout time.Duration
	LeaveGrace  time.Duration
	LocalDelay  time.Duration
	RemoteDelay time.Duration
	// MaxHeaderBytes bounds a request's header.
	MaxHeaderBytes int
	// MaxIdleConnections bounds the idle connections to other nodes.
	MaxIdleConnections int
	// BodyMemory bounds the bytes of reserved request bodies in memory; zero means
	// owner.DefaultBodyMemory.
	BodyMemory int64
	// IdleTimeout bounds the idle time of connections to the peer and operator ports.
	IdleTimeout time.Duration
	// Policy is the routing policy; other values than zero are baselines for experiments.
	Policy route.Policy
	// ProbeAge is for experiments; zero means the default. See core.Config.
	ProbeAge time.Duration
	// OnCall is called for each call in addition to the metrics and must not block; it
	// may be nil.
	OnCall func(server.CallRecord)
	Log    zerolog.Logger
	// RequestLog receives the log lines about single requests.
	RequestLog zerolog.Logger
}

// Directory is a source of instances and configuration. Its methods may be called
// concurrently.
type Directory interface {
	// Read returns the changes after a revision, or everything if it is zero. If the source
	// is in another era it returns only that (control.DirectoryRead.Restored). It blocks for
	// a bounded time.
	Read(ctx context.Context, after model.Revision) (control.DirectoryRead, error)
	// ReadConfiguration returns the configuration, nil for none, and the revision that it is
	// the newest of. It takes as long as ctx allows while bytes arrive.
	ReadConfiguration(ctx context.Context) (*model.RawConfig, model.Revision, error)
	// Configuration decodes a configuration in the source's format. A large one takes long;
	// it lets other goroutines run meanwhile.
	Configuration(data []byte) (*bundle.Bundle, error)
	// Close closes idle connections; it is called when no Read is in progress.
	Close()
}

// DefaultIdleTimeout is how long an idle connection to a port is kept, unless the bundle
// sets another limit for callers.
const DefaultIdleTimeout = time.Minute
