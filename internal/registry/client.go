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

// Defaults and bounds of the client's transport.
const (
	// DefaultTimeout bounds one call from connecting to the last byte.
	DefaultTimeout = 2 * time.Second
	maxConnections = 4
	idleTimeout    = 30 * time.Second
	maxHeaderBytes = 16 << 10
)

// Errors of the client's calls, for errors.Is.
var (
	// ErrRateLimited: the platform's rate was used up (status 429).
	ErrRateLimited = errors.New("the platform's rate is used up")
	// ErrNotFound: the platform has no such value (status 404).
	ErrNotFound = errors.New("the platform has no such value")
	// ErrStatus: any other status than 200.
	ErrStatus = errors.New("unexpected status")
)

// ClientConfig is a client's fixed setting.
type ClientConfig struct {
	// Addresses are the platform's, each "ip:port". A call goes to one of them; a
	// failed call makes the next call go to the next address.
	Addresses []string
	// Timeout bounds one call; zero means DefaultTimeout.
	Timeout time.Duration
	// Dial replaces the TCP dialer when present.
	Dial func(ctx context.Context, network, address string) (net.Conn, error)
}

// Client calls the platform. It follows no redirect, uses no proxy of the
// environment and no compression, and makes one request per call. Safe for
// concurrent use.
type Client struct {
	addresses []string
	timeout   time.Duration
	http      *http.Client
	current   atomic.Uint64
}

// NewClient returns a client, or a finding.List with every fault of cfg.
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

// List reads the list of instances; since zero asks for the whole list, another
// revision for the changes after it.
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
		c.next()
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
		c.next()
	}
	return index, err
}

// Value reads one configuration value: a signed bundle's CBOR form, unchecked.
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

// next makes the following calls go to the next address.
func (c *Client) next() { c.current.Add(1) }

func (c *Client) get(ctx context.Context, pathAndQuery string, bound int64) ([]byte, error) {
	address := c.addresses[c.current.Load()%uint64(len(c.addresses))]
	data, err := c.getFrom(ctx, address, pathAndQuery, bound)
	if err != nil && !errors.Is(err, ErrNotFound) {
		c.next()
	}
	return data, err
}

func (c *Client) getFrom(ctx context.Context, address, pathAndQuery string, bound int64) ([]byte, error) {
	ctx, cancel := context.WithTimeout(ctx, c.timeout)
	defer cancel()
	return fetch.Get(ctx, c.http, "http://"+address+pathAndQuery, bound, refusal)
}

// refusal gives the error of an answer with another status than 200.
func refusal(status int) error {
	switch status {
	case http.StatusTooManyRequests:
		return ErrRateLimited
	case http.StatusNotFound:
		return ErrNotFound
	}
	return fmt.Errorf("%w %d", ErrStatus, status)
}
