package quarantine

import (
	"fmt"
	"testing"
	"time"

	"gypsumstand/internal/model"
)

// messageTime is longer than a message between two nodes takes.
const messageTime = 50 * time.Millisecond

// busyOwners returns the owners of a service that cannot spare two of its n workers.
func busyOwners(n int) *upstreams { return newUpstreams(n, 0.75) }

// acquire makes an owner queue an attempt of an unproven request.
func (u *upstreams) acquire(t *testing.T, at *node, c model.Fingerprint) *Lease {
	t.Helper()
	l := at.q.AcquireLease(c, u.now.Add(5*time.Second))
	if l == nil {
		t.Fatal("no lease")
	}
	u.wake(at)
	return l
}

// release makes the attempt end.
func (u *upstreams) release(at *node, l *Lease, end LeaseEnd) {
	at.q.ReleaseLease(l, end)
	u.wake(at)
}

// begin makes an attempt with a lease start.
func (u *upstreams) begin(at *node, l *Lease) {
	at.q.LeaseRunning(u.now, l)
	u.wake(at)
}

// wantOwners fails unless these owners would run a request, and the others name one of
// them.
func (u *upstreams) wantOwners(t *testing.T, c model.Fingerprint, want ...*node) {
	t.Helper()
	for _, nd := range u.owners {
		d := nd.q.Evaluate(u.now, c, Submission{}, "GET /")
		mayRun := false
		for _, w := range want {
			mayRun = mayRun || w == nd
		}
		switch {
		case d.Deferred == mayRun:
			t.Errorf("%s: deferred is %t", nd.instance.ID, d.Deferred)
		case d.Deferred && d.OnlyOwner != want[0].instance.ID:
			t.Errorf("%s names %s; want %s", nd.instance.ID, d.OnlyOwner, want[0].instance.ID)
		}
	}
}

// Two submissions of a request that no worker has run were queued at two owners and
// crashed both workers before any crash was known.
func TestQueuedRequestRunsAtOneOwnerOnly(t *testing.T) {
	for _, n := range []int{2, 3, 8, maxLeaseOwners} {
		t.Run(fmt.Sprintf("%d workers", n), func(t *testing.T) {
			u := busyOwners(n)
			first := u.owners[1]
			l := u.acquire(t, first, content(1))
			u.simulate(messageTime)
			u.wantOwners(t, content(1), first)
			u.wantOwners(t, content(2), u.owners...)
			u.begin(first, l)
			u.simulate(leaseTTL - 2*messageTime)
			u.wantOwners(t, content(1), first)
		})
	}
}

func TestEndedLeaseLetsOtherOwnersRunRequest(t *testing.T) {
	u := busyOwners(3)
	first := u.owners[0]
	l := u.acquire(t, first, content(1))
	u.simulate(messageTime)
	u.release(first, l, LeaseUnserved)
	u.simulate(messageTime)
	u.wantOwners(t, content(1), u.owners...)
}

// The end of a served request is not worth a message of its own.
func TestServedRequestRunsAnywhereOnceLeaseExpires(t *testing.T) {
	u := busyOwners(3)
	first := u.owners[0]
	l := u.acquire(t, first, content(1))
	u.simulate(messageTime)
	first.q.RunCompleted(u.now, content(1))
	u.release(first, l, LeaseServed)
	u.simulate(leaseTTL)
	u.wantOwners(t, content(1), u.owners...)
	if first.q.AcquireLease(content(1), u.now.Add(time.Second)) != nil {
		t.Error("a lease for a request that completed here")
	}
}

func TestQueuedRequestKeepsItsLease(t *testing.T) {
	u := busyOwners(3)
	u.acquire(t, u.owners[0], content(1))
	for range 8 {
		u.simulate(leaseTTL / 2)
		u.wantOwners(t, content(1), u.owners[0])
	}
}

func TestLongRunLosesItsLease(t *testing.T) {
	u := busyOwners(3)
	u.begin(u.owners[0], u.acquire(t, u.owners[0], content(1)))
	u.simulate(model.MaxSerialRun + 200*time.Millisecond)
	u.wantOwners(t, content(1), u.owners...)
}

// A node whose connections are cut announces nothing any more.
func TestLeaseOfIsolatedOwnerExpires(t *testing.T) {
	u := busyOwners(3)
	first := u.owners[0]
	u.acquire(t, first, content(1))
	u.simulate(messageTime)
	first.isolated = true
	u.simulate(leaseTTL)
	for _, nd := range u.owners[1:] {
		if d := nd.q.Evaluate(u.now, content(1), Submission{}, "GET /"); d.Deferred {
			t.Errorf("%s still leaves the request to an isolated owner", nd.instance.ID)
		}
	}
}

// Both owners queued the request before they heard of each other.
func TestCrossedLeasesLeaveOneOwner(t *testing.T) {
	for c := range 20 {
		u := busyOwners(3)
		u.acquire(t, u.owners[0], content(c))
		u.acquire(t, u.owners[1], content(c))
		u.simulate(messageTime)
		u.wantOneAdmitting(t, u.owners, content(c))
	}
}

// An owner whose attempt runs already keeps the lease, whatever rank it has.
func TestCrossedLeaseGoesToRunningAttempt(t *testing.T) {
	for c := range 20 {
		u := busyOwners(3)
		first := u.owners[0]
		l := u.acquire(t, first, content(c))
		u.acquire(t, u.owners[1], content(c))
		u.begin(first, l)
		u.simulate(2 * messageTime)
		u.wantOwners(t, content(c), first)
	}
}

