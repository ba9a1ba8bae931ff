// Package cloud is a client of the cloud, the service that provisions machines.
package cloud

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"sync/atomic"
	"time"

	"golang.org/x/time/rate"

	"lotusstile.dev/lotusstile/wire"
)

// Errors that callers tell apart.
var (
	// ErrNoCapacity means that the cloud cannot provision any of the requested machines now.
	ErrNoCapacity = errors.New("no capacity")
	// ErrPageOutOfOrder means that a page of the machine list does not continue the previous page. A list
	// that contained it could lack machines.
	ErrPageOutOfOrder = errors.New("page of the machine list is out of order")
)

// StatusError means that the cloud answered with a status other than 200. For an answer that reports a
// lack of capacity, the error is ErrNoCapacity instead.
type StatusError struct{ Status int }

func (e *StatusError) Error() string { return fmt.Sprintf("status %d", e.Status) }

// Client is a client of the cloud. It is safe for concurrent use.
type Client struct {
	baseURL         string // "http://host:port"
	http            *http.Client
	timeout         time.Duration // of one call, including the wait for the rate limit
	callLimiter     *rate.Limiter // of all calls
	pageLimiter     *rate.Limiter // of pages of the machine list; leaves calls for provisioning and releasing machines
	outOfOrderPages atomic.Uint64 // see OutOfOrderPages
}

// callShare is the share of the cloud's rate limit that one node uses.
const callShare = 0.7

// New returns a client of the cloud at addr (host:port), which allows callsPerSecond. A call takes up to
// timeout, including the wait for the rate limit.
func New(addr string, callsPerSecond float64, timeout time.Duration, transport http.RoundTripper) *Client {
	callsPerSecond *= callShare
	return &Client{
		baseURL:     "http://" + addr,
		http:        &http.Client{Transport: transport},
		timeout:     timeout,
		callLimiter: newLimiter(callsPerSecond),
		pageLimiter: newLimiter(callsPerSecond * listShare),
	}
}

// newLimiter returns a limiter whose burst is the number of calls in one second, at least one.
func newLimiter(perSecond float64) *rate.Limiter {
	return rate.NewLimiter(rate.Limit(perSecond), max(1, int(perSecond)))
}

// Catalog reads the machine types and their current prices.
func (c *Client) Catalog(ctx context.Context) (wire.Catalog, error) {
	var catalog wire.Catalog
	if err := c.call(ctx, http.MethodGet, "/catalog", nil, &catalog); err != nil {
		return catalog, fmt.Errorf("read catalog: %w", err)
	}
	return catalog, nil
}

// Provision requests machines and returns their names. A request whose outcome is unknown can be sent
// again with the same RequestID, and the cloud provisions its machines only once. The error wraps
// ErrNoCapacity if the cloud cannot provision any of them now.
func (c *Client) Provision(ctx context.Context, request wire.ProvisionRequest) ([]string, error) {
	var names wire.HostNames
	if err := c.call(ctx, http.MethodPost, "/machines", request, &names); err != nil {
		return nil, fmt.Errorf("provision %s: %w", request.RequestID, err)
	}
	return names.Hosts, nil
}

// Release releases machines to the cloud. A nil error proves that they are terminated, and with them
// everything that ran on them.
func (c *Client) Release(ctx context.Context, hosts []string) error {
	if err := c.call(ctx, http.MethodPost, "/machines/return", wire.HostNames{Hosts: hosts}, nil); err != nil {
		return fmt.Errorf("release %d machines: %w", len(hosts), err)
	}
	return nil
}

// call sends a request as soon as the rate limit allows it, and decodes the answer into out unless out is
// nil. If the cloud refuses the request, the error is ErrNoCapacity or a *StatusError.
func (c *Client) call(ctx context.Context, method, path string, body, out any) error {
	ctx, cancel := context.WithTimeout(ctx, c.timeout)
	defer cancel()
	if err := c.callLimiter.Wait(ctx); err != nil {
		return fmt.Errorf("over the rate limit of cloud calls: %w", err)
	}
	request, err := c.newRequest(ctx, method, path, body)
	if err != nil {
		return err
	}
	response, err := c.http.Do(request)
	if err != nil {
		return err
	}
	defer func() { _ = response.Body.Close() }() // the body has been read, or the error of reading it is returned
	data, err := io.ReadAll(response.Body)
	if err != nil {
		return fmt.Errorf("read answer: %w", err)
	}
	return decodeAnswer(response.StatusCode, data, out)
}

// newRequest returns a request whose body is the JSON encoding of body; if body is nil, it has none.
func (c *Client) newRequest(ctx context.Context, method, path string, body any) (*http.Request, error) {
	var content io.Reader
	if body != nil {
		data, err := json.Marshal(body)
		if err != nil {
			return nil, fmt.Errorf("encode request: %w", err)
		}
		content = bytes.NewReader(data)
	}
	request, err := http.NewRequestWithContext(ctx, method, c.baseURL+path, content)
	if err != nil {
		return nil, fmt.Errorf("make request: %w", err)
	}
	if body != nil {
		request.Header.Set("Content-Type", "application/json")
	}
	return request, nil
}

// decodeAnswer decodes an answer with status 200 into out unless out is nil, and returns an error for any
// other status.
func decodeAnswer(status int, data []byte, out any) error {
	switch {
	case status == http.StatusServiceUnavailable && bytes.Contains(data, []byte("no capacity")):
		return ErrNoCapacity
	case status != http.StatusOK:
		return &StatusError{status}
	case out == nil:
		return nil
	}
	if err := wire.Decode(data, out); err != nil {
		return fmt.Errorf("decode answer: %w", err)
	}
	return nil
}
