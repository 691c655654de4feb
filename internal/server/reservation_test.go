package server

import (
	"bufio"
	"bytes"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"slices"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"gypsumstand/internal/bundle"
	"gypsumstand/internal/model"
	"gypsumstand/internal/pause"
	"gypsumstand/internal/wire"
)

// Guards against a reserved body that reaches the worker cut off or changed, and against a
// reservation that outlives its attempt.
func TestReservedBodyReachesWorkerWhole(t *testing.T) {
	for _, length := range []int{5 << 10, largeLength} {
		var got atomic.Pointer[[]byte]
		p := newReservingPeer(t, 2, func(_ http.ResponseWriter, r *http.Request) {
			body, _ := io.ReadAll(r.Body)
			got.Store(&body)
		})
		body := largeBody()[:length]
		m := reservedMessage(1, bytes.NewReader(body))
		m.ContentLength, m.Attempt.BodyBytes = int64(length), int64(length)
		m.Attempt.MayMove = true
		r, reported, err := NewForwarder(nil, nil, 0).Do(t.Context(), p.address, m)
		if err != nil || r.Response == nil || !reported {
			t.Fatalf("%+v, %v", r.Refusal, err)
		}
		r.Response.Body.Close()
		if !bytes.Equal(*got.Load(), body) {
			t.Errorf("the worker got %d of %d bytes", len(*got.Load()), length)
		}
		p.wantIdle(t)
		paths, results := p.seen()
		if !slices.Equal(paths, []string{ReservePath, streamedPath + "/x"}) || !slices.Equal(results, []string{ReservationGranted, ReservationReceived}) {
			t.Errorf("messages %v, results %v", paths, results)
		}
	}
}

// A body was sent with each attempt, also when the owner then refused the attempt.
func TestRefusedReservationSendsNoBody(t *testing.T) {
	p := newReservingPeer(t, 2, func(http.ResponseWriter, *http.Request) {})
	defer p.block(t)()
	m := reservedMessage(1, unreadBody{t})
	m.Attempt.MayMove = true
	r, reported, err := NewForwarder(nil, nil, 0).Do(t.Context(), p.address, m)
	if err != nil || !reported || r.Refusal.Reason != model.ReasonBusy || !r.Refusal.NotRun || r.Refusal.RetryAfter == 0 {
		t.Errorf("%+v, reported %v, %v", r.Refusal, reported, err)
	}
}

// An entry must not take an owner that lets it wait for one that is dead.
func TestWaitingReservationIsAcknowledged(t *testing.T) {
	p := newReservingPeer(t, 2, func(http.ResponseWriter, *http.Request) {})
	release := p.block(t)
	m := reservedMessage(1, bytes.NewReader(largeBody()))
	m.AcknowledgeBy = time.Now().Add(time.Second)
	done := make(chan Result, 1)
	go func() {
		r, _, _ := NewForwarder(nil, nil, 0).Do(context.Background(), p.address, m)
		done <- r
	}()
	await(t, p.owner, func(model.LoadReport) bool { return p.owner.ReservationCounts().Waiting == 1 })
	// The reply comes after the time in which the owner has to begin it.
	_ = pause.For(t.Context(), time.Until(m.AcknowledgeBy)+50*time.Millisecond)
	release()
	if r := <-done; r.Response == nil {
		t.Errorf("%+v", r.Refusal)
	} else {
		r.Response.Body.Close()
	}
}

// A waiting reservation of an entry that has gone would take a place from others.
func TestEntryGivesUpWaitingReservation(t *testing.T) {
	p := newReservingPeer(t, 2, func(http.ResponseWriter, *http.Request) {})
	release := p.block(t)
	ctx, cancel := context.WithCancel(t.Context())
	acknowledged := make(chan struct{})
	ctx = httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{GotFirstResponseByte: func() { close(acknowledged) }})
	go func() {
		await(t, p.owner, func(model.LoadReport) bool { return p.owner.ReservationCounts().Waiting == 1 })
		<-acknowledged
		cancel()
	}()
	r, reported, err := NewForwarder(nil, nil, 0).Do(ctx, p.address, reservedMessage(1, unreadBody{t}))
	if err != nil || reported || !r.Acknowledged || r.Refusal != (model.Refusal{Reason: model.ReasonExpired, NotRun: true}) {
		t.Errorf("%+v, reported %v, %v", r, reported, err)
	}
	await(t, p.owner, func(model.LoadReport) bool { return p.owner.ReservationCounts().Waiting == 0 })
	release()
	p.wantIdle(t)
}

