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

// ListPageSize is the maximum number of keys in a page of a listing.
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

// List reads all keys under a prefix, page by page. It returns the revision of the first page, so that
// a watch from this revision on returns every later change, also those that the later pages missed.
func (c *Client) List(ctx context.Context, prefix string) (items []wire.KeyValue, revision uint64, err error) {
	afterKey := ""
	for {
		page, err := c.listPage(ctx, prefix, afterKey)
		if err != nil {
			return nil, 0, fmt.Errorf("list %s: %w", prefix, err)
		}
		if revision == 0 {
			revision = page.Revision
		}
		if err := checkPage(page, prefix, afterKey); err != nil {
			c.outOfOrderPages.Add(1)
			return nil, 0, fmt.Errorf("list %s: %w", prefix, err)
		}
		items = append(items, page.KeyValues...)
		if !page.More {
			return items, revision, nil
		}
		afterKey = page.KeyValues[len(page.KeyValues)-1].Key
	}
}

// ListFirstPage reads the first page of the keys under a prefix; complete is false if there are more.
func (c *Client) ListFirstPage(ctx context.Context, prefix string) (items []wire.KeyValue, complete bool, err error) {
	page, err := c.listPage(ctx, prefix, "")
	if err == nil {
		err = checkPage(page, prefix, "")
	}
	if err != nil {
		return nil, false, fmt.Errorf("list %s: %w", prefix, err)
	}
	return page.KeyValues, !page.More, nil
}

// listPage reads the page of a listing that starts after afterKey, or the first page if that is empty.
func (c *Client) listPage(ctx context.Context, prefix, afterKey string) (*wire.KeyValueList, error) {
	query := url.Values{"Under": {prefix}, "Most": {strconv.Itoa(ListPageSize)}}
	if afterKey != "" {
		query.Set("After", afterKey)
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

// checkPage returns an error that wraps ErrPageOutOfOrder if a page visibly repeats or omits keys. A
// leader that used such a page could miss the records of the omitted keys.
func checkPage(page *wire.KeyValueList, prefix, afterKey string) error {
	if page.More && len(page.KeyValues) == 0 {
		return fmt.Errorf("%w: the page is empty but not the last one", ErrPageOutOfOrder)
	}
	for i := range page.KeyValues {
		key := page.KeyValues[i].Key
		if key <= afterKey || !strings.HasPrefix(key, prefix) {
			return fmt.Errorf("%w: key %q follows %q", ErrPageOutOfOrder, key, afterKey)
		}
		afterKey = key
	}
	return nil
}
