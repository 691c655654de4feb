// Package handover decides how a home node that leaves transfers the records of callers'
// request ids to their next home nodes: which messages to send, when to retransmit them
// and when every record has been acknowledged. It does no I/O; the time is an argument.
// Design: docs/design/hard-load.md, "Acknowledged handover of request ids".
package handover

import (
	"slices"
	"time"

	"gypsumstand/internal/model"
	"gypsumstand/internal/wire"
)

const (
	// window is the number of unacknowledged messages to one receiver: 200 KB take 160 ms over
	// a link of 10 Mbit/s, less than retransmitAfter.
	window = 4
	// maxMessageBytes bounds a message, as request ids may be long: some 500 usual records.
	maxMessageBytes = 50_000
	// recordBytes is about the length of a record without its request id.
	recordBytes = 64
	// retransmitAfter is the time after which an unacknowledged message is sent again: a
	// round trip between distant data centres and the transfer of a full window.
	retransmitAfter = 200 * time.Millisecond
	// silentAfter is how long a receiver may leave messages unacknowledged until its records
	// are also sent to the home node after it: three transmissions, and opening a link.
	silentAfter = 600 * time.Millisecond
	// maxHomes bounds the home nodes to which one record is sent; an entry asks no more.
	maxHomes = 4
)

// Config holds the fixed parameters of a Transfer.
type Config struct {
	// NextHome returns the home node of a record without the given instances; ok is false
	// when there is none.
	NextHome func(r *wire.KeyRecord, skipped []model.InstanceID) (to model.Instance, ok bool)
	// Serving reports whether an instance may still be chosen as a home node.
	Serving func(model.InstanceID) bool
	// Self is the node that leaves.
	Self model.InstanceID
	// FirstNumber is the number of the first message. It must be greater than the numbers
	// of all earlier transfers of this instance.
	FirstNumber uint64
}

// Message is a message to send.
type Message struct {
	To   model.Instance
	Body wire.KeyHandover
}

// Result counts the records of a transfer.
type Result struct {
	// Acknowledged records are held by their next home node.
	Acknowledged int
	// HeldLater records are held by a later home node only.
	HeldLater int
	// Missing records are held by no other node, as far as is known.
	Missing int
}

// Transfer is one handover in progress. Its methods must be called from one goroutine.
type Transfer struct {
	cfg Config
	// number is that of the next message.
	number uint64
	// records holds the latest version of each record. A message always contains the
	// latest one, so that a greater number never carries an older version.
	records map[model.RequestID]wire.KeyRecord
	// skipped are this node and the instances known to leave as well.
	skipped   []model.InstanceID
	receivers []*receiver
	// dropped counts the records that receivers had no room for.
	dropped int
}

// receiver is a node to which records are sent.
type receiver struct {
	to model.Instance
	// queue holds the ids that were not yet sent.
	queue []model.RequestID
	sent  []*sentMessage
	held  map[model.RequestID]bool
	// silentSince is the time of the last acknowledgement, or of the first transmission after
	// all messages had been acknowledged.
	silentSince time.Time
	// silent: it has not replied for silentAfter, so its records also go to the home node
	// after it.
	silent bool
}

type sentMessage struct {
	number uint64
	ids    []model.RequestID
	body   wire.KeyHandover
	at     time.Time
}

// New returns a transfer without records.
func New(cfg Config) *Transfer {
	return &Transfer{
		cfg: cfg, number: cfg.FirstNumber, records: map[model.RequestID]wire.KeyRecord{},
		skipped: []model.InstanceID{cfg.Self},
	}
}

// Add queues records, or new versions of records. A record without a next home node is
// kept for Result only.
func (t *Transfer) Add(records []wire.KeyRecord) {
	for i := range records {
		id := records[i].Request
		t.records[id] = records[i]
		t.place(id)
	}
}

// place queues an id for its next home node. Where that one is silent, the id is also
// queued for the one after it.
func (t *Transfer) place(id model.RequestID) {
	rec := t.records[id]
	skipped := slices.Clone(t.skipped)
	for range maxHomes {
		to, ok := t.cfg.NextHome(&rec, skipped)
		if !ok {
			return
		}
		r := t.receiver(to)
		r.queue = append(r.queue, id)
		if !r.silent {
			return
		}
		skipped = append(skipped, to.ID)
	}
}

func (t *Transfer) receiver(to model.Instance) *receiver {
	if r := t.find(to.ID); r != nil {
		return r
	}
	r := &receiver{to: to, held: map[model.RequestID]bool{}}
	t.receivers = append(t.receivers, r)
	return r
}

func (t *Transfer) find(id model.InstanceID) *receiver {
	for _, r := range t.receivers {
		if r.to.ID == id {
			return r
		}
	}
	return nil
}

