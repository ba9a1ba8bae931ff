package store

import (
	"context"
	"fmt"
	"net/http"
	"net/url"
	"strconv"
	"strings"

	"lotusstile.dev/lotusstile/wire"
)

// ListPageSize is how many keys a page of a listing has at most.
const ListPageSize = 500

// Get reads one key; found is false if the key does not exist.
func (c *Client) Get(ctx context.Context, key string) (item wire.KeyValue, found bool, err error) {
	status, answer, err := c.call(ctx, http.MethodGet, "/kv/"+key, nil, 0)
	if err != nil {
		return wire.KeyValue{}, false, fmt.Errorf("get %s: %w", key, err)
	}
	switch status {
	case http.StatusOK:
		if err := wire.Decode(answer, &item); err != nil {
			return wire.KeyValue{}, false, fmt.Errorf("get %s: %w", key, err)
		}
		return item, true, nil
	case http.StatusNotFound:
		return wire.KeyValue{}, false, nil
	}
	return wire.KeyValue{}, false, fmt.Errorf("get %s: status %d", key, status)
}

// List reads all keys under a prefix, page by page. The revision is that of the first page: a
// watch from there sees every later change.
func (c *Client) List(ctx context.Context, prefix string) (items []wire.KeyValue, revision uint64, err error) {
	after := ""
	for {
		page, err := c.listPage(ctx, prefix, after)
		if err != nil {
			return nil, 0, fmt.Errorf("list %s: %w", prefix, err)
		}
		if revision == 0 {
			revision = page.Revision
		}
		if err := checkPage(page, prefix, after); err != nil {
			c.outOfOrderPages.Add(1)
			return nil, 0, fmt.Errorf("list %s: %w", prefix, err)
		}
		items = append(items, page.KeyValues...)
		if !page.More {
			return items, revision, nil
		}
		after = page.KeyValues[len(page.KeyValues)-1].Key
	}
}

// listPage reads the page of a listing that starts behind the key after.
func (c *Client) listPage(ctx context.Context, prefix, after string) (*wire.KeyValueList, error) {
	query := url.Values{"Under": {prefix}, "Most": {strconv.Itoa(ListPageSize)}}
	if after != "" {
		query.Set("After", after)
	}
	status, answer, err := c.call(ctx, http.MethodGet, "/kv?"+query.Encode(), nil, 0)
	if err != nil {
		return nil, err
	}
	if status != http.StatusOK {
		return nil, fmt.Errorf("status %d", status)
	}
	var page wire.KeyValueList
	if err := wire.Decode(answer, &page); err != nil {
		return nil, err
	}
	return &page, nil
}

// checkPage returns ErrPageOutOfOrder for a page that repeats or leaves out keys, as far as the
// page shows it: a new leader would not know of the records under them.
func checkPage(page *wire.KeyValueList, prefix, after string) error {
	if page.More && len(page.KeyValues) == 0 {
		return fmt.Errorf("%w: it is empty, and there are more", ErrPageOutOfOrder)
	}
	for i := range page.KeyValues {
		key := page.KeyValues[i].Key
		if key <= after || !strings.HasPrefix(key, prefix) {
			return fmt.Errorf("%w: %q follows on %q", ErrPageOutOfOrder, key, after)
		}
		after = key
	}
	return nil
}
