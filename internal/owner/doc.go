// Package owner decides what runs on this node's own worker. It admits attempts to the
// worker's slots, orders the rest in a bounded queue by worth and remaining time, applies
// the shares of classes and tenants, and records attempts so that a non-idempotent
// request runs at most once and a refusal with NotRun stays true. It does no I/O. Design:
// docs/DESIGN.md, "At most once"; the measurements behind the choices: docs/PAPER.md and
// the tests named below.
//
// # Admission
//
// At most the effective limit is in flight: the slots (or connections, when fewer),
// lowered by the slow start after a cold period and by the adaptive limit. Further
// attempts wait in a bounded queue. A class under its share of the slots is served first;
// otherwise the order is highest worth per expected slot time, then earliest deadline.
// Idle shares are borrowed. A full queue drops its least valuable attempt for a more
// valuable one, but each class keeps its share of the places. The alternatives that
// order_test.go compares are FIFO, EDF, plain worth, fixed shares, a weighted random
// class, and the paper's governor and reservation.
//
// The adaptive limit uses additive increase and multiplicative decrease (AIMD) on the
// worker's refusals, on failed connections and on time-outs after at least three times
// the expected service time. The alternatives that limit_test.go compares are: refusals
// only, which gains nothing on a worker hindered by its own concurrency; earlier
// time-outs, which cost worth on a slowed worker whose slots are real; and a latency
// gradient, which costs worth on a healthy worker because service times vary within and
// between classes.
//
// # Files
//
// The files follow the path of an attempt: owner.go holds the type and most of its
// methods; offer.go admits or refuses; dispatch.go starts attempts and refuses queued
// ones; queue.go and shares.go order the queue; limit.go, warming.go and predict.go
// determine how many attempts run and how long they take; inflation.go corrects predicted
// waits; slowdown.go follows the worker's slowdown; tenants.go holds the tenants' limits;
// attempts.go and entries.go remember attempts, with the proof that fences last long
// enough; keys.go remembers callers' request ids and keytransfer.go moves them to other
// homes; resolve.go answers queries about attempts; breaker.go, stops.go, pause.go and
// restart.go react to faults, withdrawal, process pauses and worker restarts.
package owner