// No reply to a reservation, whatever the cause, proves that nothing ran.
func TestReservationWithoutReplyIsNotRun(t *testing.T) {
	const unrelated = "HTTP/1.1 204 No Content\r\nGypsum-Attempt: e:1:99\r\n\r\n"
	const incomplete = "HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\n\r\n"
	for name, reply := range map[string]string{"none": "", "of another attempt": unrelated, "malformed": "nonsense\r\n\r\n", "without id": incomplete} {
		for _, broken := range []bool{false, true} {
			address, _ := rawOwner(t, func(c net.Conn, _ *bufio.Reader) {
				_, _ = io.WriteString(c, reply)
				if broken {
					c.Close()
				}
			})
			m := reservedMessage(1, unreadBody{t})
			m.AcknowledgeBy = time.Now().Add(500 * time.Millisecond)
			r, reported, err := NewForwarder(nil, nil, 0).Do(t.Context(), address, m)
			if err != nil || reported || r.Refusal != (model.Refusal{Reason: model.ReasonNotAcknowledged, NotRun: true}) {
				t.Errorf("reply %s, broken %v: %+v, reported %v, %v", name, broken, r.Refusal, reported, err)
			}
		}
	}
}

// Guards against a body that is sent to an owner that cannot be reached, and against an outcome
// that does not let the entry place the request elsewhere.
func TestReservationAtAbsentOwnerIsNotRun(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	l.Close()
	r, _, err := NewForwarder(nil, nil, 0).Do(t.Context(), l.Addr().String(), reservedMessage(1, unreadBody{t}))
	if err != nil || r.Refusal != (model.Refusal{Reason: model.ReasonOwnerAbsent, NotRun: true}) {
		t.Errorf("%+v, %v", r.Refusal, err)
	}
}

// A node of the previous version does not know the path of reservations.
func TestOlderOwnerGetsAttemptAsBefore(t *testing.T) {
	for _, length := range []int{5 << 10, largeLength} {
		p := newReservingPeer(t, 2, func(_ http.ResponseWriter, r *http.Request) { _, _ = io.Copy(io.Discard, r.Body) })
		p.intercept = func(w http.ResponseWriter, r *http.Request) bool {
			if r.URL.Path != ReservePath {
				return false
			}
			http.NotFound(w, r)
			return true
		}
		m := reservedMessage(1, bytes.NewReader(largeBody()[:length]))
		m.ContentLength, m.Attempt.BodyBytes, m.Attempt.MayMove = int64(length), int64(length), true
		r, _, err := NewForwarder(nil, nil, 0).Do(t.Context(), p.address, m)
		if err != nil || r.Response == nil {
			t.Fatalf("%d bytes: %+v, %v", length, r.Refusal, err)
		}
		r.Response.Body.Close()
	}
}

// The owner dies while the body is in transit: the attempt may have run.
func TestOwnerThatDiesDuringTransferLeavesOutcomeUnknown(t *testing.T) {
	p := newReservingPeer(t, 2, func(http.ResponseWriter, *http.Request) {})
	p.intercept = func(w http.ResponseWriter, r *http.Request) bool {
		if r.URL.Path == ReservePath {
			return false
		}
		_, _ = io.ReadFull(r.Body, make([]byte, 10))
		panic(http.ErrAbortHandler)
	}
	_, _, err := NewForwarder(nil, nil, 0).Do(t.Context(), p.address, reservedMessage(1, bytes.NewReader(largeBody())))
	if !errors.Is(err, ErrConnectionBroken) {
		t.Errorf("got %v, want a broken connection", err)
	}
}

// An owner that restarted has lost its reservations; the attempt is treated as any other.
func TestLostReservation(t *testing.T) {
	p := newReservingPeer(t, 2, func(_ http.ResponseWriter, r *http.Request) { _, _ = io.Copy(io.Discard, r.Body) })
	m := reservedMessage(1, bytes.NewReader(largeBody()))
	p.intercept = func(_ http.ResponseWriter, r *http.Request) bool {
		if r.URL.Path != ReservePath {
			p.endReservation(m.Attempt.ID)
		}
		return false
	}
	r, _, err := NewForwarder(nil, nil, 0).Do(t.Context(), p.address, m)
	if err != nil || r.Response == nil {
		t.Fatalf("%+v, %v", r.Refusal, err)
	}
	r.Response.Body.Close()
}

// stallingBody sends a part and then nothing until it is closed.
type stallingBody struct {
	io.Reader
	closed chan struct{}
	once   sync.Once
}

func (b *stallingBody) Read(p []byte) (int, error) {
	n, err := b.Reader.Read(p)
	if err == io.EOF {
		<-b.closed
	}
	return n, err
}

func (b *stallingBody) Close() error {
	b.once.Do(func() { close(b.closed) })
	return nil
}

// A transfer that stalls halfway must end as not run, and must not keep its place.
func TestStalledTransferIsNotRun(t *testing.T) {
	var runs atomic.Int32
	p := newReservingPeer(t, 2, func(http.ResponseWriter, *http.Request) { runs.Add(1) })
	m := reservedMessage(1, nil)
	body := &stallingBody{Reader: bytes.NewReader(largeBody()[:100<<10]), closed: make(chan struct{})}
	defer body.Close()
	m.Body = body
	r, reported, err := NewForwarder(nil, nil, 0).Do(t.Context(), p.address, m)
	if err != nil || !reported || r.Refusal != (model.Refusal{Reason: model.ReasonExpired, NotRun: true}) {
		t.Errorf("%+v, reported %v, %v", r.Refusal, reported, err)
	}
	p.wantIdle(t)
	if _, results := p.seen(); runs.Load() != 0 || !slices.Equal(results, []string{ReservationGranted, ReservationBroken}) {
		t.Errorf("%d runs, results %v", runs.Load(), results)
	}
}

