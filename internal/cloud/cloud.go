// Package cloud speaks to the service that rents machines.
package cloud

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
	"sync/atomic"
	"time"

	"golang.org/x/time/rate"

	"lotusstile.dev/lotusstile/wire"
)

// Errors that callers tell apart.
var (
	// ErrNoCapacity means that none of the machines asked for can be had now.
	ErrNoCapacity = errors.New("no capacity")
	// ErrPageOutOfOrder means that a page of the machine list does not follow on the one before: a list
	// that is put together with it could lack machines.
	ErrPageOutOfOrder = errors.New("page of the machine list is not in order")
)

// Client is a client of the cloud. It is safe for concurrent use.
type Client struct {
	base    string
	http    *http.Client
	timeout time.Duration
	calls   *rate.Limiter
	refused atomic.Uint64 // pages that were not in order
	lists   *rate.Limiter // for pages of the machine list: they leave calls for rentals and returns
}

const (
	// pageSize is how many machines a page of the list has at most.
	pageSize = 500
	// callShare is the share of the cloud's limit of calls that one node uses.
	callShare = 0.7
	// listShare is the share of the calls that pages of the list may take: at 6,000 machines a
	// list has twelve, and without a bound they took every call that there is.
	listShare = 0.5
	// pageAttempts is how often a page is asked for.
	pageAttempts = 3
)

// New makes a client that speaks over rt, to a cloud that allows rps calls a second.
func New(addr string, rps float64, timeout time.Duration, rt http.RoundTripper) *Client {
	rps *= callShare
	return &Client{
		base: "http://" + addr, timeout: timeout,
		http:  &http.Client{Transport: rt},
		calls: rate.NewLimiter(rate.Limit(rps), max(1, int(rps))),
		lists: rate.NewLimiter(rate.Limit(rps*listShare), max(1, int(rps*listShare))),
	}
}

func (c *Client) call(ctx context.Context, method, path string, body, out any) (int, error) {
	ctx, cancel := context.WithTimeout(ctx, c.timeout)
	defer cancel()
	if err := c.calls.Wait(ctx); err != nil {
		return 0, fmt.Errorf("over the call budget: %w", err)
	}
	var rd io.Reader
	if body != nil {
		data, err := json.Marshal(body)
		if err != nil {
			return 0, fmt.Errorf("encode: %w", err)
		}
		rd = bytes.NewReader(data)
	}
	req, err := http.NewRequestWithContext(ctx, method, c.base+path, rd)
	if err != nil {
		return 0, fmt.Errorf("request: %w", err)
	}
	if body != nil {
		req.Header.Set("Content-Type", "application/json")
	}
	resp, err := c.http.Do(req)
	if err != nil {
		return 0, err
	}
	defer resp.Body.Close()
	data, err := io.ReadAll(resp.Body)
	if err != nil {
		return 0, fmt.Errorf("read answer: %w", err)
	}
	if resp.StatusCode == http.StatusOK && out != nil {
		if err := wire.Decode(data, out); err != nil {
			return 0, fmt.Errorf("decode answer: %w", err)
		}
	}
	if resp.StatusCode == http.StatusServiceUnavailable && bytes.Contains(data, []byte("no capacity")) {
		return resp.StatusCode, ErrNoCapacity
	}
	return resp.StatusCode, nil
}

func (c *Client) callOK(ctx context.Context, method, path string, body, out any) error {
	status, err := c.call(ctx, method, path, body, out)
	if err != nil {
		return err
	}
	if status != http.StatusOK {
		return fmt.Errorf("status %d", status)
	}
	return nil
}

// Catalog reads the machine types and their current prices.
func (c *Client) Catalog(ctx context.Context) (wire.Catalog, error) {
	var cat wire.Catalog
	if err := c.callOK(ctx, http.MethodGet, "/catalog", nil, &cat); err != nil {
		return cat, fmt.Errorf("catalog: %w", err)
	}
	return cat, nil
}

// Provision asks for machines. The same Booking may be sent again: it rents once.
func (c *Client) Provision(ctx context.Context, r wire.ProvisionRequest) ([]string, error) {
	var names wire.HostNames
	if err := c.callOK(ctx, http.MethodPost, "/machines", r, &names); err != nil {
		return nil, fmt.Errorf("rent %s: %w", r.RequestID, err)
	}
	return names.Hosts, nil
}

// Return gives machines back. A nil error proves that they and all on them are
// gone.
func (c *Client) Return(ctx context.Context, hosts []string) error {
	if err := c.callOK(ctx, http.MethodPost, "/machines/return", wire.HostNames{Hosts: hosts}, nil); err != nil {
		return fmt.Errorf("return %d machines: %w", len(hosts), err)
	}
	return nil
}

// List reads the whole machine list, page by page. A page that fails is asked for again
// before the list is given up.
func (c *Client) List(ctx context.Context) ([]wire.ListedHost, error) {
	var all []wire.ListedHost
	after := ""
	for {
		page, err := c.readPage(ctx, after)
		for attempt := 1; err != nil && attempt < pageAttempts && ctx.Err() == nil; attempt++ {
			page, err = c.readPage(ctx, after)
		}
		if err != nil {
			return nil, fmt.Errorf("list machines after %q: %w", after, err)
		}
		all = append(all, page.Hosts...)
		if !page.More {
			return all, nil
		}
		after = page.Hosts[len(page.Hosts)-1].UID
	}
}

// MinListDuration is the least time that a list of so many machines takes within the calls that
// lists may use.
func (c *Client) MinListDuration(machines int) time.Duration {
	pages := machines/pageSize + 1
	return time.Duration(float64(pages) / float64(c.lists.Limit()) * float64(time.Second))
}

// MaxListable is of how many machines a list can be read in a time, within the calls that lists
// may use of a limit of rps.
func MaxListable(rps float64, within time.Duration) int {
	return int(rps*callShare*listShare*within.Seconds()) * pageSize
}

// readPage reads one page of the machine list.
func (c *Client) readPage(ctx context.Context, after string) (wire.HostList, error) {
	if err := c.lists.Wait(ctx); err != nil {
		return wire.HostList{}, fmt.Errorf("over the budget of lists: %w", err)
	}
	query := url.Values{"Most": {strconv.Itoa(pageSize)}}
	if after != "" {
		query.Set("After", after)
	}
	var page wire.HostList
	if err := c.callOK(ctx, http.MethodGet, "/machines?"+query.Encode(), nil, &page); err != nil {
		return page, err
	}
	err := checkPage(&page, after)
	if err != nil {
		c.refused.Add(1)
	}
	return page, err
}

// RefusedPages counts the pages of the machine list that were not in order.
func (c *Client) RefusedPages() uint64 { return c.refused.Load() }

// checkPage refuses a page that repeats or leaves out machines, as far as it tells.
func checkPage(page *wire.HostList, after string) error {
	if len(page.Hosts) > pageSize {
		return fmt.Errorf("%w: %d machines", ErrPageOutOfOrder, len(page.Hosts))
	}
	if page.More && len(page.Hosts) == 0 {
		return fmt.Errorf("%w: it is empty, and there are more", ErrPageOutOfOrder)
	}
	for i := range page.Hosts {
		id := page.Hosts[i].UID
		if !isCreatedAfter(after, id) {
			return fmt.Errorf("%w: %q follows on %q", ErrPageOutOfOrder, id, after)
		}
		after = id
	}
	return nil
}

// isCreatedAfter reports whether a machine was created after another one, by their names: a longer
// name is newer, since numbers grow.
func isCreatedAfter(earlier, later string) bool {
	return earlier < later || len(earlier) < len(later)
}
