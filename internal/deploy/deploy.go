// Package deploy turns a bundle into a deployment on loopback and the load on
// it: workers with service times for its routes, and a stream of requests per
// route at a share of the workers' capacity. The demonstration and the
// experiments run the two examples by it.
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

// Deployment is an example's bundle with the number of workers per service.
type Deployment struct {
	Name string
	// TOML is the bundle's text, and Bundle what it says.
	TOML   []byte
	Bundle *bundle.Bundle
	// Workers counts the workers of each of the bundle's services, in its order.
	Workers []int
	// MeanServiceMs is the workers' mean service time in milliseconds.
	MeanServiceMs float64
}

// The examples' sizes (brief, "Sizes of today").
var (
	// InyangeWorkers: vouchers 4, ledger 3, statements 4.
	InyangeWorkers = []int{4, 3, 4}
	// BrethynWorkers: catalogue 3, orders 3, schools 4.
	BrethynWorkers = []int{3, 3, 4}
)

// Both users run three data centres about 1 ms apart.
const (
	DataCentres      = 3
	InterCentreDelay = time.Millisecond
)

// Service times of the stand-in workers.
const (
	defaultMeanMs = 10.0
	sigma         = 0.5
	answerBytes   = 2 << 10
)

// New reads a deployment's bundle.
func New(name string, toml []byte, workers []int) (*Deployment, error) {
	b, err := bundle.Parse(name, toml)
	if err != nil {
		return nil, err
	}
	if len(b.Services) != len(workers) {
		return nil, fmt.Errorf("%s: %d services, %d numbers of workers", name, len(b.Services), len(workers))
	}
	return &Deployment{Name: name, TOML: toml, Bundle: b, Workers: workers, MeanServiceMs: defaultMeanMs}, nil
}

// FleetConfig returns the configuration of its fleet on loopback.
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
		cfg.Services = append(cfg.Services, d.service(i))
	}
	return cfg
}

func (d *Deployment) service(i int) local.Service {
	svc := &d.Bundle.Services[i]
	out := local.Service{Name: svc.Name, Workers: d.Workers[i]}
	for _, r := range svc.Routes {
		out.Profiles = append(out.Profiles, worker.Profile{
			Path:         r.Path,
			Distribution: worker.Lognormal,
			MeanMs:       d.MeanServiceMs,
			Sigma:        sigma,
			SizeBytes:    answerBytes,
		})
	}
	return out
}

// Capacity returns the requests per second that a service's workers can answer.
func (d *Deployment) Capacity(i int) float64 {
	slots := float64(d.Bundle.Services[i].Slots * d.Workers[i])
	return slots / d.MeanServiceMs * float64(time.Second/time.Millisecond)
}

// Weights of a service's routes in its load.
const (
	weightIdempotent    = 3.0
	weightNotIdempotent = 1.0
	weightNoWorth       = 1.0
)

// Streams returns one stream per route that together offer each service the
// given share of its capacity. They name no tenant, so that no tenant's limit
// bounds the load.
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

func method(r *bundle.Route) string {
	if len(r.Methods) > 0 {
		return r.Methods[0]
	}
	return http.MethodGet
}

// idempotent applies the route's word, or RFC 9110's for its method.
func idempotent(r *bundle.Route) bool {
	if r.Idempotent != nil {
		return *r.Idempotent
	}
	m := method(r)
	return m != http.MethodPost && m != http.MethodPatch
}

// LoadExample reads the bundle of an example from its folder.
func LoadExample(examples, name string, workers []int) (*Deployment, error) {
	data, err := os.ReadFile(filepath.Join(examples, name, "bundle.toml"))
	if err != nil {
		return nil, fmt.Errorf("example %s: %w", name, err)
	}
	return New(name, data, workers)
}
