// Package store is a client of the state store, a consensus-backed key-value store: reads,
// transactions, watches and leases, within this node's share of the store's rate limits.
//
// Each request has a priority lane (see WithUrgentLane and the other With functions), which decides
// how the request shares the node's budget with others. The type of an error tells the caller
// whether a failed request may have been executed; see ErrRefused.
package store

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math"
	"net/http"
	"sync"
	"sync/atomic"
	"time"
)

// neverExecuted is what SinceLastExecuted returns before the first executed request.
const neverExecuted = time.Duration(math.MaxInt64 / 2)

// Client is a client of the state store. It is safe for concurrent use.
type Client struct {
	baseURL string // "http://host:port"
	http    *http.Client
	timeout time.Duration // of one request; see New
	budget  budget

	// created is the time from which lastExecuted counts.
	created time.Time
	// lastExecuted is the latest start time of all requests that the store has executed, in
	// nanoseconds since created; 0 before the first one.
	lastExecuted atomic.Int64

	rejectedCommits   atomic.Uint64 // see RejectedCommits
	throttledRequests atomic.Uint64 // see ThrottledRequests
	outOfOrderPages   atomic.Uint64 // see OutOfOrderPages

	mu sync.Mutex // guards nextRetryAt
	// nextRetryAt is the earliest retry time to give to the next refused user; see nextRetryAfter.
	nextRetryAt time.Time
}

// New makes a client of the store at addr (host:port) that sends its requests over transport.
//
// timeout bounds one request, including the wait for this node's request budget. Two kinds of request
// may take longer: a watch, by the time that it waits for a change, and a commit, which may first
// wait for the write budget for up to another timeout.
func New(addr string, limits Limits, timeout time.Duration, transport http.RoundTripper) *Client {
	return &Client{
		baseURL: "http://" + addr,
		http:    &http.Client{Transport: transport},
		timeout: timeout,
		budget:  newBudget(limits),
		created: time.Now(),
	}
}

// SinceLastExecuted returns the time since the latest start of a request that the store has executed
// for this node. A short time proves that this node reaches the store. Before the first executed
// request, the result is longer than any time limit. A request counts as executed if the store
// answers it with a status other than 429 and 503. Watches do not count.
func (c *Client) SinceLastExecuted() time.Duration {
	last := c.lastExecuted.Load()
	if last == 0 {
		return neverExecuted
	}
	return time.Since(c.created) - time.Duration(last)
}

// advanceLastExecuted sets lastExecuted to start, the start time of a request that the store has
// executed. It never moves lastExecuted back: requests may end in another order than they started.
func (c *Client) advanceLastExecuted(start time.Time) {
	at := int64(start.Sub(c.created))
	for {
		old := c.lastExecuted.Load()
		if old >= at || c.lastExecuted.CompareAndSwap(old, max(at, 1)) {
			return
		}
	}
}

// RejectedCommits returns how many commits ended with a *RejectedError: the store rejected them as
// malformed or too large.
func (c *Client) RejectedCommits() uint64 { return c.rejectedCommits.Load() }

// ThrottledRequests returns how many requests ended with ErrThrottled: the store received too many.
func (c *Client) ThrottledRequests() uint64 { return c.throttledRequests.Load() }

// OutOfOrderPages returns how many listings ended with ErrPageOutOfOrder.
func (c *Client) OutOfOrderPages() uint64 { return c.outOfOrderPages.Load() }

// call waits for the request budget, sends one request, and returns the status and the body of the
// answer. If the store refuses the request or the request exceeds the budget, the error wraps
// ErrRefused. If no answer arrives, the error wraps ErrOutcomeUnknown. If the request cannot be
// encoded, the error wraps neither. For every status but 429 and 503 the error is nil, and the caller
// handles the status. maxWait is how long the store may wait for a change before it answers a watch;
// it is 0 for all other requests.
func (c *Client) call(
	ctx context.Context, method, path string, body any, maxWait time.Duration,
) (status int, answer []byte, err error) {
	ctx, cancel := context.WithTimeout(ctx, c.timeout+maxWait)
	defer cancel()
	if err := c.waitForRequestBudget(ctx); err != nil {
		return 0, nil, err
	}
	if path == commitPath {
		var stop context.CancelFunc
		ctx, stop = c.cancelWhenOvertaken(ctx)
		defer stop()
	}
	req, err := newRequest(ctx, method, c.baseURL+path, body)
	if err != nil {
		return 0, nil, err
	}
	start := time.Now()
	status, answer, err = c.roundTrip(req)
	if err != nil {
		return 0, nil, fmt.Errorf("%w: %w", ErrOutcomeUnknown, err)
	}
	if err := c.refusalError(status, body); err != nil {
		return status, nil, err
	}
	c.growReadBudget(ctx)
	if maxWait == 0 { // a watch may have waited through an outage: its answer proves nothing about its start
		c.advanceLastExecuted(start)
	}
	return status, answer, nil
}

// refusalError returns the error for a status with which the store refuses a request; nil for every
// other status. If the store refuses the request because it receives too many, refusalError also
// cuts the read budgets; see cutReadBudgets for body.
func (c *Client) refusalError(status int, body any) error {
	switch status {
	case http.StatusServiceUnavailable:
		return fmt.Errorf("%w: status %d", ErrRefused, status)
	case http.StatusTooManyRequests:
		c.throttledRequests.Add(1)
		c.cutReadBudgets(body)
		return ErrThrottled
	}
	return nil
}

// newRequest makes a request whose body is the JSON encoding of body; if body is nil, it has none.
func newRequest(ctx context.Context, method, url string, body any) (*http.Request, error) {
	var content io.Reader
	if body != nil {
		data, err := json.Marshal(body)
		if err != nil {
			return nil, fmt.Errorf("encode request: %w", err)
		}
		content = bytes.NewReader(data)
	}
	req, err := http.NewRequestWithContext(ctx, method, url, content)
	if err != nil {
		return nil, fmt.Errorf("make request: %w", err)
	}
	if body != nil {
		req.Header.Set("Content-Type", "application/json")
	}
	return req, nil
}

// roundTrip sends a request and reads its whole answer.
func (c *Client) roundTrip(req *http.Request) (status int, answer []byte, err error) {
	resp, err := c.http.Do(req)
	if err != nil {
		return 0, nil, err
	}
	answer, err = io.ReadAll(resp.Body)
	_ = resp.Body.Close() // the answer has been read, or the error of reading it is returned
	if err != nil {
		return 0, nil, fmt.Errorf("read answer: %w", err)
	}
	return resp.StatusCode, answer, nil
}
