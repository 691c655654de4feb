package entry

import "sync/atomic"

// registry holds one value per key, created on first use. Its keys come from bundles, so
// their number is bounded. Reads take no lock and allocate nothing; a new key copies the
// map.
type registry[K comparable, V any] struct {
	values atomic.Pointer[map[K]*V]
}

// get returns the key's value, which create makes when the key is new.
func (r *registry[K, V]) get(key K, create func() *V) *V {
	for {
		old := r.values.Load()
		if old == nil {
			old = &map[K]*V{}
			r.values.CompareAndSwap(nil, old)
			continue
		}
		if v := (*old)[key]; v != nil {
			return v
		}
		copied := make(map[K]*V, len(*old)+1)
		for k, v := range *old {
			copied[k] = v
		}
		copied[key] = create()
		r.values.CompareAndSwap(old, &copied)
	}
}
