// Package store speaks to the state service: reads, guarded commits, watches
// and holds, within this node's share of the service's rate limits.
package store

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"golang.org/x/time/rate"

	"lotusstile.dev/lotusstile/internal/aimd"
	"lotusstile.dev/lotusstile/wire"
)

// Errors that callers tell apart.
var (
	// ErrRefused: the service did not execute the request.
	ErrRefused = errors.New("state service refused the request")
	// ErrThrottled: it was refused since the service gets too many. It is an ErrRefused too.
	ErrThrottled = fmt.Errorf("%w: too many requests", ErrRefused)
	// ErrOutcomeUnknown: the service may have executed the request, or may do so later.
	ErrOutcomeUnknown = errors.New("outcome at the state service is unknown")
	// ErrLeaseNotFound: the hold has ended.
	ErrLeaseNotFound = errors.New("no such hold")
	// ErrPageOutOfOrder: a page of a listing does not follow on the one before.
	ErrPageOutOfOrder = errors.New("page of a listing is not in order")
	// ErrCompacted: a watch asked for changes that are no longer kept.
	ErrCompacted = errors.New("changes are no longer kept")
)

// BusyError means that a request of a user has no room in the budget now. It
// was not sent. After says when there will be room.
type BusyError struct{ RetryAfter time.Duration }

func (e *BusyError) Error() string {
	return fmt.Sprintf("no room in the budget of changes for %s", e.RetryAfter.Round(time.Millisecond))
}

// RejectedError means that the service takes a request for malformed or for larger
// than its limits allow. Sent again unchanged, it would be rejected again.
type RejectedError struct {
	Keys   []string // that the request was to change
	Detail string   // what the service said
}

func (e *RejectedError) Error() string {
	return fmt.Sprintf("state service rejected a change of %v: %.200s", e.Keys, e.Detail)
}

// ConflictError tells which guards of a commit failed.
type ConflictError struct{ Failed []string }

func (e *ConflictError) Error() string { return fmt.Sprintf("guards failed: %v", e.Failed) }

// Client is a client of the state service. It is safe for concurrent use.
type Client struct {
	base          string
	http          *http.Client
	timeout       time.Duration
	requestBudget *rate.Limiter
	recordWrites  *rate.Limiter // for records: they wait their turn
	userWrites    *rate.Limiter // for what users ask to change: it never waits
	sharedReads   *aimd.Limiter // for reads that answer many users at once
	lookups       *aimd.Limiter // for reads of single records that answer users
	lastExecuted  atomic.Int64  // start of the last answered request, as time since epoch
	created       time.Time
	// rejections counts commits that were answered 400.
	rejectedCommits   atomic.Uint64
	throttledRequests atomic.Uint64 // answers that the service gets too many requests
	outOfOrderPages   atomic.Uint64 // pages of listings that were not in order

	mu          sync.Mutex
	nextRetryAt time.Time // until when users were told to stay away
}

// RecordWriteShare is the share of the service's limit of changes that the leader
// has for records.
const RecordWriteShare = 0.6

// Shares of any node: over half of the limits. When many users come at once,
// what leaves room for records is that the service refuses the rest.
const (
	RequestShare   = 0.6
	userWriteShare = 0.6
)

// Shares of all nodes together of the limit of requests, for what users ask. With what the
// leader takes they stay below the limit: each node once asked up to RequestShare for users
// alone, and when they asked eight times as often the leader's hold was not renewed, a new
// leader could not read the records for 12 s, and users got 503.
const (
	sharedReadShare = 0.15
	lookupShare     = 0.2
)

// commitPath is where transactions are sent.
const commitPath = "/commit"

// Limits are those of the service, which all nodes share.
type Limits struct {
	RequestsPerSecond float64 // requests a second
	WritesPerSecond   float64 // changes a second
	Nodes             int     // how many share them
}

// ListPageSize is how many keys a page of a listing has at most.
const ListPageSize = 500

// overtakenDivisor of the time-out of a request is what a commit waits at least
// before it counts as overtaken.
const overtakenDivisor = 5

