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
	base    string // URL without a path
	http    *http.Client
	timeout time.Duration // of one request, without what a watch waits for
	budget  budget

	// created is what lastExecuted counts from.
	created time.Time
	// lastExecuted is the start of the latest request that the store executed, in nanoseconds
	// since created; 0 if there is none.
	lastExecuted atomic.Int64

	rejectedCommits   atomic.Uint64 // commits that were answered 400
	throttledRequests atomic.Uint64 // requests that were answered 429
	outOfOrderPages   atomic.Uint64 // pages of listings that did not continue the page before

	mu          sync.Mutex
	nextRetryAt time.Time // the earliest time that the next refused user is told to come back at
}

// New makes a client of the store at addr (host:port) that sends its requests over rt. timeout is
// for one request, the wait for its budget included.
func New(addr string, limits Limits, timeout time.Duration, rt http.RoundTripper) *Client {
	return &Client{
		base:    "http://" + addr,
		http:    &http.Client{Transport: rt},
		timeout: timeout,
		budget:  newBudget(limits),
		created: time.Now(),
	}
}

// SinceLastExecuted returns the time since the start of the latest request that the store
// executed for this node: the proof that the store is reached. Before the first one it is longer
// than any time limit.
func (c *Client) SinceLastExecuted() time.Duration {
	last := c.lastExecuted.Load()
	if last == 0 {
		return neverExecuted
	}
	return time.Since(c.created) - time.Duration(last)
}

// recordExecuted records that the store executed a request begun at start. Requests may end in
// another order than they began: the latest start stays.
func (c *Client) recordExecuted(start time.Time) {
	at := int64(start.Sub(c.created))
	for {
		old := c.lastExecuted.Load()
		if old >= at || c.lastExecuted.CompareAndSwap(old, max(at, 1)) {
			return
		}
	}
}

// RejectedCommits counts the commits that the store has rejected as malformed or too large.
func (c *Client) RejectedCommits() uint64 { return c.rejectedCommits.Load() }

// ThrottledRequests counts the requests that the store refused because it gets too many.
func (c *Client) ThrottledRequests() uint64 { return c.throttledRequests.Load() }

// OutOfOrderPages counts the pages of listings that did not continue the page before.
func (c *Client) OutOfOrderPages() uint64 { return c.outOfOrderPages.Load() }

// call sends one request and returns the status and the body of its answer. Its error wraps
// ErrRefused or ErrOutcomeUnknown. watchFor is how long the store may wait for a change before it
// answers; 0 for all requests but watches.
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
	switch status {
	case http.StatusServiceUnavailable:
		return status, nil, fmt.Errorf("%w: status %d", ErrRefused, status)
	case http.StatusTooManyRequests:
		c.onThrottled(body)
		return status, nil, ErrThrottled
	}
	c.onExecuted(ctx)
	if watchFor == 0 { // a watch may have waited through an outage: its answer proves nothing about its start
		c.recordExecuted(start)
	}
	return status, answer, nil
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
