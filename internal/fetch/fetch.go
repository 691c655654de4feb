// Package fetch sends GET requests and reads responses of limited size.
package fetch

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"

	"gypsumstand/internal/upstream"
)

// ErrTooLarge is returned if a response is larger than its limit.
var ErrTooLarge = errors.New("response exceeds its limit")

// maxDrainBytes is the maximum number of bytes of an error response that are read so that its
// connection can be reused, a few times the size of a typical error page. A longer response
// costs a new connection instead.
const maxDrainBytes = 4 << 10

// Response is a response with status 200.
type Response struct {
	Header http.Header
	Body   []byte
}

// Get sends a GET request for url and returns the response, whose body has at most limit
// bytes. For any status other than 200 it returns the error that statusError gives for the
// status and the header, and for a malformed header that of upstream.CheckHead.
func Get(ctx context.Context, client *http.Client, url string, limit int64, statusError func(status int, h http.Header) error) (Response, error) {
	return get(ctx, client, url, limit, statusError, nil)
}

// GetSteady is Get for a response that may take long: it fails when nothing arrives for
// stallTime.
func GetSteady(ctx context.Context, client *http.Client, url string, limit int64, statusError func(status int, h http.Header) error) (Response, error) {
	ctx, progress := CancelOnStall(ctx)
	defer progress.Stop()
	return get(ctx, client, url, limit, statusError, progress)
}

// get is Get; progress may be nil.
func get(ctx context.Context, client *http.Client, url string, limit int64, statusError func(status int, h http.Header) error, progress *Progress) (Response, error) {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	if err != nil {
		return Response{}, err
	}
	resp, err := client.Do(req)
	if err != nil {
		return Response{}, err
	}
	defer resp.Body.Close()
	if err := upstream.CheckHead(resp); err != nil {
		return Response{}, err
	}
	if resp.StatusCode != http.StatusOK {
		// An error is ignored: the transport does not reuse a connection that fails.
		_, _ = io.CopyN(io.Discard, resp.Body, maxDrainBytes)
		return Response{}, statusError(resp.StatusCode, resp.Header)
	}
	data, err := readLimited(resp, progress.Reader(resp.Body), limit)
	return Response{Header: resp.Header, Body: data}, err
}

func readLimited(resp *http.Response, body io.Reader, limit int64) ([]byte, error) {
	if resp.ContentLength > limit {
		return nil, fmt.Errorf("%w of %d bytes", ErrTooLarge, limit)
	}
	data, err := io.ReadAll(io.LimitReader(body, limit+1))
	if err != nil {
		return nil, err
	}
	if int64(len(data)) > limit {
		return nil, fmt.Errorf("%w of %d bytes", ErrTooLarge, limit)
	}
	return data, nil
}
