// Package fetch reads bounded answers of services by GET.
package fetch

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
)

// ErrTooLarge says that an answer is over its bound.
var ErrTooLarge = errors.New("answer is over its bound")

// maxDrainedBytes is the most of a refusal that is read so that its connection can be used
// again: some times a usual error page. A longer one costs a new connection instead.
const maxDrainedBytes = 4 << 10

// Get returns the body of the answer to a GET of url, of at most bound bytes. An answer
// with another status than 200 is an error, which refusal gives for its status.
func Get(ctx context.Context, client *http.Client, url string, bound int64, refusal func(status int) error) ([]byte, error) {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	if err != nil {
		return nil, err
	}
	resp, err := client.Do(req)
	if err != nil {
		return nil, err
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		// A connection that fails here is not used again.
		_, _ = io.CopyN(io.Discard, resp.Body, maxDrainedBytes)
		return nil, refusal(resp.StatusCode)
	}
	return readBounded(resp, bound)
}

func readBounded(resp *http.Response, bound int64) ([]byte, error) {
	if resp.ContentLength > bound {
		return nil, fmt.Errorf("%w of %d bytes", ErrTooLarge, bound)
	}
	data, err := io.ReadAll(io.LimitReader(resp.Body, bound+1))
	if err != nil {
		return nil, err
	}
	if int64(len(data)) > bound {
		return nil, fmt.Errorf("%w of %d bytes", ErrTooLarge, bound)
	}
	return data, nil
}
