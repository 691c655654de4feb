package owner

import (
	"time"

	"golang.org/x/time/rate"

	"gypsumstand/internal/bundle"
	"gypsumstand/internal/model"
)

// rateSlack raises this owner's part of a tenant's fleet-wide rate, as entries do not
// spread a tenant's requests evenly. When every owner is fully used, the fleet admits
// this factor times the bundle's rate.
const rateSlack = 1.25

// tenant is the state of one tenant. Tenants that no bundle names are counted under
// model.OtherTenant.
type tenant struct {
	maxShare float64
	inFlight int
	// bucket is nil when the tenant's rate is not limited.
	bucket *rate.Limiter
}

// atBound reports whether the tenant holds its share of limit slots.
func (t *tenant) atBound(limit int) bool {
	if t.maxShare >= 1 {
		return false
	}
	return t.inFlight >= max(1, int(t.maxShare*float64(limit)))
}

// tenantSet holds the tenants of the current bundle.
type tenantSet struct {
	byName map[model.TenantName]*tenant
	other  *tenant
}

func newTenantSet() tenantSet {
	return tenantSet{byName: map[model.TenantName]*tenant{}, other: &tenant{maxShare: 1}}
}

// configure applies the bundle's limits; a tenant that stays keeps the tokens in its
// bucket. Attempts of a removed tenant keep their reference to it until they end.
func (s *tenantSet) configure(now time.Time, tenants []bundle.Tenant, upstreams int) {
	old := s.byName
	s.byName = make(map[model.TenantName]*tenant, len(tenants))
	s.other.maxShare, s.other.bucket = 1, nil
	for i := range tenants {
		b := &tenants[i]
		t := old[b.Name]
		switch {
		case b.Name == model.OtherTenant:
			t = s.other
		case t == nil:
			t = &tenant{}
		}
		t.maxShare = b.MaxShare
		if t.maxShare <= 0 {
			t.maxShare = 1
		}
		t.setRate(now, b, upstreams)
		s.byName[b.Name] = t
	}
}

// setRate sets this owner's part of the tenant's rate and burst.
func (t *tenant) setRate(now time.Time, b *bundle.Tenant, upstreams int) {
	if b.RatePerSecond <= 0 {
		t.bucket = nil
		return
	}
	part := rateSlack / float64(max(upstreams, 1))
	limit := rate.Limit(b.RatePerSecond * part)
	depth := max(1, int(b.Burst*part+0.5))
	if t.bucket == nil {
		t.bucket = rate.NewLimiter(limit, depth)
		return
	}
	t.bucket.SetLimitAt(now, limit)
	t.bucket.SetBurstAt(now, depth)
}

// get returns the tenant of that name.
func (s *tenantSet) get(name model.TenantName) *tenant {
	if t := s.byName[name]; t != nil {
		return t
	}
	return s.other
}

// wait returns the time until the tenant's rate admits one more request; zero when it
// does now.
func (s *tenantSet) wait(now time.Time, t *tenant) time.Duration {
	if t.bucket == nil {
		return 0
	}
	return bucketWait(t.bucket, now, 1)
}

// spend takes the token of an admitted request.
func (s *tenantSet) spend(now time.Time, t *tenant) {
	if t.bucket != nil {
		t.bucket.AllowN(now, 1)
	}
}
