package node

import (
	"bytes"
	"io"
	"log"
	"net/http"

	"github.com/gorilla/mux"
	"github.com/prometheus/client_golang/prometheus/promhttp"
	"github.com/rs/zerolog"

	"gypsumstand/internal/bundle"
	"gypsumstand/internal/event"
	"gypsumstand/internal/link"
	"gypsumstand/internal/server"
	"gypsumstand/internal/status"
)

// makeServers wires the handlers of the three ports.
func (n *Node) makeServers() {
	bounds := &callerBounds{inForce: n.callerBounds, log: &n.cfg.RequestLog}
	n.ports.caller = callerListener{n.ports.caller, bounds}
	n.ports.callerHTTP = n.httpServer(n.callerRoutes())
	n.ports.callerHTTP.ConnState = bounds.state
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

// serverErrors logs what net/http's servers say, a panic of a handler among it: that cuts
// its caller off, and nothing else tells why.
type serverErrors struct{ log *zerolog.Logger }

// maxServerError bounds one report, in bytes: a panic's has the whole stack.
const maxServerError = 2 << 10

// Write implements io.Writer for one report.
func (s serverErrors) Write(report []byte) (int, error) {
	text := report[:min(len(report), maxServerError)]
	event.Log(s.log, event.ServerError).Str("report", string(bytes.TrimSpace(text))).Send()
	return len(report), nil
}

// newRouter returns a router that leaves paths as they came.
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
		Resolver:           n.settler,
		Recorder:           recorder{n},
		RequestLog:         &n.cfg.RequestLog,
		BundleReported:     n.seen,
		FreshnessReported:  n.ownerHeard,
		DirectoryFreshness: n.mark,
		AttemptUnanswered:  n.unanswered,
		UnreachableSignal:  &n.lostSignal,
		Quarantine:         n.core.Quarantine,
		StopBound:          n.stopBound,
		Dialect:            n.cfg.Callers,
		Service:            n.cfg.Service,
		Leaving:            n.leaving,
		LimitRetryAfter:    n.returns,
	}
	r := newRouter()
	r.PathPrefix("/").Handler(caller)
	return r
}

// callerBounds returns the bounds of callers' connections in force: those of the
// bundle that governs the own service, since a connection is nobody's route.
func (n *Node) callerBounds() bundle.Callers {
	if _, b := n.core.Board.Bundles.Get().Service(n.cfg.Service); b != nil {
		return b.Callers
	}
	return bundle.Callers{}
}

// recorder tells the metrics of each call, and Config.OnCall.
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
	attempts := &server.PeerHandler{Executor: n.executor, BundleReported: n.seen, RevisionReported: n.entryHeard, Unreachable: n.forwarder.Unreachable}
	for _, prefix := range server.AttemptPaths {
		r.PathPrefix(prefix).Handler(attempts)
	}
	r.Path(suspectsPath).Methods(http.MethodPost).HandlerFunc(n.serveSuspects)
	if n.cfg.Directory != nil {
		r.Path(directoryPath).Methods(http.MethodGet).HandlerFunc(n.serveDirectory)
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
	r.Path(status.QuarantinePath).Methods(http.MethodGet).HandlerFunc(n.serveAside)
	r.Path(status.ExplainPath).Methods(http.MethodGet).HandlerFunc(n.serveExplain)
	return r
}

// serveReady answers 200 once callers may come, else 503 with what is missing.
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
