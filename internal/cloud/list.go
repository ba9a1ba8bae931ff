package cloud

import (
	"cmp"
	"context"
	"fmt"
	"net/http"
	"net/url"
	"strconv"
	"strings"
	"time"

	"lotusstile.dev/lotusstile/wire"
)

const (
	// pageSize is the maximum number of machines in a page of the machine list.
	pageSize = 500
	// listShare is the share of this node's calls that may be used for pages of the machine list. A list
	// of 6,000 machines has twelve pages; without this limit, lists used up all calls.
	listShare = 0.5
	// pageAttempts is how many times a page is requested before the list fails.
	pageAttempts = 3
)

// List reads the whole machine list, page by page. If a page fails pageAttempts times, List returns an
// error that wraps the error of the page and names the machine after which the page starts.
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

// MinListDuration returns how long it takes to list a number of machines at the rate at which this node may
// request pages.
func (c *Client) MinListDuration(machines int) time.Duration {
	pages := machines/pageSize + 1
	return time.Duration(float64(pages) / float64(c.pageLimiter.Limit()) * float64(time.Second))
}

// MachinesListableWithin returns how many machines one node can list within a time, at the rate at which it may request
// pages from a cloud that allows callsPerSecond.
func MachinesListableWithin(callsPerSecond float64, within time.Duration) int {
	return int(callsPerSecond*callShare*listShare*within.Seconds()) * pageSize
}

// readPage reads the page of the machine list that starts after a machine, or the first page if after is "".
func (c *Client) readPage(ctx context.Context, after string) (wire.HostList, error) {
	if err := c.pageLimiter.Wait(ctx); err != nil {
		return wire.HostList{}, fmt.Errorf("over the rate limit of machine list pages: %w", err)
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
		c.outOfOrderPages.Add(1)
	}
	return page, err
}

// OutOfOrderPages returns how many pages of the machine list were refused because they were out of order.
func (c *Client) OutOfOrderPages() uint64 { return c.outOfOrderPages.Load() }

// checkPage returns an error that wraps ErrPageOutOfOrder if a page visibly repeats or omits machines. after
// is the last machine of the previous page, or "" for the first page.
func checkPage(page *wire.HostList, after string) error {
	if len(page.Hosts) > pageSize {
		return fmt.Errorf("%w: the page has %d machines, more than %d", ErrPageOutOfOrder, len(page.Hosts), pageSize)
	}
	if page.More && len(page.Hosts) == 0 {
		return fmt.Errorf("%w: the page is empty but not the last one", ErrPageOutOfOrder)
	}
	for i := range page.Hosts {
		id := page.Hosts[i].UID
		if !isCreatedAfter(after, id) {
			return fmt.Errorf("%w: machine %q follows %q", ErrPageOutOfOrder, id, after)
		}
		after = id
	}
	return nil
}

// isCreatedAfter reports whether the later machine was created after the earlier one, by their names. Names with the
// same prefix end in an increasing number, which need not have the same number of digits. Other names are taken to be
// in order if they are sorted or become longer.
func isCreatedAfter(earlier, later string) bool {
	earlierPrefix, earlierNumber := splitName(earlier)
	laterPrefix, laterNumber := splitName(later)
	if earlierPrefix == laterPrefix && earlierNumber != "" && laterNumber != "" {
		return cmp.Or(cmp.Compare(len(earlierNumber), len(laterNumber)), cmp.Compare(earlierNumber, laterNumber)) < 0
	}
	return earlier < later || len(earlier) < len(later)
}

// splitName splits a machine's name into a prefix and the digits of the number that it ends in, without leading zeros.
func splitName(name string) (prefix, number string) {
	prefix = strings.TrimRight(name, "0123456789")
	number = name[len(prefix):]
	if trimmed := strings.TrimLeft(number, "0"); trimmed != "" || number == "" {
		return prefix, trimmed
	}
	return prefix, "0"
}
