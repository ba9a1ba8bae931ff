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
	// listShare is the share of this node's calls that pages of the list may take: at 6,000 machines a
	// list has twelve pages, which without a limit took every call.
	listShare = 0.5
	// pageAttempts is how many times a page is requested before the list fails.
	pageAttempts = 3
)

// List reads the whole machine list, page by page. If a page fails pageAttempts times the list fails,
// with an error that wraps that of the page and names the machine after which it begins.
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

// MinListDuration returns the time that a list of so many machines takes at the rate at which pages may
// be requested.
func (c *Client) MinListDuration(machines int) time.Duration {
	pages := machines/pageSize + 1
	return time.Duration(float64(pages) / float64(c.lists.Limit()) * float64(time.Second))
}

// MaxListable returns the number of machines that can be listed within a time, at the rate at which one
// node may request pages of a cloud that allows callsPerSecond.
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

// checkPage refuses a page that visibly repeats or omits machines. The error wraps ErrPageOutOfOrder.
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
// they end in a number that grows, so a longer name is newer too.
func isCreatedAfter(earlier, later string) bool {
	return earlier < later || len(earlier) < len(later)
}
