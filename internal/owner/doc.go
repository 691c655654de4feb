// Package owner decides what runs on this node's own worker: admission within
// slots, a bounded queue by worth and remaining time, shares of classes and
// tenants, and the record of attempts that keeps non-idempotent requests at
// most once and refusals true. It does no I/O. Design: docs/DESIGN.md, "At most
// once"; the measurements behind the choices: docs/PAPER.md and the tests named
// below.
//
// # Admission
//
// At most the effective limit is in flight: the slots (or connections, when
// fewer), lowered by the slow start after cold and by the adaptive limit. The
// rest waits in a bounded queue. A class under its share of the slots is served
// first; otherwise the highest worth per expected slot time, then the earliest
// deadline. Idle shares are borrowed. A full queue gives up its least valuable
// attempt for a more valuable one, but each class keeps its share of the places.
// Weighed (order_test.go): FIFO, EDF, plain worth, fixed shares, a weighted
// random class, and the paper's governor and reservation.
//
// The adaptive limit is additive increase, multiplicative decrease on the
// worker's refusals, on failed connections and on time-outs of three times the
// expected service time. Weighed (limit_test.go): refusals only (no gain on a
// worker hindered by its own concurrency), earlier time-outs (cost on a slowed
// worker whose slots are real), and a latency gradient (costs worth on a healthy
// worker, as service times vary within and between classes).
//
// # Files
//
// The files follow an attempt's way: owner.go holds the type and its calls,
// offer.go admits or refuses, dispatch.go starts and turns away, queue.go and
// shares.go order those that wait, limit.go and predict.go say how many run and
// how long that takes, tenants.go holds the tenants' bounds, attempts.go
// remembers attempts (with the proof that bars last long enough), keys.go
// remembers callers' request ids, settle.go answers questions about attempts,
// pause.go judges anew after a stop of the process.
package owner
