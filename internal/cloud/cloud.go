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
	"time"

	"golang.org/x/time/rate"

	"lotusstile.dev/lotusstile/wire"
)

// ErrNoCapacity means that none of the machines asked for can be had now.
var ErrNoCapacity = errors.New("no capacity")

// Client is a client of the cloud. It is safe for concurrent use.
type Client struct {
	base    string
	http    *http.Client
	timeout time.Duration
	calls   *rate.Limiter
}

// New makes a client that speaks over rt and makes at most rps calls a second.
func New(addr string, rps float64, timeout time.Duration, rt http.RoundTripper) *Client {
	return &Client{
		base: "http://" + addr, timeout: timeout,
		http:  &http.Client{Transport: rt},
		calls: rate.NewLimiter(rate.Limit(rps), max(1, int(rps))),
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

func (c *Client) must(ctx context.Context, method, path string, body, out any) error {
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
	if err := c.must(ctx, http.MethodGet, "/catalog", nil, &cat); err != nil {
		return cat, fmt.Errorf("catalog: %w", err)
	}
	return cat, nil
}

// Rent asks for machines. The same Booking may be sent again: it rents once.
func (c *Client) Rent(ctx context.Context, r wire.RentRequest) ([]string, error) {
	var names wire.HostNames
	if err := c.must(ctx, http.MethodPost, "/machines", r, &names); err != nil {
		return nil, fmt.Errorf("rent %s: %w", r.Booking, err)
	}
	return names.Hosts, nil
}

// Return gives machines back. A nil error proves that they and all on them are
// gone.
func (c *Client) Return(ctx context.Context, hosts []string) error {
	if err := c.must(ctx, http.MethodPost, "/machines/return", wire.HostNames{Hosts: hosts}, nil); err != nil {
		return fmt.Errorf("return %d machines: %w", len(hosts), err)
	}
	return nil
}

// List reads the whole machine list.
func (c *Client) List(ctx context.Context) ([]wire.ListedHost, error) {
	var all []wire.ListedHost
	after := ""
	for {
		q := url.Values{"Most": {"500"}}
		if after != "" {
			q.Set("After", after)
		}
		var page wire.HostList
		if err := c.must(ctx, http.MethodGet, "/machines?"+q.Encode(), nil, &page); err != nil {
			return nil, fmt.Errorf("list machines: %w", err)
		}
		all = append(all, page.Hosts...)
		if !page.More || len(page.Hosts) == 0 {
			return all, nil
		}
		after = page.Hosts[len(page.Hosts)-1].UID
	}
}
