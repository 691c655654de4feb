package platform

import (
	"errors"
	"fmt"
	"io"
	"net/http"
	"strconv"

	"github.com/gorilla/mux"

	"gypsumstand/internal/bundle"
	"gypsumstand/internal/finding"
	"gypsumstand/internal/model"
	protocol "gypsumstand/internal/registry"
)

// Paths of the control handler.
const (
	ControlFaultsPath    = "/faults"
	ControlCountersPath  = "/counters"
	ControlInstancesPath = "/instances"
	ControlValuesPath    = "/values"
)

// stateChange is the body of a POST to an instance.
type stateChange struct {
	State string `json:"state"`
}

// Control returns the handler through which demonstrations drive the platform:
//
//	GET /faults, PATCH /faults   the faults; PATCH changes only the given fields
//	GET /counters                the counters
//	GET /instances               the whole list, without lag
//	PUT /instances/{id}          adds or replaces an instance
//	POST /instances/{id}         {"state":"leaving"} sets its state
//	DELETE /instances/{id}       removes it from the list
//	PUT /values                  publishes a signed bundle under its own name and version
//	PUT /values/{name}?version=N publishes the body as it is
func (p *Platform) Control() http.Handler {
	r := mux.NewRouter()
	r.Path(ControlFaultsPath).Methods(http.MethodGet).HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { writeJSON(w, p.Faults()) })
	r.Path(ControlFaultsPath).Methods(http.MethodPatch).Handler(controlAction(p.patchFaults))
	r.Path(ControlCountersPath).Methods(http.MethodGet).HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { writeJSON(w, p.Counters()) })
	r.Path(ControlInstancesPath).Methods(http.MethodGet).HandlerFunc(p.showInstances)
	r.Path(ControlInstancesPath + "/{id}").Methods(http.MethodPut).Handler(controlAction(p.putInstance))
	r.Path(ControlInstancesPath + "/{id}").Methods(http.MethodPost).Handler(controlAction(p.postInstanceState))
	r.Path(ControlInstancesPath + "/{id}").Methods(http.MethodDelete).Handler(controlAction(p.removeInstance))
	r.Path(ControlValuesPath).Methods(http.MethodPut).Handler(controlAction(p.putSigned))
	r.Path(ControlValuesPath + "/{name}").Methods(http.MethodPut).Handler(controlAction(p.putValue))
	return r
}

// controlAction returns a handler that reads a bounded body and passes it to change. It
// responds with 204, or with 400 and the error's text.
func controlAction(change func(r *http.Request, body []byte) error) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, protocol.MaxValueBytes))
		if err == nil {
			err = change(r, body)
		}
		if err != nil {
			http.Error(w, err.Error(), http.StatusBadRequest)
			return
		}
		w.WriteHeader(http.StatusNoContent)
	})
}

func (p *Platform) patchFaults(_ *http.Request, body []byte) error {
	var decodeErr error
	err := p.ChangeFaults(func(f *Faults) {
		next := *f
		if decodeErr = decodeStrict(body, &next); decodeErr == nil {
			*f = next
		}
	})
	return errors.Join(decodeErr, err)
}

func (p *Platform) showInstances(w http.ResponseWriter, _ *http.Request) {
	p.mu.Lock()
	list := p.list.read(p.now(), 0)
	p.mu.Unlock()
	writeJSON(w, list)
}

func (p *Platform) putInstance(r *http.Request, body []byte) error {
	entry := protocol.InstanceEntry{}
	if err := decodeStrict(body, &entry); err != nil {
		return err
	}
	id := mux.Vars(r)["id"]
	if entry.ID == "" {
		entry.ID = id
	}
	if entry.ID != id {
		return finding.List{{Key: "id", Message: fmt.Sprintf("%q differs from the path's %q", entry.ID, id)}}
	}
	in, err := protocol.CheckEntry("instance", entry)
	if err != nil {
		return err
	}
	p.PutInstance(in)
	return nil
}

func (p *Platform) postInstanceState(r *http.Request, body []byte) error {
	var change stateChange
	if err := decodeStrict(body, &change); err != nil {
		return err
	}
	state, ok := model.ParseUpstreamState(change.State)
	if !ok {
		return finding.List{{Key: "state", Message: fmt.Sprintf("%q is not a state", change.State)}}
	}
	return p.SetState(model.InstanceID(mux.Vars(r)["id"]), state)
}

func (p *Platform) removeInstance(r *http.Request, _ []byte) error {
	return p.RemoveInstance(model.InstanceID(mux.Vars(r)["id"]))
}

func (p *Platform) putSigned(_ *http.Request, body []byte) error {
	signed, err := bundle.Unmarshal(body)
	if err != nil {
		return err
	}
	_, err = p.PublishSigned(signed)
	return err
}

func (p *Platform) putValue(r *http.Request, body []byte) error {
	version, err := strconv.ParseUint(r.URL.Query().Get("version"), 10, 64)
	if err != nil {
		return finding.List{{Key: "version", Message: err.Error()}}
	}
	return p.Publish(model.BundleVersion{Name: model.BundleName(mux.Vars(r)["name"]), Version: version}, body)
}

func decodeStrict(body []byte, into any) error { return protocol.DecodeStrict("body", body, into) }
