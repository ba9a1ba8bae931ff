// Package store is a client of the state store, a consensus-backed key-value store: reads,
// transactions, watches and leases, within this node's share of the store's rate limits.
//
// Requests go by priority lanes (WithUrgentLane and the others) that share the node's budget. The
// errors tell what a caller may conclude about a request that failed; see ErrRefused.
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

// neverExecuted is the age of the last executed request before there is one.
const neverExecuted = time.Duration(math.MaxInt64 / 2)

// Client is a client of the state store. It is safe for concurrent use.
type Client struct {
	base    string // scheme and address: "http://host:port"
	http    *http.Client
	timeout time.Duration // see New
	budget  budget

	// created is the origin of lastExecuted.
	created time.Time
	// lastExecuted is the start of the latest-begun request that the store has executed, in
	// nanoseconds since created; 0 before the first one.
	lastExecuted atomic.Int64

	rejectedCommits   atomic.Uint64 // see RejectedCommits
	throttledRequests atomic.Uint64 // see ThrottledRequests
	outOfOrderPages   atomic.Uint64 // see OutOfOrderPages

	mu sync.Mutex
	// nextRetryAt is the earliest retry time to give to the next refused user; see
	// nextRetryAfter. mu guards it.
	nextRetryAt time.Time
}

// New makes a client of the store at addr (host:port) that sends its requests over rt.
//
// timeout bounds one request, with the wait for this node's request budget. Two calls may take
// longer: a watch, by the time that it waits for a change, and a commit, which may wait for the
// write budget for up to another timeout first.
func New(addr string, limits Limits, timeout time.Duration, rt http.RoundTripper) *Client {
	return &Client{
		base:    "http://" + addr,
		http:    &http.Client{Transport: rt},
		timeout: timeout,
		budget:  newBudget(limits),
		created: time.Now(),
	}
}

// SinceLastExecuted returns the time since the start of the latest-begun request that the store
// has executed for this node, which is the proof that this node reaches the store. Before the
// first one it is longer than any time limit. Every answer but 429 and 503 counts as executed;
// answers to watches do not count.
func (c *Client) SinceLastExecuted() time.Duration {
	last := c.lastExecuted.Load()
	if last == 0 {
		return neverExecuted
	}
	return time.Since(c.created) - time.Duration(last)
}

// advanceLastExecuted moves lastExecuted up to start, the start of a request that the store has
// executed. It never moves back: requests may end in another order than they began.
func (c *Client) advanceLastExecuted(start time.Time) {
	at := int64(start.Sub(c.created))
	for {
		old := c.lastExecuted.Load()
		if old >= at || c.lastExecuted.CompareAndSwap(old, max(at, 1)) {
			return
		}
	}
}

// RejectedCommits counts the commits that ended with a *RejectedError: the store takes them for
// malformed or too large.
func (c *Client) RejectedCommits() uint64 { return c.rejectedCommits.Load() }

// ThrottledRequests counts the requests that ended with ErrThrottled: the store gets too many.
func (c *Client) ThrottledRequests() uint64 { return c.throttledRequests.Load() }

// OutOfOrderPages counts the listings that ended with ErrPageOutOfOrder.
func (c *Client) OutOfOrderPages() uint64 { return c.outOfOrderPages.Load() }

// call waits for the request budget, sends one request, and returns the status and the body of
// its answer. Its error wraps ErrRefused or ErrOutcomeUnknown; if the request cannot even be
// encoded it wraps neither. The error is nil for every other status: the caller tells them apart.
// watchFor is how long the store may wait for a change before it answers; 0 for all requests but
// watches.
func (c *Client) call(
	ctx context.Context, method, path string, body any, watchFor time.Duration,
) (status int, answer []byte, err error) {
	ctx, cancel := context.WithTimeout(ctx, c.timeout+watchFor)
	defer cancel()
	if err := c.waitForRequestBudget(ctx); err != nil {
		return 0, nil, err
	}
	if path == commitPath {
		var stop context.CancelFunc
		ctx, stop = c.withOvertakenCancel(ctx)
		defer stop()
	}
	req, err := newRequest(ctx, method, c.base+path, body)
	if err != nil {
		return 0, nil, err
	}
	start := time.Now()
	status, answer, err = c.roundTrip(req)
	if err != nil {
		return 0, nil, fmt.Errorf("%w: %w", ErrOutcomeUnknown, err)
	}
	if err := c.refusalOf(status, body); err != nil {
		return status, nil, err
	}
	c.growReadBudget(ctx)
	if watchFor == 0 { // a watch may have waited through an outage: its answer proves nothing about its start
		c.advanceLastExecuted(start)
	}
	return status, answer, nil
}

// refusalOf returns the error for a status by which the store refuses a request with body, and
// cuts the read budgets if that is for too many requests; nil for every other status.
func (c *Client) refusalOf(status int, body any) error {
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

// newRequest makes a request with body as JSON; nil is no body.
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