// New makes a client that speaks over rt.
func New(addr string, limits Limits, timeout time.Duration, rt http.RoundTripper) *Client {
	limiter := func(perS float64) *rate.Limiter { return rate.NewLimiter(rate.Limit(perS), max(1, int(perS))) }
	return &Client{
		base:          "http://" + addr,
		timeout:       timeout,
		http:          &http.Client{Transport: rt},
		requestBudget: limiter(limits.RequestsPerSecond * RequestShare),
		recordWrites:  limiter(limits.WritesPerSecond * RecordWriteShare),
		userWrites:    limiter(limits.WritesPerSecond * userWriteShare),
		sharedReads:   aimd.New(limits.RequestsPerSecond * sharedReadShare / float64(max(1, limits.Nodes))),
		lookups:       aimd.New(limits.RequestsPerSecond * lookupShare / float64(max(1, limits.Nodes))),
		created:       time.Now(),
	}
}

// SinceLastExecuted is the time since the start of the last request that the service
// executed for this node.
func (c *Client) SinceLastExecuted() time.Duration {
	p := c.lastExecuted.Load()
	if p == 0 {
		return time.Duration(1<<62 - 1)
	}
	return time.Since(c.created) - time.Duration(p)
}

// recordExecuted records that a request begun at start was executed.
func (c *Client) recordExecuted(start time.Time) {
	at := int64(start.Sub(c.created))
	for {
		old := c.lastExecuted.Load()
		if old >= at || c.lastExecuted.CompareAndSwap(old, max(at, 1)) {
			return
		}
	}
}

// call does one request. It returns the status and the body, or ErrRefused or
// ErrOutcomeUnknown.
func (c *Client) call(ctx context.Context, method, path string, body any, wait time.Duration) (int, []byte, error) {
	ctx, cancel := context.WithTimeout(ctx, c.timeout+wait)
	defer cancel()
	if err := c.waitForRequestBudget(ctx); err != nil {
		return 0, nil, err
	}
	if path == commitPath {
		var stop context.CancelFunc
		ctx, stop = c.withOvertakenCancel(ctx)
		defer stop()
	}
	var rd io.Reader
	if body != nil {
		data, err := json.Marshal(body)
		if err != nil {
			return 0, nil, fmt.Errorf("encode: %w", err)
		}
		rd = bytes.NewReader(data)
	}
	req, err := http.NewRequestWithContext(ctx, method, c.base+path, rd)
	if err != nil {
		return 0, nil, fmt.Errorf("request: %w", err)
	}
	if body != nil {
		req.Header.Set("Content-Type", "application/json")
	}
	start := time.Now()
	resp, err := c.http.Do(req)
	if err != nil {
		return 0, nil, fmt.Errorf("%w: %w", ErrOutcomeUnknown, err)
	}
	defer resp.Body.Close()
	data, err := io.ReadAll(resp.Body)
	if err != nil {
		return 0, nil, fmt.Errorf("%w: %w", ErrOutcomeUnknown, err)
	}
	switch resp.StatusCode {
	case http.StatusServiceUnavailable:
		return resp.StatusCode, nil, fmt.Errorf("%w: status %d", ErrRefused, resp.StatusCode)
	case http.StatusTooManyRequests:
		c.onThrottled(body)
		return resp.StatusCode, nil, ErrThrottled
	}
	c.onExecuted(ctx)
	if wait == 0 { // a watch may have waited through an outage: it proves nothing
		c.recordExecuted(start)
	}
	return resp.StatusCode, data, nil
}

// Get reads one key; ok is false if it does not exist.
func (c *Client) Get(ctx context.Context, key string) (item wire.KeyValue, ok bool, err error) {
	status, data, err := c.call(ctx, http.MethodGet, "/kv/"+key, nil, 0)
	if err != nil {
		return wire.KeyValue{}, false, fmt.Errorf("get %s: %w", key, err)
	}
	switch status {
	case http.StatusOK:
		if err := wire.Decode(data, &item); err != nil {
			return wire.KeyValue{}, false, fmt.Errorf("get %s: %w", key, err)
		}
		return item, true, nil
	case http.StatusNotFound:
		return wire.KeyValue{}, false, nil
	}
	return wire.KeyValue{}, false, fmt.Errorf("get %s: status %d", key, status)
}