// A body of another length than the reserved one must not take more memory than was granted.
func TestBodyOfOtherLengthIsNotRun(t *testing.T) {
	p := newReservingPeer(t, 2, func(http.ResponseWriter, *http.Request) { t.Error("the attempt ran") })
	m := reservedMessage(1, bytes.NewReader(largeBody()))
	m.Attempt.BodyBytes = 5 << 10
	r, reported, err := NewForwarder(nil, nil, 0).Do(t.Context(), p.address, m)
	// The owner does not read the body, so the reply may be lost with the connection.
	if err == nil && (!reported || r.Refusal != (model.Refusal{Reason: model.ReasonExpired, NotRun: true})) {
		t.Errorf("%+v, reported %v", r.Refusal, reported)
	}
	p.wantIdle(t)
}

// Each upload would cost a new connection if the exchange of its reservation closed one.
func TestReservationsReuseConnection(t *testing.T) {
	p := newReservingPeer(t, 2, func(_ http.ResponseWriter, r *http.Request) { _, _ = io.Copy(io.Discard, r.Body) })
	var opened atomic.Int32
	f := NewForwarder(func(ctx context.Context, network, address string) (net.Conn, error) {
		opened.Add(1)
		return (&net.Dialer{}).DialContext(ctx, network, address)
	}, nil, 0)
	const uploads = 40
	for i := range uint64(uploads) {
		m := reservedMessage(i+1, bytes.NewReader(largeBody()))
		m.Attempt.MayMove = i%2 == 0
		r, _, err := f.Do(t.Context(), p.address, m)
		if err != nil || r.Response == nil {
			t.Fatalf("%+v, %v", r.Refusal, err)
		}
		_, _ = io.Copy(io.Discard, r.Response.Body)
		r.Response.Body.Close()
		p.wantIdle(t)
	}
	// net/http closes a connection whose writer a busy machine delays by 50 ms.
	if n := opened.Load(); n > uploads/8 {
		t.Errorf("%d connections for %d uploads", n, uploads)
	}
}

// A malformed reservation is refused and counted, and changes nothing else.
func TestMalformedReservation(t *testing.T) {
	p := newReservingPeer(t, 2, func(http.ResponseWriter, *http.Request) {})
	noLength := reservedMessage(1, nil).Attempt
	noLength.BodyBytes = 0
	negative := noLength
	negative.BodyBytes = -1
	for _, offer := range []string{"", "!", encoded(t, &noLength), encoded(t, &negative)} {
		req, _ := http.NewRequest(http.MethodPost, "http://"+p.address+ReservePath, nil)
		req.Header.Set(wire.HeaderOffer, offer)
		resp, err := http.DefaultClient.Do(req)
		if err != nil {
			t.Fatal(err)
		}
		resp.Body.Close()
		if resp.StatusCode != http.StatusBadRequest {
			t.Errorf("offer %q: %s", offer, resp.Status)
		}
	}
	if _, results := p.seen(); !slices.Equal(results, slices.Repeat([]string{ReservationMalformed}, 4)) {
		t.Errorf("results %v", results)
	}
	p.wantIdle(t)
}

func encoded(t *testing.T, a *model.Attempt) string {
	t.Helper()
	s, err := wire.EncodeOffer(a)
	if err != nil {
		t.Fatal(err)
	}
	return s
}

// Requests on other routes, and short bodies, must not cost another message.
func TestOnlyLargeBodiesAreReserved(t *testing.T) {
	large := bundle.Target{LargeBodies: true}
	for _, c := range []struct {
		target bundle.Target
		length int64
		want   int64
	}{{large, largeLength, largeLength}, {large, minReservedBody, minReservedBody}, {large, 1200, 0}, {bundle.Target{}, largeLength, 0}} {
		if got := reservedLength(c.target, &requestBody{length: c.length}); got != c.want {
			t.Errorf("%d bytes, large %v: %d, want %d", c.length, c.target.LargeBodies, got, c.want)
		}
	}
}

// An attempt that is sent after a wait must not claim more time than is left: the owner would
// run it after its caller was told that it had ended.
func TestReservedAttemptAccountsForItsWait(t *testing.T) {
	m := reservedMessage(1, nil)
	m.Attempt.Remaining, m.Attempt.Objective, m.Attempt.MayMove = time.Second, 300*time.Millisecond, true
	m.bindReserved(&model.LoadReport{Incarnation: 9, Clock: time.Minute}, 300*time.Millisecond)
	m.addTransferTime(100 * time.Millisecond)
	a := m.Attempt
	want := []any{model.Incarnation(9), time.Minute + 100*time.Millisecond, 600 * time.Millisecond, -100*time.Millisecond - 1, false}
	if got := []any{a.OwnerIncarnation, a.OwnerClock, a.Remaining, a.Objective, a.MayMove}; !slices.Equal(got, want) {
		t.Errorf("got %v, want %v", got, want)
	}
}
