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

// SingleNode holds the figures measured on one node in isolation.
type SingleNode struct {
	// UpdateMicro is the time to rebuild the routing table at UpdateNodes instances, in
	// microseconds.
	UpdateNodes int     `json:"update_nodes"`
	UpdateMicro float64 `json:"update_us"`
	// BundleHeapKB is the heap per bundle of BundleKB kilobytes, BundleMicro the time to
	// verify and check one, in microseconds.
	BundleKB     float64 `json:"bundle_kb"`
	BundleHeapKB float64 `json:"bundle_heap_kb"`
	BundleMicro  float64 `json:"bundle_us"`
	// AttemptBytes is the heap per remembered attempt, KeyBytes that per remembered
	// request id with its attempt.
	AttemptBytes float64 `json:"attempt_bytes"`
	KeyBytes     float64 `json:"key_bytes"`
	// TickMicro is the processor time of one tick at UpdateNodes instances, in
	// microseconds.
	TickMicro float64 `json:"tick_us"`
}

// Sizes of the measurements of one node.
const (
	singleNodes    = 10_000
	singleBundles  = 200
	singleBundleKB = 8
	singleAttempts = 50_000
	singleTicks    = 200
	singleRepeats  = 20
)

// MeasureSingleNode measures one node at the size of the target fleet.
func MeasureSingleNode() (SingleNode, error) {
	s := SingleNode{UpdateNodes: singleNodes, BundleKB: singleBundleKB}
	fleet := targetFleet()
	s.UpdateMicro = measureTableUpdate(fleet)
	if err := s.measureBundles(); err != nil {
		return s, err
	}
	s.AttemptBytes = measureAttemptBytes(false)
	s.KeyBytes = measureAttemptBytes(true)
	s.TickMicro = measureTick(fleet)
	return s, nil
}

// targetFleet returns a fleet view of the target size.
func targetFleet() *model.Fleet {
	f := &model.Fleet{Revision: 1}
	for i := range singleNodes {
		f.Instances = append(f.Instances, model.Instance{
			ID:          model.InstanceID(fmt.Sprintf("instance-%05d", i)),
			Service:     model.ServiceName(fmt.Sprintf("service-%d", i/instancesPerService)),
			DataCentre:  model.DataCentre(fmt.Sprintf("dc-%d", i%dataCentres)),
			PeerAddress: fmt.Sprintf("10.0.%d.%d:7000", i>>8, i&0xff),
			Incarnation: 1,
			State:       model.StateLive,
		})
	}
	return f
}

// measureTableUpdate measures the processor time of one rebuild of the routing table, in
// microseconds.
func measureTableUpdate(fleet *model.Fleet) float64 {
	table := route.NewTable(route.Config{Self: "instance-00000", DataCentre: "dc-0"})
	set := bundle.NewSet(nil)
	now := time.Unix(1_700_000_000, 0)
	began := cpuTime()
	for range singleRepeats {
		table.Update(now, fleet, set)
	}
	return float64((cpuTime() - began).Microseconds()) / singleRepeats
}

// measureBundles measures verifying and holding signed bundles.
func (s *SingleNode) measureBundles() error {
	public, private, err := ed25519.GenerateKey(nil)
	if err != nil {
		return fmt.Errorf("generate signing key: %w", err)
	}
	signer := bundle.Signer{Name: "capacity", Key: public}
	packed := make([][]byte, singleBundles)
	for i := range packed {
		packed[i], err = bundle.Sign(signer.Name, private, largeBundle(i)).Marshal()
		if err != nil {
			return err
		}
	}
	held := make([]*bundle.Bundle, len(packed))
	heap, began := heapBytes(), cpuTime()
	for i, data := range packed {
		held[i], err = bundle.Open("capacity", data, []bundle.Signer{signer})
		if err != nil {
			return err
		}
	}
	s.BundleMicro = float64((cpuTime() - began).Microseconds()) / singleBundles
	s.BundleHeapKB = (heapBytes()-heap)/singleBundles/1024 + float64(len(packed[0]))/1024
	runtime.KeepAlive(held)
	return nil
}

// largeBundle returns a bundle of about singleBundleKB with many routes.
func largeBundle(i int) []byte {
	text := minimalBundle(bundleName(i), 1)
	for r := 0; len(text) < singleBundleKB<<10; r++ {
		text += fmt.Sprintf("[[service.route]]\npath = \"/service-%d/part-%d\"\nmethods = [\"GET\"]\nclass = \"view\"\n", i, r)
	}
	return []byte(text)
}

// measureAttemptBytes measures the heap per remembered attempt, in bytes.
func measureAttemptBytes(keyed bool) float64 {
	start := time.Unix(1_700_000_000, 0)
	o := owner.New(owner.Config{Self: model.Instance{ID: "o", Incarnation: 1}, Started: start})
	b, err := bundle.Parse("capacity", []byte(paddedBundle("service-0", 1)))
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

// measureTick measures the ticks of a core that knows a fleet of the target size, in
// microseconds per tick.
func measureTick(fleet *model.Fleet) float64 {
	now := time.Unix(1_700_000_000, 0)
	rng := rand.New(rand.NewPCG(1, 1))
	c := core.New(core.Config{Self: fleet.Instances[0], Started: now, Random: rng.Uint64})
	c.Handle(now, control.ListRead{Revision: 1, Full: true, Instances: fleet.Instances})
	began := cpuTime()
	for range singleTicks {
		now = now.Add(control.TickInterval)
		c.Handle(now, control.Tick{})
	}
	return float64((cpuTime() - began).Microseconds()) / singleTicks
}
