package entry

import "sync/atomic"

// registry holds one value per key, made when it is first asked for. Its keys
// come from bundles, so their number is bounded. Reads take no lock and allocate
// nothing; a new key copies the map.
type registry[K comparable, V any] struct {
	values atomic.Pointer[map[K]*V]
}

// of returns the key's value, making it when the key is new.
func (r *registry[K, V]) of(key K, create func() *V) *V {
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
		grown := make(map[K]*V, len(*old)+1)
		for k, v := range *old {
			grown[k] = v
		}
		grown[key] = create()
		r.values.CompareAndSwap(old, &grown)
	}
}
