// Package deploy derives a loopback deployment and its load from a bundle: workers with
// service times for the routes, and one request stream per route at a share of the workers'
// capacity. The demonstration and the experiments use it to run the two examples.
package deploy

import (
	"fmt"
	"net/http"
	"os"
	"path/filepath"
	"time"

	"gypsumstand/internal/bundle"
	"gypsumstand/internal/fake/worker"
	"gypsumstand/internal/load"
	"gypsumstand/internal/local"
)

// Deployment is a bundle with the number of workers per service.
type Deployment struct {
	Name string
	// TOML is the bundle's text, Bundle its parsed form.
	TOML   []byte
	Bundle *bundle.Bundle
	// Workers is the number of workers per service, in the order of the bundle's services.
	Workers []int
	// MeanServiceMs is the workers' mean service time in milliseconds.
	MeanServiceMs float64
}

// Numbers of workers per service in the examples.
var (
	// InyangeWorkers is 4 for vouchers, 3 for ledger and 4 for statements.
	InyangeWorkers = []int{4, 3, 4}
	// BrethynWorkers is 3 for catalogue, 3 for orders and 4 for schools.
	BrethynWorkers = []int{3, 3, 4}
)

// Topology of both examples.
const (
	// DataCentres is the number of data centres.
	DataCentres = 3
	// InterCentreDelay is the one-way delay between two data centres.
	InterCentreDelay = time.Millisecond
)

// Log-normal service times (mean in milliseconds) and response size of stand-in workers.
const (
	defaultMeanServiceMs = 10.0
	serviceTimeSigma     = 0.5
	responseBytes        = 2 << 10
)

// New parses a bundle and returns its deployment. name appears in errors. workers has one
// number per service of the bundle.
func New(name string, toml []byte, workers []int) (*Deployment, error) {
	b, err := bundle.Parse(name, toml)
	if err != nil {
		return nil, err
	}
	if len(b.Services) != len(workers) {
		return nil, fmt.Errorf("%s: %d services but %d worker counts", name, len(b.Services), len(workers))
	}
	return &Deployment{Name: name, TOML: toml, Bundle: b, Workers: workers, MeanServiceMs: defaultMeanServiceMs}, nil
}

// FleetConfig returns the configuration of the deployment's fleet on loopback.
func (d *Deployment) FleetConfig() local.Config {
	cfg := local.Config{
		Bundle:      d.TOML,
		DataCentres: DataCentres,
		CrossDelay:  InterCentreDelay,
		Slots:       d.Bundle.Services[0].Slots,
		StopTimeout: 10 * time.Second,
		LeaveGrace:  2 * time.Second,
	}
	for i := range d.Bundle.Services {
		cfg.Services = append(cfg.Services, d.serviceConfig(i))
	}
	return cfg
}

// serviceConfig returns the workers and response profiles of the bundle's i-th service.
func (d *Deployment) serviceConfig(i int) local.Service {
	svc := &d.Bundle.Services[i]
	out := local.Service{Name: svc.Name, Workers: d.Workers[i]}
	for _, r := range svc.Routes {
		out.Profiles = append(out.Profiles, worker.Profile{
			Path:         r.Path,
			Distribution: worker.Lognormal,
			MeanMs:       d.MeanServiceMs,
			Sigma:        serviceTimeSigma,
			SizeBytes:    responseBytes,
		})
	}
	return out
}

// Capacity returns the requests per second that the workers of the i-th service can answer.
func (d *Deployment) Capacity(i int) float64 {
	slots := float64(d.Bundle.Services[i].Slots * d.Workers[i])
	return slots / d.MeanServiceMs * float64(time.Second/time.Millisecond)
}

// Weights that divide a service's load among its routes.
const (
	weightIdempotent    = 3.0
	weightNotIdempotent = 1.0
	weightNoWorth       = 1.0
)

// Streams returns one stream per route. Together they offer each service the given share of
// its capacity. They have no tenant, so that no tenant limit reduces the load.
func (d *Deployment) Streams(share float64) []load.Stream {
	var out []load.Stream
	for i := range d.Bundle.Services {
		svc := &d.Bundle.Services[i]
		total := 0.0
		for j := range svc.Routes {
			total += d.weight(&svc.Routes[j])
		}
		for j := range svc.Routes {
			r := &svc.Routes[j]
			s := d.stream(r)
			s.RatePerSecond = share * d.Capacity(i) * d.weight(r) / total
			out = append(out, s)
		}
	}
	return out
}

func (d *Deployment) weight(r *bundle.Route) float64 {
	switch {
	case d.Bundle.Class(r.Class).Worth == 0:
		return weightNoWorth
	case !idempotent(r):
		return weightNotIdempotent
	}
	return weightIdempotent
}

func (d *Deployment) stream(r *bundle.Route) load.Stream {
	class := d.Bundle.Class(r.Class)
	return load.Stream{
		Class:         class.Name,
		Worth:         class.Worth,
		Method:        method(r),
		Path:          r.Path,
		TimeoutMs:     class.DeadlineMs,
		NotIdempotent: !idempotent(r),
	}
}

// method returns the method for requests to a route: its first one, or GET if it has none.
func method(r *bundle.Route) string {
	if len(r.Methods) > 0 {
		return r.Methods[0]
	}
	return http.MethodGet
}

// idempotent returns the route's setting or, without one, whether RFC 9110 defines its
// method as idempotent.
func idempotent(r *bundle.Route) bool {
	if r.Idempotent != nil {
		return *r.Idempotent
	}
	m := method(r)
	return m != http.MethodPost && m != http.MethodPatch
}

// LoadExample returns the deployment of the example name in the folder examples.
func LoadExample(examples, name string, workers []int) (*Deployment, error) {
	data, err := os.ReadFile(filepath.Join(examples, name, "bundle.toml"))
	if err != nil {
		return nil, fmt.Errorf("example %s: %w", name, err)
	}
	return New(name, data, workers)
}
