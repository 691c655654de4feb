package server

import (
	"context"
	"io"
	"net/http"
	"net/http/httptrace"
	"sync/atomic"
	"time"

	"gypsumstand/internal/model"
	"gypsumstand/internal/upstream"
	"gypsumstand/internal/wire"
)

// reservationReply is the owner's reply to a reservation.
type reservationReply struct {
	// unsupported: the owner's node is of a version without reservations.
	unsupported bool
	// granted: the attempt may be sent; otherwise refusal proves that it never runs.
	granted bool
	refusal model.Refusal
	// report is valid if reported.
	report   model.LoadReport
	reported bool
	// acknowledged: the owner had begun to reply.
	acknowledged bool
	// waited is the time that the owner took.
	waited time.Duration
}

// doReserved is Do for an attempt whose body has to be reserved at the owner first. Until the
// reservation is granted, nothing is sent that the owner could run.
func (f *Forwarder) doReserved(ctx context.Context, address string, m *AttemptMessage) (Result, bool, error) {
	began := time.Now()
	reply := f.reserve(ctx, address, m)
	switch {
	case reply.unsupported:
		m.Reserve = false
		m.AcknowledgeBy = time.Now().Add(m.AcknowledgeBy.Sub(began))
		return f.Do(ctx, address, m)
	case !reply.granted:
		return Result{Refusal: reply.refusal, Report: reply.report, Acknowledged: reply.acknowledged}, reply.reported, nil
	}
	m.bindReserved(&reply.report, time.Since(began))
	offer, err := wire.EncodeOffer(&m.Attempt)
	if err != nil {
		return Result{Refusal: model.Refusal{Reason: model.ReasonBadRequest, NotRun: true}}, false, nil
	}
	result, reported, err := f.do(f.request(ctx, address, streamedPath, m, offer), m, nil)
	result.Times.Queued += reply.waited
	return result, reported, err
}

// bindReserved binds the attempt to the incarnation and clock in the report that granted its
// reservation, elapsed after it was made. A reserved attempt no longer moves.
func (m *AttemptMessage) bindReserved(r *model.LoadReport, elapsed time.Duration) {
	a := &m.Attempt
	a.OwnerIncarnation = r.Incarnation
	a.OwnerClock = r.Clock
	a.MayMove = false
	m.spend(elapsed)
}

// spend takes d off the times that are left to the deadline and to the objective.
func (m *AttemptMessage) spend(d time.Duration) {
	a := &m.Attempt
	a.Remaining = max(a.Remaining-d, 0)
	if a.Objective == 0 {
		return
	}
	a.Objective -= d
	if a.Objective == 0 {
		// Zero would mean that there is no objective.
		a.Objective = -1
	}
}

// maxReservationReply bounds what is read of a reply's body, in bytes, so that the
// connection can be reused.
const maxReservationReply = 1 << 10

// reserve asks the owner at address for a reservation. The owner must begin to reply by
// AcknowledgeBy, and may then reply until ctx ends.
func (f *Forwarder) reserve(ctx context.Context, address string, m *AttemptMessage) reservationReply {
	offer, err := wire.EncodeOffer(&m.Attempt)
	if err != nil {
		return refusedReservation(model.ReasonBadRequest)
	}
	waiting, cancel := context.WithCancel(ctx)
	defer cancel()
	var acknowledged atomic.Bool
	timer := time.AfterFunc(time.Until(m.AcknowledgeBy), cancel)
	defer timer.Stop()
	req, err := http.NewRequestWithContext(waiting, http.MethodPost, f.scheme+"://"+address+ReservePath, nil)
	if err != nil {
		return refusedReservation(model.ReasonBadRequest)
	}
	req.Header.Set(wire.HeaderOffer, offer)
	f.Unreachable.write(req.Header)
	var trace upstream.RequestTrace
	req = trace.Attach(req)
	upstream.PreventReplay(req)
	req = req.WithContext(httptrace.WithClientTrace(req.Context(), &httptrace.ClientTrace{
		GotFirstResponseByte: func() { acknowledged.Store(true); timer.Stop() },
	}))
	resp, err := f.transport.RoundTrip(req)
	switch {
	case err == nil:
		return f.readReservation(m, resp, &trace)
	case trace.NotRun():
		return refusedReservation(connectFailure(err))
	case acknowledged.Load() && ctx.Err() != nil:
		reply := refusedReservation(model.ReasonExpired)
		reply.acknowledged = true
		return reply
	}
	return refusedReservation(model.ReasonNotAcknowledged)
}

// refusedReservation is the result of a reservation without a reply: the attempt is not sent.
func refusedReservation(reason model.Reason) reservationReply {
	return reservationReply{refusal: model.Refusal{Reason: reason, NotRun: true}}
}

// readReservation evaluates the owner's reply. One that belongs to another attempt, or that
// is not understood, counts as none.
func (f *Forwarder) readReservation(m *AttemptMessage, resp *http.Response, trace *upstream.RequestTrace) reservationReply {
	defer resp.Body.Close()
	_, _ = io.CopyN(io.Discard, resp.Body, maxReservationReply)
	if resp.StatusCode == http.StatusNotFound {
		return reservationReply{unsupported: true}
	}
	if checkPeerResponse(m, resp) != nil {
		trace.CloseConn()
		return refusedReservation(model.ReasonNotAcknowledged)
	}
	f.Unreachable.read(resp.Header)
	reply := reservationReply{acknowledged: true, waited: wire.ReadTimes(resp.Header).Queued}
	var err error
	reply.report, err = wire.DecodeReport(resp.Header.Get(wire.HeaderReport))
	reply.reported = err == nil
	refusal, refused, err := wire.ReadRefusal(resp.Header)
	switch {
	case err == nil && refused:
		reply.refusal = refusal
	case err == nil && reply.reported && resp.StatusCode == http.StatusNoContent:
		reply.granted = true
	default:
		reply.refusal = model.Refusal{Reason: model.ReasonNotAcknowledged, NotRun: true}
	}
	return reply
}
