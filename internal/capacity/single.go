package capacity

import (
	"crypto/ed25519"
	"fmt"
	"math/rand/v2"
	"runtime"
	"time"

	"gypsumstand/internal/bundle"
	"gypsumstand/internal/control"
	"gypsumstand/internal/core"
	"gypsumstand/internal/model"
	"gypsumstand/internal/owner"
	"gypsumstand/internal/route"
)

// SingleNode is what was measured on one node alone.
type SingleNode struct {
	// UpdateMicro is the time to rebuild the routing table at UpdateNodes
	// instances, in microseconds.
	UpdateNodes int     `json:"update_nodes"`
	UpdateMicro float64 `json:"update_us"`
	// BundleHeapKB is the heap per held bundle of BundleKB kilobytes, and
	// BundleMicro the time to verify and check one.
	BundleKB     float64 `json:"bundle_kb"`
	BundleHeapKB float64 `json:"bundle_heap_kb"`
	BundleMicro  float64 `json:"bundle_us"`
	// AttemptBytes is the heap per remembered attempt, KeyBytes that per
	// remembered request id with its attempt.
	AttemptBytes float64 `json:"attempt_bytes"`
	KeyBytes     float64 `json:"key_bytes"`
	// TickMicro is the processor time of one tick at UpdateNodes instances.
	TickMicro float64 `json:"tick_us"`
}

// Sizes of the single measurements.
const (
	singleNodes    = 10_000
	singleBundles  = 200
	singleBundleKB = 8
	singleAttempts = 50_000
	singleTicks    = 200
	singleRepeats  = 20
)

// MeasureSingleNode measures one node at the target's size.
func MeasureSingleNode() (SingleNode, error) {
	s := SingleNode{UpdateNodes: singleNodes, BundleKB: singleBundleKB}
	fleet := targetFleet()
	s.UpdateMicro = updateMicro(fleet)
	if err := s.bundles(); err != nil {
		return s, err
	}
	s.AttemptBytes = attemptBytes(false)
	s.KeyBytes = attemptBytes(true)
	s.TickMicro = tickMicro(fleet)
	return s, nil
}

// targetFleet is the view of a fleet of the target's size.
func targetFleet() *model.Fleet {
	f := &model.Fleet{Revision: 1}
	for i := range singleNodes {
		f.Instances = append(f.Instances, model.Instance{
			ID:          model.InstanceID(fmt.Sprintf("instance-%05d", i)),
			Service:     model.ServiceName(fmt.Sprintf("service-%d", i/perService)),
			DataCentre:  model.DataCentre(fmt.Sprintf("dc-%d", i%dataCentres)),
			PeerAddress: fmt.Sprintf("10.0.%d.%d:7000", i>>8, i&0xff),
			Incarnation: 1,
			State:       model.StateLive,
		})
	}
	return f
}

func updateMicro(fleet *model.Fleet) float64 {
	table := route.NewTable(route.Config{Self: "instance-00000", DataCentre: "dc-0"})
	set := bundle.NewSet(nil)
	now := time.Unix(1_700_000_000, 0)
	began := cpu()
	for range singleRepeats {
		table.Update(now, fleet, set)
	}
	return float64((cpu() - began).Microseconds()) / singleRepeats
}

// bundles measures holding and opening signed bundles.
func (s *SingleNode) bundles() error {
	public, private, err := ed25519.GenerateKey(nil)
	if err != nil {
		return fmt.Errorf("make key: %w", err)
	}
	signer := bundle.Signer{Name: "capacity", Key: public}
	packed := make([][]byte, singleBundles)
	for i := range packed {
		packed[i], err = bundle.Sign(signer.Name, private, bigBundle(i)).Marshal()
		if err != nil {
			return err
		}
	}
	held := make([]*bundle.Bundle, len(packed))
	heap, began := heapBytes(), cpu()
	for i, data := range packed {
		held[i], err = bundle.Open("capacity", data, []bundle.Signer{signer})
		if err != nil {
			return err
		}
	}
	s.BundleMicro = float64((cpu() - began).Microseconds()) / singleBundles
	s.BundleHeapKB = (heapBytes()-heap)/singleBundles/1024 + float64(len(packed[0]))/1024
	runtime.KeepAlive(held)
	return nil
}

// bigBundle is a bundle of about singleBundleKB with many routes.
func bigBundle(i int) []byte {
	text := bundleHead(bundleName(i), 1)
	for r := 0; len(text) < singleBundleKB<<10; r++ {
		text += fmt.Sprintf("[[service.route]]\npath = \"/service-%d/part-%d\"\nmethods = [\"GET\"]\nclass = \"view\"\n", i, r)
	}
	return []byte(text)
}

// attemptBytes measures the memory of ended attempts.
func attemptBytes(keyed bool) float64 {
	start := time.Unix(1_700_000_000, 0)
	o := owner.New(owner.Config{Self: model.Instance{ID: "o", Incarnation: 1}, Started: start})
	b, err := bundle.Parse("capacity", []byte(bundleText("service-0", 1)))
	if err != nil {
		panic(err)
	}
	o.Configure(start, b, &b.Services[0], 1)
	o.SetState(start, model.StateLive)
	now := start.Add(time.Minute)
	heap := heapBytes()
	for i := range singleAttempts {
		a := model.Attempt{
			ID:      model.AttemptID{Entry: model.InstanceID(fmt.Sprintf("entry-%d", i%100)), Incarnation: 1, Sequence: uint64(i)},
			Request: model.RequestID(fmt.Sprintf("01234567-89ab-cdef-0123-%012d", i)), CallerKey: keyed,
			OwnerIncarnation: 1, OwnerClock: time.Minute, Class: "view", Remaining: time.Second, Worth: 1,
		}
		o.Offer(now, &a, false)
		o.Finish(now, a.ID, owner.Completion{Status: 200, ServiceTime: time.Millisecond})
	}
	used := heapBytes() - heap
	o.Tick(now)
	return used / singleAttempts
}

// tickMicro measures the ticks of a core that knows the target's fleet.
func tickMicro(fleet *model.Fleet) float64 {
	now := time.Unix(1_700_000_000, 0)
	rng := rand.New(rand.NewPCG(1, 1))
	c := core.New(core.Config{Self: fleet.Instances[0], Started: now, Random: rng.Uint64})
	c.Handle(now, control.ListRead{Revision: 1, Full: true, Instances: fleet.Instances})
	began := cpu()
	for range singleTicks {
		now = now.Add(control.TickInterval)
		c.Handle(now, control.Tick{})
	}
	return float64((cpu() - began).Microseconds()) / singleTicks
}
