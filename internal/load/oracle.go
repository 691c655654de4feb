package load

import (
	"context"
	"errors"
	"fmt"
	"strings"
	"sync"

	"gypsumstand/internal/model"
)

// maxExamples bounds the examples of each kind in an OracleResult.
const maxExamples = 10

// oracleBatch is the number of ids that an oracle is asked for at once.
const oracleBatch = 2000

// ErrIncomplete: the oracle does not remember all ids, so it proves nothing.
var ErrIncomplete = errors.New("the count of runs is not complete")

// Oracle says how often requests ran, over all workers together.
type Oracle interface {
	// Runs returns the runs of each id in the order of ids. It fails with
	// ErrIncomplete when ids may be forgotten.
	Runs(ctx context.Context, ids []model.RequestID) ([]int, error)
}

// OracleResult holds what callers were told against the runs that were counted.
type OracleResult struct {
	// Checked counts the requests with an id.
	Checked int64 `json:"checked"`
	// Duplicates ran more than once although they are not idempotent.
	Duplicates int64 `json:"duplicates"`
	// FalseNotRun were told not run but ran.
	FalseNotRun int64 `json:"not_run_that_ran"`
	// AnsweredWithoutRun were answered but ran nowhere.
	AnsweredWithoutRun int64 `json:"answered_without_run"`
	// Examples name some of them.
	Examples []string `json:"examples"`
}

// Consistent tells whether no run contradicts what a caller was told.
func (r *OracleResult) Consistent() bool {
	return r.Duplicates == 0 && r.FalseNotRun == 0 && r.AnsweredWithoutRun == 0
}

// String returns text for people.
func (r *OracleResult) String() string {
	lines := []string{fmt.Sprintf("runs checked for %d requests: %d run twice, %d told not run but ran, %d answered without a run",
		r.Checked, r.Duplicates, r.FalseNotRun, r.AnsweredWithoutRun)}
	return strings.Join(append(lines, r.Examples...), "\n  ")
}

// told is what a caller was told in the end of a request with an id.
type told struct {
	id         model.RequestID
	idempotent bool
	// copied: a second caller sent it too, so that either may be told not run.
	copied  bool
	verdict verdict
}

// ledger keeps what callers were told.
type ledger struct {
	mu   sync.Mutex
	told []told
}

func (l *ledger) add(r *request, v verdict, copied bool) {
	if r.id == "" {
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.told = append(l.told, told{id: r.id, idempotent: r.stream.idempotent(), copied: copied, verdict: v})
}

// check asks the oracle about every request.
func (l *ledger) check(ctx context.Context, oracle Oracle) (*OracleResult, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	out := &OracleResult{}
	for start := 0; start < len(l.told); start += oracleBatch {
		batch := l.told[start:min(start+oracleBatch, len(l.told))]
		if err := out.checkBatch(ctx, oracle, batch); err != nil {
			return out, err
		}
	}
	return out, nil
}

func (r *OracleResult) checkBatch(ctx context.Context, oracle Oracle, batch []told) error {
	ids := make([]model.RequestID, len(batch))
	for i, t := range batch {
		ids[i] = t.id
	}
	runs, err := oracle.Runs(ctx, ids)
	if err != nil {
		return fmt.Errorf("count runs: %w", err)
	}
	if len(runs) != len(ids) {
		return fmt.Errorf("count runs: %d answers to %d ids", len(runs), len(ids))
	}
	for i, t := range batch {
		r.checkOne(t, runs[i])
	}
	return nil
}

func (r *OracleResult) checkOne(t told, runs int) {
	r.Checked++
	if runs > 1 && !t.idempotent {
		r.breach(&r.Duplicates, t, runs, "is not idempotent")
	}
	if runs > 0 && t.verdict == verdictNotRun && !t.copied {
		r.breach(&r.FalseNotRun, t, runs, "was told not run")
	}
	if runs == 0 && t.verdict == verdictAnswered {
		r.breach(&r.AnsweredWithoutRun, t, runs, "was answered")
	}
}

func (r *OracleResult) breach(counter *int64, t told, runs int, why string) {
	*counter++
	if *counter <= maxExamples {
		r.Examples = append(r.Examples, fmt.Sprintf("%s ran %d times but %s", t.id, runs, why))
	}
}

// RunCounter counts runs in the same process; the stand-in worker's ledger is one.
type RunCounter interface {
	Runs(id model.RequestID) int
	// Forgotten is over zero when ids are no longer remembered.
	Forgotten() uint64
}

// LocalOracle sums over counters of the same process.
type LocalOracle []RunCounter

// Runs implements Oracle.
func (o LocalOracle) Runs(_ context.Context, ids []model.RequestID) ([]int, error) {
	out := make([]int, len(ids))
	for _, c := range o {
		if n := c.Forgotten(); n > 0 {
			return nil, fmt.Errorf("%w: %d ids are forgotten", ErrIncomplete, n)
		}
		for i, id := range ids {
			out[i] += c.Runs(id)
		}
	}
	return out, nil
}
