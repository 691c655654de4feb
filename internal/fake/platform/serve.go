package platform

import (
	"encoding/json"
	"net/http"
	"strconv"
	"time"

	"github.com/gorilla/mux"

	protocol "gypsumstand/internal/registry"
)

// Handler returns the handler of the platform's protocol.
func (p *Platform) Handler() http.Handler {
	r := mux.NewRouter()
	r.Path(protocol.InstancesPath).Methods(http.MethodGet).HandlerFunc(p.serveList)
	r.Path(protocol.ConfigPath).Methods(http.MethodGet).HandlerFunc(p.serveIndex)
	r.Path(protocol.ConfigPath + "/{name}").Methods(http.MethodGet).HandlerFunc(p.serveValue)
	r.NotFoundHandler = p.errorHandler(&p.counters.NotFound, http.StatusNotFound)
	r.MethodNotAllowedHandler = p.errorHandler(&p.counters.Malformed, http.StatusMethodNotAllowed)
	return p.limitRate(r)
}

// limitRate counts every call and enforces the rate limit that all calls share.
func (p *Platform) limitRate(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		p.mu.Lock()
		now := p.now()
		p.countCall(now)
		allowed := p.limiter.AllowN(now, 1)
		if !allowed {
			p.counters.Limited++
		}
		p.mu.Unlock()
		if !allowed {
			http.Error(w, "over the rate", http.StatusTooManyRequests)
			return
		}
		next.ServeHTTP(w, r)
	})
}

func (p *Platform) errorHandler(counter *uint64, status int) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		p.count(counter)
		http.Error(w, http.StatusText(status), status)
	})
}

func (p *Platform) serveList(w http.ResponseWriter, r *http.Request) {
	if p.injectOutage(w, r, func(f Faults) Outage { return f.ListOutage }) {
		return
	}
	since, err := parseSince(r)
	if err != nil {
		p.errorHandler(&p.counters.Malformed, http.StatusBadRequest).ServeHTTP(w, r)
		return
	}
	p.mu.Lock()
	list := p.list.read(p.faults.listAsOf(p.now()), since)
	if *list.Full {
		p.counters.ListFull++
	} else {
		p.counters.ListChanges++
	}
	p.mu.Unlock()
	writeJSON(w, list)
}

func parseSince(r *http.Request) (uint64, error) {
	text := r.URL.Query().Get(protocol.SinceQuery)
	if text == "" {
		return 0, nil
	}
	return strconv.ParseUint(text, 10, 64)
}

func (p *Platform) serveIndex(w http.ResponseWriter, r *http.Request) {
	if p.injectOutage(w, r, func(f Faults) Outage { return f.ConfigOutage }) {
		return
	}
	p.mu.Lock()
	index := p.config.index(p.faults.configAsOf(p.now()))
	p.counters.Index++
	p.mu.Unlock()
	writeJSON(w, index)
}

func (p *Platform) serveValue(w http.ResponseWriter, r *http.Request) {
	if p.injectOutage(w, r, func(f Faults) Outage { return f.ConfigOutage }) {
		return
	}
	p.mu.Lock()
	value, ok := p.config.value(p.faults.configAsOf(p.now()), mux.Vars(r)["name"])
	if ok {
		p.counters.Value++
	}
	p.mu.Unlock()
	if !ok {
		p.errorHandler(&p.counters.NotFound, http.StatusNotFound).ServeHTTP(w, r)
		return
	}
	w.Header().Set("Content-Type", "application/cbor")
	_, _ = w.Write(value.data) // fails only if the reader disconnected
}

// injectOutage applies the outage that pick selects and reports whether it responded. It
// panics with http.ErrAbortHandler to cut the connection.
func (p *Platform) injectOutage(w http.ResponseWriter, r *http.Request, pick func(Faults) Outage) bool {
	p.mu.Lock()
	kind := pick(p.faults)
	changed := p.changed
	if kind != OutageNone {
		p.counters.Failed++
	}
	p.mu.Unlock()
	switch kind {
	case OutageNone:
		return false
	case OutageError:
		http.Error(w, "outage", http.StatusServiceUnavailable)
		return true
	case OutageHang:
		select {
		case <-r.Context().Done():
		case <-changed:
		}
	}
	panic(http.ErrAbortHandler)
}

func writeJSON(w http.ResponseWriter, v any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(v) // fails only if the reader disconnected
}

// Timeouts of the server; its readers run on the same host.
const (
	headerTimeout = 5 * time.Second
	idleTimeout   = time.Minute
)

// NewServer returns a server of the platform's protocol with timeouts set; the caller
// gives it a listener and shuts it down.
func (p *Platform) NewServer() *http.Server {
	return &http.Server{Handler: p.Handler(), ReadHeaderTimeout: headerTimeout, IdleTimeout: idleTimeout}
}
