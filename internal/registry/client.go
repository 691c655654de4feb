package registry

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"net/url"
	"strconv"
	"sync/atomic"
	"time"

	"gypsumstand/internal/control"
	"gypsumstand/internal/fetch"
	"gypsumstand/internal/finding"
	"gypsumstand/internal/model"
)

// Defaults and limits of the client's transport.
const (
	// DefaultTimeout limits one call from connecting to the last byte of the response.
	DefaultTimeout = 2 * time.Second
	maxConnections = 4
	idleTimeout    = 30 * time.Second
	maxHeaderBytes = 16 << 10
)

// Errors of the client's calls, to be tested with errors.Is.
var (
	// ErrRateLimited is returned for status 429.
	ErrRateLimited = errors.New("rate limit of the platform exceeded")
	// ErrNotFound is returned for status 404.
	ErrNotFound = errors.New("not found on the platform")
	// ErrStatus is returned for any other status except 200.
	ErrStatus = errors.New("unexpected status")
)

// ClientConfig configures a Client.
type ClientConfig struct {
	// Addresses are the platform's addresses, each "ip:port". All calls go to one of them
	// until a call fails; later calls go to the next one.
	Addresses []string
	// Timeout limits one call; zero means DefaultTimeout.
	Timeout time.Duration
	// Dial replaces the TCP dialer if not nil.
	Dial func(ctx context.Context, network, address string) (net.Conn, error)
}

// Client calls the platform. It follows no redirects, ignores the environment's proxies, uses
// no compression, and sends one request per call without retries. It is safe for concurrent
// use.
type Client struct {
	addresses []string
	timeout   time.Duration
	http      *http.Client
	// current counts the changes of address; modulo the number of addresses it is the
	// index of the current one.
	current atomic.Uint64
}

// NewClient returns a client. The error is a finding.List with every invalid field of cfg.
func NewClient(cfg ClientConfig) (*Client, error) {
	var findings finding.List
	if len(cfg.Addresses) == 0 {
		findings.Add(finding.Finding{Key: "addresses", Message: "missing"})
	}
	for i, a := range cfg.Addresses {
		if err := CheckAddress(a); err != nil {
			findings.Add(finding.Finding{Key: fmt.Sprintf("addresses[%d]", i), Message: err.Error()})
		}
	}
	if err := findings.Err(); err != nil {
		return nil, err
	}
	timeout := cfg.Timeout
	if timeout <= 0 {
		timeout = DefaultTimeout
	}
	return &Client{
		addresses: append([]string(nil), cfg.Addresses...),
		timeout:   timeout,
		http:      &http.Client{Transport: newTransport(cfg), CheckRedirect: noRedirect},
	}, nil
}

// newTransport returns an HTTP/1.1 transport with the client's limits.
func newTransport(cfg ClientConfig) *http.Transport {
	dial := cfg.Dial
	if dial == nil {
		dial = (&net.Dialer{}).DialContext
	}
	protocols := new(http.Protocols)
	protocols.SetHTTP1(true)
	return &http.Transport{
		DialContext:            dial,
		DisableCompression:     true,
		MaxConnsPerHost:        maxConnections,
		MaxIdleConnsPerHost:    maxConnections,
		IdleConnTimeout:        idleTimeout,
		MaxResponseHeaderBytes: maxHeaderBytes,
		Protocols:              protocols,
	}
}

func noRedirect(*http.Request, []*http.Request) error { return http.ErrUseLastResponse }

// List reads the instances. With since zero it reads the complete list, otherwise the changes
// after that revision.
func (c *Client) List(ctx context.Context, since uint64) (control.ListRead, error) {
	query := ""
	if since > 0 {
		query = "?" + SinceQuery + "=" + strconv.FormatUint(since, 10)
	}
	data, err := c.get(ctx, InstancesPath+query, MaxListBytes)
	if err != nil {
		return control.ListRead{}, fmt.Errorf("read list of instances: %w", err)
	}
	list, err := DecodeList("list of instances", data, since)
	if err != nil {
		c.nextAddress()
	}
	return list, err
}

// Index reads the index of the configuration.
func (c *Client) Index(ctx context.Context) (control.IndexRead, error) {
	data, err := c.get(ctx, ConfigPath, MaxIndexBytes)
	if err != nil {
		return control.IndexRead{}, fmt.Errorf("read configuration index: %w", err)
	}
	index, err := DecodeIndex("configuration index", data)
	if err != nil {
		c.nextAddress()
	}
	return index, err
}

// Value reads one configuration value, the CBOR encoding of a signed bundle. It does not
// verify the signature.
func (c *Client) Value(ctx context.Context, name model.BundleName) ([]byte, error) {
	if err := CheckName(string(name)); err != nil {
		return nil, fmt.Errorf("read configuration value: name %q: %w", name, err)
	}
	data, err := c.get(ctx, ConfigPath+"/"+url.PathEscape(string(name)), MaxValueBytes)
	if err != nil {
		return nil, fmt.Errorf("read configuration value %q: %w", name, err)
	}
	return data, nil
}

// Close closes the client's idle connections.
func (c *Client) Close() { c.http.CloseIdleConnections() }

// nextAddress makes later calls go to the next address.
func (c *Client) nextAddress() { c.current.Add(1) }

// get calls the current address. Every error except ErrNotFound selects the next address.
func (c *Client) get(ctx context.Context, pathAndQuery string, limit int64) ([]byte, error) {
	address := c.addresses[c.current.Load()%uint64(len(c.addresses))]
	data, err := c.getFrom(ctx, address, pathAndQuery, limit)
	if err != nil && !errors.Is(err, ErrNotFound) {
		c.nextAddress()
	}
	return data, err
}

// getFrom reads at most limit bytes from an address within the client's timeout.
func (c *Client) getFrom(ctx context.Context, address, pathAndQuery string, limit int64) ([]byte, error) {
	ctx, cancel := context.WithTimeout(ctx, c.timeout)
	defer cancel()
	resp, err := fetch.Get(ctx, c.http, "http://"+address+pathAndQuery, limit, statusError)
	return resp.Body, err
}

// statusError returns the error for a status other than 200.
func statusError(status int, _ http.Header) error {
	switch status {
	case http.StatusTooManyRequests:
		return ErrRateLimited
	case http.StatusNotFound:
		return ErrNotFound
	}
	return fmt.Errorf("%w %d", ErrStatus, status)
}
