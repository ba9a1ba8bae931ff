package simcluster

import (
	"bytes"
	"encoding/json"
	"io"
	"log/slog"
	"net"
	"net/http"
	"sync"
	"time"

	"lotusstile.dev/lotusstile/wire"
)

// remoteTimeout bounds a forwarded request; it is longer than any party waits.
const remoteTimeout = 10 * time.Second

// RemoteNode forwards requests to a controller that runs as a process of its
// own. Every worker has a connection of its own, as on real machines; users
// share a pool.
type RemoteNode struct {
	address string

	mu      sync.Mutex
	clients map[string]*http.Client // by worker; "" is the users' pool
}

// NewRemoteNode forwards to the controller that listens on address.
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
	defer resp.Body.Close()
	if resp.StatusCode == http.StatusMisdirectedRequest {
		defer client.CloseIdleConnections() // as a worker does that goes to another node
	}
	w.Header().Set("Retry-After", resp.Header.Get("Retry-After"))
	w.WriteHeader(resp.StatusCode)
	if _, err := io.Copy(w, resp.Body); err != nil {
		slog.Debug("answer not forwarded", "err", err)
	}
}

func (n *RemoteNode) client(path string, body []byte) *http.Client {
	var report wire.Heartbeat
	if path == "/checkin" && json.Unmarshal(body, &report) != nil {
		report.Host = ""
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	client := n.clients[report.Host]
	if client == nil {
		client = &http.Client{Timeout: remoteTimeout, Transport: &http.Transport{MaxIdleConnsPerHost: 64, DisableCompression: true}}
		n.clients[report.Host] = client
	}
	return client
}

// Listen serves a handler on address until the process ends. It returns the
// address that it got.
func Listen(address string, h http.Handler) (string, error) {
	l, err := net.Listen("tcp4", address)
	if err != nil {
		return "", err
	}
	go func() {
		if err := http.Serve(l, h); err != nil {
			slog.Error("listener ended", "address", l.Addr().String(), "err", err)
		}
	}()
	return l.Addr().String(), nil
}

// CloudHandler answers the protocol of the cloud.
func (w *Cluster) CloudHandler() http.Handler { return http.HandlerFunc(w.cloud) }

// Delayed answers after a delay, as a service across a network does.
func Delayed(h http.Handler, delay time.Duration) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		time.Sleep(delay)
		h.ServeHTTP(w, r)
	})
}
