package simcluster

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"log/slog"
	"net"
	"net/http"
	"sync"
	"time"

	"lotusstile.dev/lotusstile/wire"
)

const (
	// remoteTimeout bounds a forwarded request. It is longer than all timeouts of the simulated parties, so
	// that theirs take effect first.
	remoteTimeout = 10 * time.Second
	// maxIdleConns bounds the idle connections of each client.
	maxIdleConns = 64
)

// RemoteNode forwards requests to a controller that runs as a separate process. Every worker has its own
// connections, as on real machines; users share a pool.
type RemoteNode struct {
	address string

	mu      sync.Mutex
	clients map[string]*http.Client // by worker; "" is the users' pool
}

// NewRemoteNode returns a RemoteNode that forwards to the controller that listens on address.
func NewRemoteNode(address string) *RemoteNode {
	return &RemoteNode{address: address, clients: map[string]*http.Client{}}
}

// ServeHTTP forwards one request.
func (n *RemoteNode) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadGateway)
		return
	}
	req, err := http.NewRequestWithContext(r.Context(), r.Method, "http://"+n.address+r.URL.RequestURI(), bytes.NewReader(body))
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadGateway)
		return
	}
	client := n.client(r.URL.Path, body)
	resp, err := client.Do(req)
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadGateway)
		return
	}
	defer closeBody(resp)
	if resp.StatusCode == http.StatusMisdirectedRequest {
		defer client.CloseIdleConnections() // as a worker does when it changes to another node
	}
	w.Header().Set("Retry-After", resp.Header.Get("Retry-After"))
	w.WriteHeader(resp.StatusCode)
	if _, err := io.Copy(w, resp.Body); err != nil {
		slog.Debug("failed to forward response", "controller", n.address, "err", err)
	}
}

// client returns the HTTP client of a request's sender, and creates one if there is none.
func (n *RemoteNode) client(path string, body []byte) *http.Client {
	var heartbeat wire.Heartbeat
	if path == "/checkin" && json.Unmarshal(body, &heartbeat) != nil {
		heartbeat.Host = ""
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	client := n.clients[heartbeat.Host]
	if client == nil {
		transport := &http.Transport{MaxIdleConnsPerHost: maxIdleConns, DisableCompression: true}
		client = &http.Client{Timeout: remoteTimeout, Transport: transport}
		n.clients[heartbeat.Host] = client
	}
	return client
}

// closeBody closes the body of a response. An error is only logged: the response has been used by then.
func closeBody(resp *http.Response) {
	if err := resp.Body.Close(); err != nil {
		slog.Debug("failed to close response body", "err", err)
	}
}

// Listen serves a handler on a TCP address until the process ends, and returns the address that it
// listens on. ctx bounds only the opening of the listener.
func Listen(ctx context.Context, address string, handler http.Handler) (string, error) {
	listener, err := (&net.ListenConfig{}).Listen(ctx, "tcp4", address)
	if err != nil {
		return "", fmt.Errorf("listen on %s: %w", address, err)
	}
	go func() {
		if err := http.Serve(listener, handler); err != nil {
			slog.Error("listener stopped", "address", listener.Addr().String(), "err", err)
		}
	}()
	return listener.Addr().String(), nil
}

// Delayed wraps a handler so that it answers after a delay, as a service across a network does.
func Delayed(handler http.Handler, delay time.Duration) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		time.Sleep(delay)
		handler.ServeHTTP(w, r)
	})
}