// The crash of a leased run must not leave a moment in which others may run the request.
func TestCrashedRunStaysRestricted(t *testing.T) {
	u := busyOwners(3)
	first := u.owners[0]
	l := u.acquire(t, first, content(1))
	u.acquire(t, first, content(1))
	u.begin(first, l)
	started := u.now
	u.simulate(crashingRun)
	u.crash(first, Run{Content: content(1), Started: started})
	u.release(first, l, LeaseUndecided)
	u.release(first, l, LeaseUnserved)
	for range 100 {
		for _, nd := range u.owners[1:] {
			if d := nd.q.Evaluate(u.now, content(1), Submission{}, "GET /"); !d.Deferred {
				t.Fatalf("%s would run the request %s after the crash", nd.instance.ID, u.now.Sub(started))
			}
		}
		u.simulate(10 * time.Millisecond)
	}
}

// The first submission started at once, and the second was queued elsewhere.
func TestRunThatWasNotQueuedKeepsQueuedRequestsBack(t *testing.T) {
	u := busyOwners(3)
	first := u.owners[0]
	if first.q.AcquireRunning(u.now, content(1), u.now.Add(5*time.Second)) == nil {
		t.Fatal("no lease")
	}
	u.sent = 0
	u.simulate(messageTime)
	if u.sent != 0 {
		t.Errorf("%d bytes were sent on a run that nobody waits for", u.sent)
	}
	u.acquire(t, u.owners[1], content(1))
	u.simulate(2 * messageTime)
	u.wantOwners(t, content(1), first)
}

// A late end of an attempt whose lease had ended released the lease of a later attempt.
func TestEndOfEarlierLeaseKeepsLaterOne(t *testing.T) {
	u := busyOwners(3)
	first := u.owners[0]
	earlier := u.acquire(t, first, content(1))
	u.begin(first, earlier)
	u.simulate(model.MaxSerialRun + 200*time.Millisecond)
	u.acquire(t, first, content(1))
	u.simulate(messageTime)
	u.release(first, earlier, LeaseUnserved)
	u.simulate(messageTime)
	u.wantOwners(t, content(1), first)
}

// Two owners whose workers had both responded each left the request to the other.
func TestOwnersThatServedRequestDoNotDeferToEachOther(t *testing.T) {
	for c := range 20 {
		u := busyOwners(3)
		for _, nd := range u.owners[:2] {
			l := u.acquire(t, nd, content(c))
			u.after(messageTime, func() {
				nd.q.Responding(content(c))
				u.release(nd, l, LeaseServed)
			})
		}
		u.simulate(messageTime + time.Millisecond)
		for _, nd := range u.owners[:2] {
			if d := nd.q.Evaluate(u.now, content(c), Submission{}, "GET /"); d.Deferred {
				t.Errorf("%s leaves a request that it served to %s", nd.instance.ID, d.OnlyOwner)
			}
		}
	}
}

// Submissions that other owners had left to the holder show that the content is popular.
func TestEndOfSharedLeaseIsToldAtOnce(t *testing.T) {
	u := busyOwners(3)
	first := u.owners[0]
	l := u.acquire(t, first, content(1))
	u.acquire(t, first, content(1))
	u.simulate(messageTime)
	first.q.Responding(content(1))
	u.release(first, l, LeaseServed)
	u.simulate(messageTime)
	u.wantOwners(t, content(1), u.owners...)
}

// The worker may go on with a request whose caller has left, and crash.
func TestUnansweredRunKeepsItsLease(t *testing.T) {
	u := busyOwners(3)
	first := u.owners[0]
	l := u.acquire(t, first, content(1))
	u.begin(first, l)
	u.simulate(messageTime)
	u.release(first, l, LeaseUndecided)
	u.simulate(5 * messageTime)
	for _, nd := range u.owners[1:] {
		if d := nd.q.Evaluate(u.now, content(1), Submission{}, "GET /"); !d.Deferred {
			t.Errorf("%s would run it", nd.instance.ID)
		}
	}
}

func TestServiceThatCanSpareWorkersUsesNoLeases(t *testing.T) {
	u := newUpstreams(7, 0.3)
	if u.owners[0].q.AcquireLease(content(1), u.now.Add(time.Second)) != nil {
		t.Error("a lease in a service that can spare two workers")
	}
}

// maxControlBytes is what a node may send for control in a second; docs/CAPACITY.md.
const maxControlBytes = 7000

func TestLeasesStayWithinControlTraffic(t *testing.T) {
	for _, n := range []int{3, maxLeaseOwners} {
		t.Run(fmt.Sprintf("%d workers", n), func(t *testing.T) {
			u := busyOwners(n)
			const seconds, perSecond = 30, 50
			u.sent = 0
			for i := range seconds * perSecond {
				for k, nd := range u.owners {
					c := content(i*n + k)
					l := u.acquire(t, nd, c)
					u.after(300*time.Millisecond, func() { u.release(nd, l, LeaseServed) })
				}
				u.simulate(time.Second / perSecond)
			}
			perNode := u.sent / n / seconds
			t.Logf("%d bytes a second and node", perNode)
			if perNode > maxControlBytes {
				t.Errorf("each node sends %d bytes a second; want %d at most", perNode, maxControlBytes)
			}
		})
	}
}
