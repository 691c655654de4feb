package worker

import (
	"fmt"
	"io"
	"net/http"
	"strconv"
	"time"

	"github.com/gorilla/mux"

	"gypsumstand/internal/finding"
	"gypsumstand/internal/model"
	"gypsumstand/internal/registry"
)

// Paths of the control handler.
const (
	ControlFaultsPath     = "/faults"
	ControlCountersPath   = "/counters"
	ControlPausePath      = "/pause"
	ControlRunsPath       = "/runs"
	ControlDuplicatesPath = "/duplicates"
)

// Limits of control requests.
const (
	maxControlBytes = 8 << 20
	maxPause        = 10 * time.Minute
)

// RunsQuery is the body of a POST to ControlRunsPath.
type RunsQuery struct {
	IDs []model.RequestID `json:"ids"`
}

// RunsReply reports how often requests ran, in the order of the query.
type RunsReply struct {
	Runs []RunCount `json:"runs"`
	// Forgotten is the value of Ledger.Forgotten.
	Forgotten uint64 `json:"forgotten"`
}

// Control returns the handler through which demonstrations drive the worker:
//
//	GET /faults, PATCH /faults  the faults; PATCH changes only the given fields
//	GET /counters               the counters
//	POST /pause?ms=N            calls Pause
//	POST /runs                  {"ids":[...]}; returns how often each ran
//	GET /duplicates             the ids that ran more than once
func (w *Worker) Control() http.Handler {
	r := mux.NewRouter()
	get, post := r.Methods(http.MethodGet).Subrouter(), r.Methods(http.MethodPost).Subrouter()
	get.HandleFunc(ControlFaultsPath, func(rw http.ResponseWriter, _ *http.Request) { writeJSON(rw, http.StatusOK, w.Faults()) })
	get.HandleFunc(ControlCountersPath, func(rw http.ResponseWriter, _ *http.Request) { writeJSON(rw, http.StatusOK, w.Counters()) })
	get.HandleFunc(ControlDuplicatesPath, func(rw http.ResponseWriter, _ *http.Request) {
		writeJSON(rw, http.StatusOK, RunsReply{Runs: w.ledger.Duplicates(), Forgotten: w.ledger.Forgotten()})
	})
	r.Path(ControlFaultsPath).Methods(http.MethodPatch).HandlerFunc(w.patchFaults)
	post.HandleFunc(ControlPausePath, w.postPause)
	post.HandleFunc(ControlRunsPath, w.postRuns)
	return r
}

func (w *Worker) patchFaults(rw http.ResponseWriter, r *http.Request) {
	body, err := readControl(rw, r)
	if err == nil {
		var decodeErr error
		err = w.ChangeFaults(func(f *Faults) {
			next := f.clone()
			if decodeErr = registry.DecodeStrict("faults", body, &next); decodeErr == nil {
				*f = next
			}
		})
		if decodeErr != nil {
			err = decodeErr
		}
	}
	reply(rw, err)
}

func (w *Worker) postPause(rw http.ResponseWriter, r *http.Request) {
	ms, err := strconv.ParseInt(r.URL.Query().Get("ms"), 10, 64)
	if d := time.Duration(ms) * time.Millisecond; err == nil && (ms <= 0 || d > maxPause) {
		err = finding.List{{Key: "ms", Message: fmt.Sprintf("must be over 0 and at most %d", maxPause.Milliseconds())}}
	}
	if err == nil {
		w.Pause(time.Duration(ms) * time.Millisecond)
	}
	reply(rw, err)
}

func (w *Worker) postRuns(rw http.ResponseWriter, r *http.Request) {
	var query RunsQuery
	body, err := readControl(rw, r)
	if err == nil {
		err = registry.DecodeStrict("runs", body, &query)
	}
	if err != nil {
		reply(rw, err)
		return
	}
	out := RunsReply{Runs: make([]RunCount, 0, len(query.IDs))}
	for _, id := range query.IDs {
		out.Runs = append(out.Runs, RunCount{ID: id, Runs: w.ledger.Runs(id)})
	}
	out.Forgotten = w.ledger.Forgotten()
	writeJSON(rw, http.StatusOK, out)
}

func readControl(rw http.ResponseWriter, r *http.Request) ([]byte, error) {
	return io.ReadAll(http.MaxBytesReader(rw, r.Body, maxControlBytes))
}

// reply responds with 204, or with 400 and the error's text.
func reply(rw http.ResponseWriter, err error) {
	if err != nil {
		http.Error(rw, err.Error(), http.StatusBadRequest)
		return
	}
	rw.WriteHeader(http.StatusNoContent)
}
