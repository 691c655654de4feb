package node

import (
	"bytes"
	"cmp"
	"io"
	"log"
	"net/http"

	"github.com/gorilla/mux"
	"github.com/prometheus/client_golang/prometheus/promhttp"
	"github.com/rs/zerolog"

	"gypsumstand/internal/bundle"
	"gypsumstand/internal/event"
	"gypsumstand/internal/link"
	"gypsumstand/internal/owner"
	"gypsumstand/internal/server"
	"gypsumstand/internal/status"
)

// makeServers creates the servers of the three ports with their handlers.
func (n *Node) makeServers() {
	timeouts := &callerTimeouts{current: n.callerLimits, log: &n.cfg.RequestLog}
	n.ports.caller = callerListener{n.ports.caller, timeouts}
	n.ports.callerHTTP = n.httpServer(n.callerRoutes())
	n.ports.callerHTTP.ConnState = timeouts.state
	n.ports.callerHTTP.ReadHeaderTimeout = 0
	n.ports.callerHTTP.IdleTimeout = 0
	n.ports.peerHTTP = n.httpServer(n.peerRoutes())
	n.ports.peerHTTP.MaxHeaderBytes += server.PeerHeaderBytes
	n.ports.operatorHTTP = n.httpServer(n.operatorRoutes())
	for _, s := range []*http.Server{n.ports.callerHTTP, n.ports.peerHTTP, n.ports.operatorHTTP} {
		watchUnused(s)
	}
}

func (n *Node) httpServer(h http.Handler) *http.Server {
	return &http.Server{
		Handler:           h,
		ReadHeaderTimeout: readHeaderTimeout,
		IdleTimeout:       n.cfg.IdleTimeout,
		MaxHeaderBytes:    n.cfg.MaxHeaderBytes,
		ErrorLog:          log.New(serverErrors{&n.cfg.RequestLog}, "", 0),
	}
}

// serverErrors logs the errors of net/http's servers, including panics of handlers: a
// panic cuts off the caller, and nothing else records the cause.
type serverErrors struct{ log *zerolog.Logger }

// maxServerError bounds one report, in bytes, since that of a panic contains the whole
// stack.
const maxServerError = 2 << 10

// Write implements io.Writer for one report.
func (s serverErrors) Write(report []byte) (int, error) {
	text := report[:min(len(report), maxServerError)]
	event.Log(s.log, event.ServerError).Str("report", string(bytes.TrimSpace(text))).Send()
	return len(report), nil
}

// newRouter returns a router that leaves paths unchanged.
func newRouter() *mux.Router {
	return mux.NewRouter().SkipClean(true).UseEncodedPath()
}

func (n *Node) callerRoutes() http.Handler {
	caller := &server.CallerHandler{
		Self:               n.cfg.Instance,
		Board:              n.core.Board,
		Engine:             n.core.Engine,
		Table:              n.core.Table,
		Executor:           n.executor,
		Forwarder:          n.forwarder,
		Resolver:           n.resolver,
		Recorder:           recorder{n},
		RequestLog:         &n.cfg.RequestLog,
		BundleReported:     n.bundleReported,
		FreshnessReported:  n.ownerReported,
		DirectoryFreshness: n.directoryFreshness,
		AttemptUnanswered:  n.attemptUnanswered,
		UnreachableSignal:  &n.unreachableSignal,
		Quarantine:         n.core.Quarantine,
		StopBound:          n.stopBound,
		Dialect:            n.cfg.Callers,
		Service:            n.cfg.Service,
		BodyMemory:         server.NewBodyMemory(cmp.Or(n.cfg.BodyMemory, owner.DefaultBodyMemory)),
		Leaving:            n.leaving,
		LimitRetryAfter:    n.limitRetryAfter,
	}
	r := newRouter()
	r.PathPrefix("/").Handler(caller)
	return r
}

// callerLimits returns the limits of callers' connections from the bundle that governs
// this node's service, since a connection has no route.
func (n *Node) callerLimits() bundle.Callers {
	if _, b := n.core.Board.Bundles.Get().Service(n.cfg.Service); b != nil {
		return b.Callers
	}
	return bundle.Callers{}
}

// recorder records each call in the metrics and calls Config.OnCall.
type recorder struct{ n *Node }

// Call implements server.Recorder.
func (r recorder) Call(c server.CallRecord) {
	r.n.metrics.Call(c)
	if r.n.cfg.OnCall != nil {
		r.n.cfg.OnCall(c)
	}
}

func (n *Node) peerRoutes() http.Handler {
	r := newRouter()
	r.Path(link.Path).Handler(n.links.Handler())
	r.Path(server.ReachPath).Methods(http.MethodGet).HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusNoContent) })
	attempts := &server.PeerHandler{
		Executor: n.executor, BundleReported: n.bundleReported,
		RevisionReported: n.entryReported, Unreachable: n.forwarder.Unreachable,
		Reservations: reservationRecorder{n},
	}
	r.Path(server.ReservePath).Methods(http.MethodPost).HandlerFunc(attempts.ServeReservation)
	for _, prefix := range server.AttemptPaths {
		r.PathPrefix(prefix).Handler(attempts)
	}
	r.Path(suspectsPath).Methods(http.MethodPost).HandlerFunc(n.serveSuspects)
	if n.cfg.Directory != nil {
		r.Path(directoryPath).Methods(http.MethodGet).HandlerFunc(n.serveDirectory)
		r.Path(directoryConfigPath).Methods(http.MethodGet).HandlerFunc(n.serveDirectoryConfig)
	}
	return r
}

func (n *Node) operatorRoutes() http.Handler {
	n.metrics.Registry().MustRegister(collector{n})
	r := newRouter()
	r.Path("/metrics").Handler(promhttp.HandlerFor(n.metrics.Registry(), promhttp.HandlerOpts{}))
	r.Path("/healthz").HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusOK) })
	r.Path("/readyz").HandlerFunc(n.serveReady)
	r.Path(status.NodePath).Methods(http.MethodGet).HandlerFunc(n.serveStatus)
	r.Path(status.QuarantinePath).Methods(http.MethodGet).HandlerFunc(n.serveQuarantine)
	r.Path(status.ExplainPath).Methods(http.MethodGet).HandlerFunc(n.serveExplain)
	return r
}

// serveReady responds 200 if the node is ready for callers, else 503 and the missing
// conditions.
func (n *Node) serveReady(w http.ResponseWriter, _ *http.Request) {
	ready := n.core.Board.Readiness.Get()
	if ready != nil && ready.Ready && !n.leaving() {
		w.WriteHeader(http.StatusOK)
		return
	}
	w.WriteHeader(http.StatusServiceUnavailable)
	if ready == nil {
		return
	}
	for _, m := range ready.Missing {
		_, _ = io.WriteString(w, "missing: "+m+"\n")
	}
}