// Acknowledge handles a receiver's acknowledgement. One that is late, repeated or for an
// unknown message has no effect. A receiver that leaves itself keeps the records only until
// its end, so they are also sent to the home node after it.
func (t *Transfer) Acknowledge(now time.Time, from model.InstanceID, ack wire.KeyHandoverAck) {
	r := t.find(from)
	if r == nil {
		return
	}
	i := slices.IndexFunc(r.sent, func(m *sentMessage) bool { return m.number == ack.Number })
	if i >= 0 {
		for _, id := range r.sent[i].ids {
			r.held[id] = true
		}
		t.dropped += min(max(ack.Dropped, 0), len(r.sent[i].ids))
		r.sent = slices.Delete(r.sent, i, i+1)
		r.silentSince = now
		r.silent = false
	}
	if ack.Leaving {
		t.Skip(from)
	}
}

// Skip excludes an instance that leaves as well: its records go to the home nodes after it.
func (t *Transfer) Skip(id model.InstanceID) {
	if !slices.Contains(t.skipped, id) {
		t.skipped = append(t.skipped, id)
	}
	t.remove(id)
}

// remove removes a receiver and places its records again.
func (t *Transfer) remove(id model.InstanceID) {
	r := t.find(id)
	if r == nil {
		return
	}
	t.receivers = slices.DeleteFunc(t.receivers, func(o *receiver) bool { return o == r })
	for _, id := range r.ids() {
		t.place(id)
	}
}

// ids returns the ids that the receiver holds or is to get, each once, in a fixed order.
func (r *receiver) ids() []model.RequestID {
	ids := slices.Clone(r.queue)
	for _, m := range r.sent {
		ids = append(ids, m.ids...)
	}
	for id := range r.held {
		ids = append(ids, id)
	}
	slices.Sort(ids)
	return slices.Compact(ids)
}

// Step returns the messages to send now.
func (t *Transfer) Step(now time.Time) []Message {
	t.removeGone()
	t.markSilent(now)
	var out []Message
	for _, r := range t.receivers {
		out = append(out, r.retransmit(now)...)
		out = append(out, t.send(now, r)...)
	}
	return out
}

// removeGone removes receivers that are no longer chosen as home nodes, such as one that
// crashed after its acknowledgement.
func (t *Transfer) removeGone() {
	for _, r := range slices.Clone(t.receivers) {
		if !t.cfg.Serving(r.to.ID) {
			t.remove(r.to.ID)
		}
	}
}

// markSilent also sends the records of receivers that do not reply to the home nodes after
// them.
func (t *Transfer) markSilent(now time.Time) {
	for _, r := range slices.Clone(t.receivers) {
		if r.silent || len(r.sent) == 0 || now.Sub(r.silentSince) < silentAfter {
			continue
		}
		r.silent = true
		ids := r.ids()
		queued := r.queue
		for _, id := range ids {
			t.place(id)
		}
		// place also queued the ids for r itself, which has got them or will.
		r.queue = queued
	}
}

func (r *receiver) retransmit(now time.Time) []Message {
	var out []Message
	for _, m := range r.sent {
		if now.Sub(m.at) >= retransmitAfter {
			m.at = now
			out = append(out, Message{To: r.to, Body: m.body})
		}
	}
	return out
}

// countIDs returns how many of the first ids, at least one, fit into one message.
func countIDs(ids []model.RequestID) int {
	bytes := 0
	for i, id := range ids {
		bytes += recordBytes + len(id)
		if i == wire.MaxHandoverKeys || i > 0 && bytes > maxMessageBytes {
			return i
		}
	}
	return len(ids)
}

// send sends queued ids within the window.
func (t *Transfer) send(now time.Time, r *receiver) []Message {
	var out []Message
	for len(r.queue) > 0 && len(r.sent) < window {
		n := countIDs(r.queue)
		ids := slices.Clone(r.queue[:n])
		r.queue = r.queue[n:]
		slices.Sort(ids)
		m := &sentMessage{number: t.number, ids: slices.Compact(ids), at: now}
		t.number++
		m.body = wire.KeyHandover{Number: m.number}
		for _, id := range m.ids {
			m.body.Keys = append(m.body.Keys, t.records[id])
		}
		if len(r.sent) == 0 {
			r.silentSince = now
		}
		r.sent = append(r.sent, m)
		out = append(out, Message{To: r.to, Body: m.body})
	}
	return out
}

// Done reports whether every record has been acknowledged by its next home node, except
// those that have none.
func (t *Transfer) Done() bool {
	for _, r := range t.receivers {
		if len(r.queue) > 0 || len(r.sent) > 0 {
			return false
		}
	}
	return true
}

// Result counts the records as of now. Ids that were freed are not counted.
func (t *Transfer) Result() Result {
	var out Result
	for id, rec := range t.records {
		if rec.Freed {
			continue
		}
		home, ok := t.cfg.NextHome(&rec, t.skipped)
		switch r := t.find(home.ID); {
		case ok && r != nil && r.held[id]:
			out.Acknowledged++
		case t.isHeld(id):
			out.HeldLater++
		default:
			out.Missing++
		}
	}
	dropped := min(t.dropped, out.Acknowledged)
	out.Acknowledged -= dropped
	out.Missing += dropped
	return out
}

// isHeld reports whether any serving receiver holds the id.
func (t *Transfer) isHeld(id model.RequestID) bool {
	return slices.ContainsFunc(t.receivers, func(r *receiver) bool { return r.held[id] })
}
