package load

import (
	"context"
	"errors"
	"fmt"
	"strings"
	"sync"

	"gypsumstand/internal/model"
)

// maxExamples limits the examples of each kind of violation in an OracleResult.
const maxExamples = 10

// oracleBatch is the number of request ids in one query to an oracle.
const oracleBatch = 2000

// ErrIncomplete is returned when request ids were forgotten, so that the counts are not
// reliable.
var ErrIncomplete = errors.New("run counts are incomplete")

// Oracle counts the runs of requests over all workers.
type Oracle interface {
	// Runs returns the number of runs of each id, in the order of ids. It fails with
	// ErrIncomplete when ids may have been forgotten.
	Runs(ctx context.Context, ids []model.RequestID) ([]int, error)
}

// OracleResult compares the outcomes that callers received with the counted runs.
type OracleResult struct {
	// Checked is the number of requests with an id.
	Checked int64 `json:"checked"`
	// Duplicates counts non-idempotent requests that ran more than once.
	Duplicates int64 `json:"duplicates"`
	// FalseNotRun counts requests that ran although they were reported as not run.
	FalseNotRun int64 `json:"not_run_that_ran"`
	// AnsweredWithoutRun counts requests that were answered but ran on no worker.
	AnsweredWithoutRun int64 `json:"answered_without_run"`
	// Examples describes up to maxExamples violations of each kind.
	Examples []string `json:"examples"`
}

// Consistent reports whether no run contradicts the outcome that a caller received.
func (r *OracleResult) Consistent() bool {
	return r.Duplicates == 0 && r.FalseNotRun == 0 && r.AnsweredWithoutRun == 0
}

// String returns a summary for people.
func (r *OracleResult) String() string {
	lines := []string{fmt.Sprintf("runs checked for %d requests: %d ran more than once, %d ran although reported not run, %d answered without a run",
		r.Checked, r.Duplicates, r.FalseNotRun, r.AnsweredWithoutRun)}
	return strings.Join(append(lines, r.Examples...), "\n  ")
}

// reportedOutcome is the final outcome that a caller received for a request with an id.
type reportedOutcome struct {
	id         model.RequestID
	idempotent bool
	// copied is set when a second caller sent the same id, so that either of the two may
	// be reported as not run.
	copied bool
	kind   resultKind
}

// outcomeLog records the outcomes that callers received. It is safe for concurrent use.
type outcomeLog struct {
	mu       sync.Mutex
	outcomes []reportedOutcome
}

func (l *outcomeLog) add(r *request, kind resultKind, copied bool) {
	if r.id == "" {
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.outcomes = append(l.outcomes, reportedOutcome{
		id: r.id, idempotent: r.stream.idempotent(), copied: copied, kind: kind,
	})
}

// check queries the oracle for every recorded request.
func (l *outcomeLog) check(ctx context.Context, oracle Oracle) (*OracleResult, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	out := &OracleResult{}
	for start := 0; start < len(l.outcomes); start += oracleBatch {
		batch := l.outcomes[start:min(start+oracleBatch, len(l.outcomes))]
		if err := out.checkBatch(ctx, oracle, batch); err != nil {
			return out, err
		}
	}
	return out, nil
}

func (r *OracleResult) checkBatch(ctx context.Context, oracle Oracle, batch []reportedOutcome) error {
	ids := make([]model.RequestID, len(batch))
	for i, o := range batch {
		ids[i] = o.id
	}
	runs, err := oracle.Runs(ctx, ids)
	if err != nil {
		return fmt.Errorf("count runs: %w", err)
	}
	if len(runs) != len(ids) {
		return fmt.Errorf("count runs: oracle returned %d counts for %d ids", len(runs), len(ids))
	}
	for i, o := range batch {
		r.checkOne(o, runs[i])
	}
	return nil
}

func (r *OracleResult) checkOne(o reportedOutcome, runs int) {
	r.Checked++
	if runs > 1 && !o.idempotent {
		r.addViolation(&r.Duplicates, o, runs, "it is not idempotent")
	}
	if runs > 0 && o.kind == resultNotRun && !o.copied {
		r.addViolation(&r.FalseNotRun, o, runs, "it was reported not run")
	}
	if runs == 0 && o.kind == resultAnswered {
		r.addViolation(&r.AnsweredWithoutRun, o, runs, "it was answered")
	}
}

func (r *OracleResult) addViolation(counter *int64, o reportedOutcome, runs int, reason string) {
	*counter++
	if *counter <= maxExamples {
		r.Examples = append(r.Examples, fmt.Sprintf("%s ran %d times but %s", o.id, runs, reason))
	}
}

// RunCounter counts runs in the same process, such as the ledger of a stand-in worker.
type RunCounter interface {
	Runs(id model.RequestID) int
	// Forgotten returns the number of ids that are no longer remembered.
	Forgotten() uint64
}

// LocalOracle sums the runs of counters in the same process.
type LocalOracle []RunCounter

// Runs implements Oracle.
func (o LocalOracle) Runs(_ context.Context, ids []model.RequestID) ([]int, error) {
	out := make([]int, len(ids))
	for _, counter := range o {
		if n := counter.Forgotten(); n > 0 {
			return nil, fmt.Errorf("%w: %d ids are forgotten", ErrIncomplete, n)
		}
		for i, id := range ids {
			out[i] += counter.Runs(id)
		}
	}
	return out, nil
}
