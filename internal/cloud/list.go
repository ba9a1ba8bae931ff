package cloud

import (
	"context"
	"fmt"
	"net/http"
	"net/url"
	"strconv"
	"time"

	"lotusstile.dev/lotusstile/wire"
)

const (
	// pageSize is the most machines that a page of the list has.
	pageSize = 500
	// listShare is the share of the calls that pages of the list may take: at 6,000 machines a
	// list has twelve, and without a limit they took every call that there is.
	listShare = 0.5
	// pageAttempts is how often a page is requested before the list is given up.
	pageAttempts = 3
)

// List reads the whole machine list, page by page. A page that fails is requested again
// before the list is given up; an error then wraps that of the page.
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

// MinListDuration returns the least time that a list of so many machines takes within the calls that
// lists may use.
func (c *Client) MinListDuration(machines int) time.Duration {
	pages := machines/pageSize + 1
	return time.Duration(float64(pages) / float64(c.lists.Limit()) * float64(time.Second))
}

// MaxListable returns of how many machines a list can be read within a time, with the calls that lists
// may use of a cloud that allows callsPerSecond.
func MaxListable(callsPerSecond float64, within time.Duration) int {
	return int(callsPerSecond*callShare*listShare*within.Seconds()) * pageSize
}

// readPage reads the page of the machine list that begins after a machine; "" for the first page.
func (c *Client) readPage(ctx context.Context, after string) (wire.HostList, error) {
	if err := c.lists.Wait(ctx); err != nil {
		return wire.HostList{}, fmt.Errorf("over the call budget of lists: %w", err)
	}
	query := url.Values{"Most": {strconv.Itoa(pageSize)}}
	if after != "" {
		query.Set("After", after)
	}
	var page wire.HostList
	if err := c.call(ctx, http.MethodGet, "/machines?"+query.Encode(), nil, &page); err != nil {
		return page, err
	}
	err := checkPage(&page, after)
	if err != nil {
		c.refused.Add(1)
	}
	return page, err
}

// RefusedPages returns how many pages of the machine list were not in order.
func (c *Client) RefusedPages() uint64 { return c.refused.Load() }

// checkPage refuses a page that repeats or leaves out machines, as far as that can be seen. An error
// wraps ErrPageOutOfOrder.
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

// isCreatedAfter reports whether the later machine was created after the earlier one, by their names:
// a longer name is newer, since numbers grow.
func isCreatedAfter(earlier, later string) bool {
	return earlier < later || len(earlier) < len(later)
}
