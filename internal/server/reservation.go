package server

import (
	"context"
	"errors"
	"net/http"
	"time"

	"gypsumstand/internal/bundle"
	"gypsumstand/internal/event"
	"gypsumstand/internal/model"
	"gypsumstand/internal/owner"
	"gypsumstand/internal/wire"
)

// ReservePath is the path of reservations on the peer port. A request is a POST with the
// header Gypsum-Offer and no body; the reply is 204, or a refusal as of an attempt.
const ReservePath = "/v1/reserve"

// minReservedBody is the length from which a body is reserved, in bytes. A shorter one takes
// less than 4 ms on a link of 10 Mbit/s, about as long as the exchange that reserves it.
const minReservedBody = 4 << 10

// reservedLength returns the length of the body if it has to be reserved at the owner, and
// otherwise zero.
func reservedLength(t bundle.Target, body *requestBody) int64 {
	if !t.LargeBodies || body.length < minReservedBody {
		return 0
	}
	return body.length
}

// Results of reservations in ReservationRecord.Result, besides the reasons of refusals.
const (
	ReservationGranted   = "granted"
	ReservationMalformed = "malformed"
	// ReservationReceived and ReservationBroken: the whole body of a granted reservation
	// arrived, or did not.
	ReservationReceived = "received"
	ReservationBroken   = "broken"
)

// ReservationRecord holds the measurements of one reservation at its owner.
type ReservationRecord struct {
	// Class is as the entry named it; it is empty if the message was malformed.
	Class  model.ClassName
	Result string
	// Took is the time until the reply or, for ReservationReceived and ReservationBroken, the
	// time of the transfer.
	Took time.Duration
}

// ReservationRecorder takes measurements of reservations.
type ReservationRecorder interface {
	// Reservation is called once for each reply to a reservation, and once for the transfer
	// of each reserved body.
	Reservation(r ReservationRecord)
}

func (p *PeerHandler) recordReservation(class model.ClassName, result string, began time.Time) {
	if p.Reservations != nil {
		p.Reservations.Reservation(ReservationRecord{Class: class, Result: result, Took: time.Since(began)})
	}
}

// ServeReservation decides on a reservation of another entry node. While the entry has to
// wait, it gets an interim response, which shows that the owner is alive.
func (p *PeerHandler) ServeReservation(w http.ResponseWriter, r *http.Request) {
	defer p.Executor.trackPeerAttempt()()
	began := time.Now()
	w.Header()["Date"] = nil
	attempt, err := decodeReservation(r)
	if err != nil {
		p.recordReservation("", ReservationMalformed, began)
		event.Log(p.Executor.requestLog, event.ReservationMalformed).Str("from", r.RemoteAddr).Err(err).Send()
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	p.noteEntry(&attempt, r.Header)
	ctx, cancel := context.WithTimeout(r.Context(), min(attempt.Remaining, maxPeerTime))
	defer cancel()
	refusal := p.Executor.Reserve(ctx, &attempt, func() { w.WriteHeader(http.StatusProcessing) })
	p.Unreachable.write(w.Header())
	report := p.Executor.report(time.Now())
	identify(w, attempt.ID, &report)
	wire.SetTimes(w.Header(), wire.AttemptTimes{Queued: time.Since(began)})
	if refusal.Reason != model.ReasonNone {
		p.recordReservation(attempt.Class, refusal.Reason.String(), began)
		writeRefusal(w, refusal)
		return
	}
	p.recordReservation(attempt.Class, ReservationGranted, began)
	w.WriteHeader(http.StatusNoContent)
}

// decodeReservation returns the attempt for which a request reserves.
func decodeReservation(r *http.Request) (model.Attempt, error) {
	attempt, err := decodeOffer(r)
	switch {
	case err != nil:
		return attempt, err
	case attempt.BodyBytes <= 0:
		return attempt, errors.New("bad offer: the body's length is missing")
	case r.ContentLength != 0:
		return attempt, errors.New("a reservation has no body")
	}
	return attempt, nil
}

// identify writes the attempt's id and the owner's report into the header of a reply.
func identify(w http.ResponseWriter, id model.AttemptID, report *model.LoadReport) {
	w.Header().Set(wire.HeaderAttempt, id.String())
	if encoded, err := wire.EncodeReport(report); err == nil {
		w.Header().Set(wire.HeaderReport, encoded)
	}
}

// Reserve asks the owner for a reservation and returns its refusal, or ReasonNone. waiting is
// called before a wait. ctx ends when the entry node gives up.
func (x *Executor) Reserve(ctx context.Context, a *model.Attempt, waiting func()) model.Refusal {
	if x.refreshLoad != nil {
		x.refreshLoad(ctx)
	}
	ch := x.addWaiter(a.ID)
	if ch == nil {
		return model.Refusal{Reason: model.ReasonDuplicateRunning}
	}
	defer x.removeWaiter(a.ID)
	began := time.Now()
	kind, refusal := x.owner.Reserve(began, a)
	if kind == owner.Queue {
		waiting()
		refusal = x.waitReservation(ctx, a.ID, ch)
	}
	if refusal.Reason != model.ReasonNone {
		x.logReservationRefused(a, refusal, began)
	}
	return refusal
}

// waitReservation waits for the decision on a reservation. One that the entry no longer waits
// for is cancelled, also if it was granted at the same moment.
func (x *Executor) waitReservation(ctx context.Context, id model.AttemptID, ch chan owner.Decision) model.Refusal {
	select {
	case d := <-ch:
		return d.Refusal
	case <-ctx.Done():
		x.endReservation(id)
		reason := model.ReasonCancelled
		if errors.Is(ctx.Err(), context.DeadlineExceeded) {
			reason = model.ReasonExpired
		}
		return model.Refusal{Reason: reason, NotRun: true}
	}
}

// endReservation ends a reservation in any state.
func (x *Executor) endReservation(id model.AttemptID) {
	x.Deliver(x.owner.EndReservation(time.Now(), id))
}

func (x *Executor) logReservationRefused(a *model.Attempt, r model.Refusal, began time.Time) {
	counts := x.owner.ReservationCounts()
	event.Log(x.requestLog, event.ReservationRefused).
		Str("request", string(a.Request)).Str("attempt", a.ID.String()).Str("class", string(a.Class)).
		Str("reason", r.Reason.String()).Int("bytes", a.BodyBytes).
		Int("waited_ms", time.Since(began).Milliseconds()).Int("left_ms", a.Remaining.Milliseconds()).
		Int("in_transit", int64(counts.InTransit)).Int("waiting", int64(counts.Waiting)).
		Int("memory_bytes", counts.MemoryBytes).Send()
}