// List reads all keys under a prefix. The epoch is that of the first page:
// whoever watches from there sees every later change.
func (c *Client) List(ctx context.Context, under string) ([]wire.KeyValue, uint64, error) {
	var rows []wire.KeyValue
	var revision uint64
	after := ""
	for {
		q := url.Values{"Under": {under}, "Most": {strconv.Itoa(ListPageSize)}}
		if after != "" {
			q.Set("After", after)
		}
		status, data, err := c.call(ctx, http.MethodGet, "/kv?"+q.Encode(), nil, 0)
		if err != nil {
			return nil, 0, fmt.Errorf("list %s: %w", under, err)
		}
		if status != http.StatusOK {
			return nil, 0, fmt.Errorf("list %s: status %d", under, status)
		}
		var page wire.KeyValueList
		if err := wire.Decode(data, &page); err != nil {
			return nil, 0, fmt.Errorf("list %s: %w", under, err)
		}
		if revision == 0 {
			revision = page.Revision
		}
		if err := checkPage(&page, under, after); err != nil {
			c.outOfOrderPages.Add(1)
			return nil, 0, fmt.Errorf("list %s: %w", under, err)
		}
		rows = append(rows, page.KeyValues...)
		if !page.More {
			return rows, revision, nil
		}
		after = page.KeyValues[len(page.KeyValues)-1].Key
	}
}

// checkPage refuses a page of a listing that repeats or leaves out keys, as far as it tells: a
// new leader would not know of what they hold.
func checkPage(page *wire.KeyValueList, under, after string) error {
	if page.More && len(page.KeyValues) == 0 {
		return fmt.Errorf("%w: it is empty, and there are more", ErrPageOutOfOrder)
	}
	for i := range page.KeyValues {
		key := page.KeyValues[i].Key
		if key <= after || !strings.HasPrefix(key, under) {
			return fmt.Errorf("%w: %q follows on %q", ErrPageOutOfOrder, key, after)
		}
		after = key
	}
	return nil
}

// withOvertakenCancel makes a context that ends when a request is withOvertakenCancel: requests that
// were begun well after it have been answered, and it has not. Its answer is then
// lost or the service holds it up, and waiting on would only hold up what waits
// for the outcome. While nothing else is answered either, as on a slow node or
// link, it says nothing: giving up would only add requests.
func (c *Client) withOvertakenCancel(ctx context.Context) (context.Context, context.CancelFunc) {
	ctx, cancel := context.WithCancel(ctx)
	begun := time.Since(c.created)
	patience := c.timeout / overtakenDivisor
	var look func()
	var mu sync.Mutex
	var timer *time.Timer
	look = func() {
		mu.Lock()
		defer mu.Unlock()
		if time.Duration(c.lastExecuted.Load()) > begun+patience/2 {
			cancel()
		} else if ctx.Err() == nil {
			timer = time.AfterFunc(patience/4, look)
		}
	}
	mu.Lock()
	defer mu.Unlock()
	timer = time.AfterFunc(patience, look)
	return ctx, func() {
		cancel()
		mu.Lock()
		defer mu.Unlock()
		timer.Stop()
	}
}

// Commit applies a guarded transaction and returns its epoch. Its error is a
// *ConflictError, *BusyError, *RejectedError, ErrLeaseNotFound, ErrRefused (nothing happened) or
// ErrOutcomeUnknown.
func (c *Client) Commit(ctx context.Context, tx wire.Transaction) (uint64, error) {
	if n := len(tx.Changes); n > 0 {
		if err := c.reserveWrites(ctx, n); err != nil {
			return 0, fmt.Errorf("commit: %w", err)
		}
	}
	if tx.Compares == nil {
		tx.Compares = []wire.Compare{}
	}
	if tx.Changes == nil {
		tx.Changes = []wire.Change{}
	}
	status, data, err := c.call(ctx, http.MethodPost, commitPath, tx, 0)
	if err != nil {
		return 0, fmt.Errorf("commit: %w", err)
	}
	var reply wire.TransactionResponse
	switch status {
	case http.StatusOK, http.StatusConflict:
		if err := wire.Decode(data, &reply); err != nil {
			return 0, fmt.Errorf("commit: %w: %w", ErrOutcomeUnknown, err)
		}
		if status == http.StatusConflict {
			return 0, &ConflictError{Failed: reply.Failed}
		}
		return reply.Revision, nil
	case http.StatusBadRequest:
		if bytes.Contains(data, []byte("lease")) || bytes.Contains(data, []byte("hold")) {
			return 0, fmt.Errorf("commit: %w", ErrLeaseNotFound)
		}
		c.rejectedCommits.Add(1)
		return 0, fmt.Errorf("commit: %w", &RejectedError{Keys: changedKeys(tx), Detail: string(data)})
	}
	return 0, fmt.Errorf("commit: %w: status %d: %.200s", ErrRefused, status, data)
}

