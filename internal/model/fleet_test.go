package model

import (
	"fmt"
	"testing"
)

func newFleet(n int) *Fleet {
	f := &Fleet{}
	for i := range n {
		f.Instances = append(f.Instances, Instance{ID: InstanceID(fmt.Sprintf("10.%03d.%03d.1", i/250, i%250))})
	}
	return f
}

func TestFleetInstanceByID(t *testing.T) {
	f := newFleet(600)
	for i := range f.Instances {
		id := f.Instances[i].ID
		if in, known := f.Instance(id); !known || in.ID != id {
			t.Errorf("%s: got %s, %v", id, in.ID, known)
		}
	}
	for _, id := range []InstanceID{"", "10.000.000.10", "9"} {
		if in, known := f.Instance(id); known {
			t.Errorf("%q: got %s", id, in.ID)
		}
	}
}

// BenchmarkInstance looks up instances in a fleet of 10,000: binary search takes 0.19 us, a
// linear search took 31 us.
func BenchmarkInstance(b *testing.B) {
	f := newFleet(10_000)
	for i := range b.N {
		f.Instance(f.Instances[i%len(f.Instances)].ID)
	}
}
