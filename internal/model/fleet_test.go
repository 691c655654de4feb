package model

import (
	"fmt"
	"testing"
)

func fleetOf(n int) *Fleet {
	f := &Fleet{}
	for i := range n {
		f.Instances = append(f.Instances, Instance{ID: InstanceID(fmt.Sprintf("10.%03d.%03d.1", i/250, i%250))})
	}
	return f
}

func TestAnInstanceIsFoundByItsID(t *testing.T) {
	f := fleetOf(600)
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

// At 10,000 instances 0.19 us; a search from the first one on took 31 us.
func BenchmarkInstance(b *testing.B) {
	f := fleetOf(10_000)
	for i := range b.N {
		f.Instance(f.Instances[i%len(f.Instances)].ID)
	}
}
