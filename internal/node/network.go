package node

import (
	"context"
	"net"
	"net/http"
	"time"

	"lotusstile.dev/lotusstile/internal/config"
	"lotusstile.dev/lotusstile/internal/peer"
)

// Network holds the transports to the services, the workers and the peers of a node. Tests replace it.
type Network struct {
	State    http.RoundTripper // to the state store
	Cloud    http.RoundTripper
	Workers  http.RoundTripper
	DialPeer peer.Dialer
}

// connectionLimits bounds the connections to one service, or to each worker.
type connectionLimits struct {
	dialTimeout time.Duration
	perHost     int
	idlePerHost int
	idleTimeout time.Duration
}

func (l connectionLimits) transport() http.RoundTripper {
	return &http.Transport{
		DialContext:         (&net.Dialer{Timeout: l.dialTimeout}).DialContext,
		MaxConnsPerHost:     l.perHost,
		MaxIdleConnsPerHost: l.idlePerHost,
		IdleConnTimeout:     l.idleTimeout,
		DisableCompression:  true,
	}
}

// NewTCPNetwork returns the network of a node in production, where each node is a process of its own.
func NewTCPNetwork(cfg *config.Config) Network {
	lease, interval := cfg.WorkerLease(), cfg.HeartbeatInterval()
	return Network{
		State:   connectionLimits{dialTimeout: lease / 5, perHost: 24, idlePerHost: 8, idleTimeout: 3 * lease}.transport(),
		Cloud:   connectionLimits{dialTimeout: lease / 5, perHost: 6, idlePerHost: 3, idleTimeout: 3 * lease}.transport(),
		Workers: connectionLimits{dialTimeout: interval / 2, perHost: 1, idlePerHost: 1, idleTimeout: interval}.transport(),
		DialPeer: func(addr string, timeout time.Duration) (net.Conn, error) {
			return (&net.Dialer{Timeout: timeout}).DialContext(context.Background(), "tcp", addr)
		},
	}
}
