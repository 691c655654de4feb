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

// Limits of a query to one worker.
const (
	oracleTimeout       = 10 * time.Second
	maxOracleReplyBytes = 16 << 20
)

// HTTPOracle sums the runs of stand-in workers, given by their control addresses
// ("ip:port"). Each worker must have its own ledger.
type HTTPOracle []string

// Runs implements Oracle.
func (o HTTPOracle) Runs(ctx context.Context, ids []model.RequestID) ([]int, error) {
	ctx, cancel := context.WithTimeout(ctx, oracleTimeout)
	defer cancel()
	query, err := json.Marshal(worker.RunsQuery{IDs: ids})
	if err != nil {
		return nil, err
	}
	out := make([]int, len(ids))
	for _, address := range o {
		reply, err := fetchRuns(ctx, address, query)
		if err != nil {
			return nil, fmt.Errorf("worker at %s: %w", address, err)
		}
		if len(reply.Runs) != len(ids) {
			return nil, fmt.Errorf("worker at %s: returned %d counts for %d ids", address, len(reply.Runs), len(ids))
		}
		if reply.Forgotten > 0 {
			return nil, fmt.Errorf("worker at %s: %w: %d ids are forgotten", address, ErrIncomplete, reply.Forgotten)
		}
		for i, r := range reply.Runs {
			out[i] += r.Runs
		}
	}
	return out, nil
}

func fetchRuns(ctx context.Context, address string, query []byte) (worker.RunsReply, error) {
	var out worker.RunsReply
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+address+worker.ControlRunsPath, bytes.NewReader(query))
	if err != nil {
		return out, err
	}
	resp, err := (&http.Client{Transport: &http.Transport{DisableKeepAlives: true}}).Do(req)
	if err != nil {
		return out, err
	}
	defer resp.Body.Close()
	data, err := io.ReadAll(io.LimitReader(resp.Body, maxOracleReplyBytes))
	if err != nil {
		return out, err
	}
	if resp.StatusCode != http.StatusOK {
		return out, fmt.Errorf("status %d: %.200s", resp.StatusCode, data)
	}
	return out, json.Unmarshal(data, &out)
}
