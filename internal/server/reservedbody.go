package server

import (
	"bytes"
	"fmt"
	"io"
	"net/http"
	"time"

	"gypsumstand/internal/event"
	"gypsumstand/internal/model"
)

// bodyStallTimeout bounds the time without a byte of a reserved body. A body to another owner
// may take the entry's link meanwhile: 360 KB at 10 Mbit/s take 290 ms. The owner receives
// fewer other bodies for that long.
const bodyStallTimeout = 500 * time.Millisecond

// receiveReserved reads the whole body of a reserved attempt, before any of it is passed on.
// If reserved is false, there is no reservation and nothing was read. Otherwise end must be
// called when the attempt has ended.
func (p *PeerHandler) receiveReserved(w http.ResponseWriter, r *http.Request, m *AttemptMessage, deadline time.Time) (end func(), reserved bool, err error) {
	if m.Attempt.BodyBytes <= 0 {
		return nil, false, nil
	}
	x, id, began := p.Executor, m.Attempt.ID, time.Now()
	length, ok := x.owner.BeginTransfer(began, id)
	if !ok {
		return nil, false, nil
	}
	end = func() { x.endReservation(id) }
	body, err := readReserved(w, r, length, deadline)
	if err != nil {
		p.recordReservation(m.Attempt.Class, ReservationBroken, began)
		return end, true, err
	}
	m.addTransferTime(time.Since(began))
	x.Deliver(x.owner.BodyArrived(time.Now(), id))
	p.recordReservation(m.Attempt.Class, ReservationReceived, began)
	m.Body, m.BufferedBody = io.NopCloser(bytes.NewReader(body)), body
	return end, true, nil
}

// readReserved reads a body of the reserved length until deadline, or until no byte has arrived
// for bodyStallTimeout.
func readReserved(w http.ResponseWriter, r *http.Request, length int64, deadline time.Time) ([]byte, error) {
	if r.ContentLength != length {
		return nil, fmt.Errorf("body of %d bytes, %d were reserved", r.ContentLength, length)
	}
	body := make([]byte, length)
	n := 0
	for {
		setReadDeadline(w, r, earlier(deadline, time.Now().Add(bodyStallTimeout)))
		read, err := r.Body.Read(body[n:])
		n += read
		// net/http resets the read deadline when it returns io.EOF.
		if err == io.EOF && n == len(body) {
			return body, nil
		}
		if err != nil {
			return nil, fmt.Errorf("%d of %d bytes: %w", n, len(body), err)
		}
	}
}

// addTransferTime accounts for the time since the head of the attempt arrived, as the worker's
// time is counted from the offer to the owner. The attempt's stamp moves with it: the owner's
// clock has advanced by at least as much.
func (m *AttemptMessage) addTransferTime(took time.Duration) {
	m.spend(took)
	if m.Attempt.OwnerClock > 0 {
		m.Attempt.OwnerClock += took
	}
}

// earlier returns the earlier of two times.
func earlier(a, b time.Time) time.Time {
	if a.Before(b) {
		return a
	}
	return b
}

// refuseTransfer refuses an attempt whose body did not arrive. Nothing of it was passed to the
// worker, and it was never offered to the owner.
func (p *PeerHandler) refuseTransfer(w http.ResponseWriter, m *AttemptMessage, err error) {
	event.Log(p.Executor.requestLog, event.TransferFailed).
		Str("request", string(m.Attempt.Request)).Str("attempt", m.Attempt.ID.String()).
		Str("class", string(m.Attempt.Class)).Int("bytes", m.Attempt.BodyBytes).Err(err).Send()
	report := p.Executor.report(time.Now())
	identify(w, m.Attempt.ID, &report)
	w.Header().Set("Connection", "close")
	writeRefusal(w, model.Refusal{Reason: model.ReasonExpired, NotRun: true})
}