// changedKeys names what a transaction changes.
func changedKeys(tx wire.Transaction) []string {
	keys := make([]string, 0, len(tx.Changes))
	for _, change := range tx.Changes {
		keys = append(keys, change.Set+change.Drop)
	}
	return keys
}

// RejectedCommits counts the commits that the service has rejected as malformed or too large.
func (c *Client) RejectedCommits() uint64 { return c.rejectedCommits.Load() }

// ThrottledRequests counts the answers that the service gets too many requests.
func (c *Client) ThrottledRequests() uint64 { return c.throttledRequests.Load() }

// OutOfOrderPages counts the pages of listings that were not in order.
func (c *Client) OutOfOrderPages() uint64 { return c.outOfOrderPages.Load() }

// Watch waits up to hold for changes under a prefix after an epoch.
func (c *Client) Watch(ctx context.Context, under string, after uint64, wait time.Duration) (wire.WatchResponse, error) {
	q := url.Values{"Under": {under}, "After": {strconv.FormatUint(after, 10)},
		"HoldMs": {strconv.FormatInt(wait.Milliseconds(), 10)}}
	status, data, err := c.call(ctx, http.MethodGet, "/changes?"+q.Encode(), nil, wait)
	if err != nil {
		return wire.WatchResponse{}, fmt.Errorf("watch %s: %w", under, err)
	}
	switch status {
	case http.StatusOK:
		var ch wire.WatchResponse
		if err := wire.Decode(data, &ch); err != nil {
			return wire.WatchResponse{}, fmt.Errorf("watch %s: %w", under, err)
		}
		return ch, nil
	case http.StatusGone:
		return wire.WatchResponse{}, ErrCompacted
	}
	return wire.WatchResponse{}, fmt.Errorf("watch %s: status %d", under, status)
}

// GrantLease opens a hold that ends unless it is touched within ttl.
func (c *Client) GrantLease(ctx context.Context, ttl time.Duration) (uint64, error) {
	status, data, err := c.call(ctx, http.MethodPost, "/holds", wire.LeaseRequest{TTLMs: ttl.Milliseconds()}, 0)
	if err != nil {
		return 0, fmt.Errorf("open hold: %w", err)
	}
	var h wire.Lease
	if status != http.StatusOK {
		return 0, fmt.Errorf("open hold: status %d", status)
	}
	if err := wire.Decode(data, &h); err != nil {
		return 0, fmt.Errorf("open hold: %w", err)
	}
	return h.LeaseID, nil
}

// RenewLease renews a hold.
func (c *Client) RenewLease(ctx context.Context, leaseID uint64) error {
	status, _, err := c.call(ctx, http.MethodPost, "/holds/"+strconv.FormatUint(leaseID, 10)+"/touch", nil, 0)
	if err != nil {
		return fmt.Errorf("touch hold: %w", err)
	}
	switch status {
	case http.StatusOK, http.StatusNoContent:
		return nil
	case http.StatusNotFound:
		return fmt.Errorf("touch hold: %w", ErrLeaseNotFound)
	}
	return fmt.Errorf("touch hold: status %d", status)
}

// RevokeLease ends a hold at once.
func (c *Client) RevokeLease(ctx context.Context, leaseID uint64) error {
	_, _, err := c.call(ctx, http.MethodDelete, "/holds/"+strconv.FormatUint(leaseID, 10), nil, 0)
	if err != nil {
		return fmt.Errorf("close hold: %w", err)
	}
	return nil
}
