package load

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"time"

	"gypsumstand/internal/fake/worker"
	"gypsumstand/internal/model"
)

// Bounds of a question to a worker.
const (
	oracleTimeout  = 10 * time.Second
	maxOracleReply = 16 << 20
)

// HTTPOracle sums over the control addresses ("ip:port") of stand-in workers,
// each with a ledger of its own.
type HTTPOracle []string

// Runs implements Oracle.
func (o HTTPOracle) Runs(ctx context.Context, ids []model.RequestID) ([]int, error) {
	ctx, cancel := context.WithTimeout(ctx, oracleTimeout)
	defer cancel()
	question, err := json.Marshal(worker.RunsQuery{IDs: ids})
	if err != nil {
		return nil, err
	}
	out := make([]int, len(ids))
	for _, address := range o {
		got, err := askRuns(ctx, address, question)
		if err != nil {
			return nil, fmt.Errorf("worker at %s: %w", address, err)
		}
		if len(got.Runs) != len(ids) {
			return nil, fmt.Errorf("worker at %s: %d answers to %d ids", address, len(got.Runs), len(ids))
		}
		if got.Forgotten > 0 {
			return nil, fmt.Errorf("worker at %s: %w: %d ids are forgotten", address, ErrIncomplete, got.Forgotten)
		}
		for i, r := range got.Runs {
			out[i] += r.Runs
		}
	}
	return out, nil
}

func askRuns(ctx context.Context, address string, question []byte) (worker.RunsReply, error) {
	var out worker.RunsReply
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+address+worker.ControlRunsPath, bytes.NewReader(question))
	if err != nil {
		return out, err
	}
	resp, err := (&http.Client{Transport: &http.Transport{DisableKeepAlives: true}}).Do(req)
	if err != nil {
		return out, err
	}
	defer resp.Body.Close()
	data, err := io.ReadAll(io.LimitReader(resp.Body, maxOracleReply))
	if err != nil {
		return out, err
	}
	if resp.StatusCode != http.StatusOK {
		return out, fmt.Errorf("status %d: %.200s", resp.StatusCode, data)
	}
	return out, json.Unmarshal(data, &out)
}
