// Package node assembles one controller node: it makes the parts of the node, starts them, and
// owns the goroutines that they run in.
package node

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"lotusstile.dev/lotusstile/internal/admission"
	"lotusstile.dev/lotusstile/internal/cloud"
	"lotusstile.dev/lotusstile/internal/clusterversion"
	"lotusstile.dev/lotusstile/internal/config"
	"lotusstile.dev/lotusstile/internal/controller"
	"lotusstile.dev/lotusstile/internal/election"
	"lotusstile.dev/lotusstile/internal/httpapi"
	"lotusstile.dev/lotusstile/internal/jobstatus"
	"lotusstile.dev/lotusstile/internal/peer"
	"lotusstile.dev/lotusstile/internal/store"
	"lotusstile.dev/lotusstile/internal/watchcache"
	"lotusstile.dev/lotusstile/internal/workerlease"
	"lotusstile.dev/lotusstile/wire"
)

// Node is one controller node.
type Node struct {
	*leadership
	store   *store.Client
	cloud   *cloud.Client
	workers *workerClient
	metrics *nodeMetrics

	// The state that the node answers and decides from.
	jobCache *watchcache.Cache
	catalog  atomic.Pointer[wire.Catalog] // nil before it has been read
	settings *settings
	version  *clusterversion.Tracker
	counts   jobstatus.TaskCounts
	statuses *jobstatus.Reader

	// The parts that admit and answer requests.
	load        *admission.LoadMonitor
	connections *admission.Connections
	heartbeats  *heartbeats
	renewals    *renewals
	relays      *relays
	standby     *warmStandby
	api         *httpapi.Server

	background sync.WaitGroup // all goroutines of the node
}

// New makes a node. It sends nothing before Run or Start.
func New(cfg *config.Config, network Network) *Node {
	timeout := cfg.WorkerLease() / 5
	limits := cfg.StateLimits()
	n := &Node{
		leadership: &leadership{cfg: cfg, peers: peer.NewPeers(cfg, cfg.LeaderLeaseTTL()/4, network.DialPeer)},
		store: store.New(
			cfg.Services.State,
			store.Limits{RequestsPerSecond: limits.Rps, WritesPerSecond: limits.WriteRps, Nodes: len(cfg.Members) + 1},
			timeout,
			network.State,
		),
		cloud:       cloud.New(cfg.Services.Cloud, cfg.Cluster.Cloud.Rps, timeout, network.Cloud),
		workers:     &workerClient{&http.Client{Timeout: cfg.HeartbeatInterval(), Transport: network.Workers}},
		metrics:     newNodeMetrics(),
		jobCache:    watchcache.New(),
		version:     clusterversion.NewTracker(),
		load:        admission.NewLoadMonitor(cfg.HeartbeatInterval()/2, int64(cfg.Cluster.Limits.MaxConnections/8)),
		connections: admission.NewConnections(cfg.Cluster.Limits.MaxConnections, cfg.HeartbeatInterval()),
	}
	n.settings = newSettings(n.store, cfg.Cluster.Workers.ReportS)
	n.statuses = jobstatus.NewReader(jobstatus.Options{
		Store:              n.store,
		Jobs:               n.jobCache,
		LinearizableReader: watchcache.NewLinearizableReader(n.jobCache, n.store, n.store.SharedReadLimiter(), timeout),
		MemoryMb:           cfg.Cluster.Limits.MemMb,
		Counts:             n.taskCounts,
	})
	n.relays = newRelays(n.leadership, n.metrics)
	campaign := &campaign{leadership: n.leadership, isRelaying: n.relays.isRelaying}
	n.standby = newWarmStandby(n.leadership, n.store, campaign)
	n.elector = election.New(election.Options{
		Store:              n.store,
		Node:               cfg.Label,
		LeaseTTL:           cfg.LeaderLeaseTTL(),
		Lead:               n.leadTerm,
		Timers:             cfg.TimerGrid(),
		CampaignDelaySteps: campaign.ownDelay,
		DeferToStandby:     n.standby.peerIsPreferred,
		TransferWanted:     campaign.shouldTransfer,
	})
	n.renewals = &renewals{leadership: n.leadership, store: n.store, serving: n.isServing, renewed: map[string]time.Time{}}
	n.heartbeats = &heartbeats{
		leadership: n.leadership,
		leases:     workerlease.NewRenewer(n.jobCache, cfg.MaxCancellationAge()),
		load:       n.load,
		relays:     n.relays,
		renewals:   n.renewals,
		contacts:   map[string]contact{},
	}
	n.api = n.newAPI()
	n.registerGauges()
	return n
}

// newAPI makes the HTTP server of the node.
func (n *Node) newAPI() *httpapi.Server {
	return httpapi.New(httpapi.Options{
		Config:            n.cfg,
		Store:             n.store,
		Statuses:          n.statuses,
		JobCache:          n.jobCache,
		Version:           n.version,
		Load:              n.load,
		Connections:       n.connections,
		Peers:             n.peers,
		Heartbeats:        n.heartbeats,
		Settings:          n.settings,
		Operations:        n,
		Catalog:           n.catalog.Load,
		Serving:           n.isServing,
		AnnounceCancelled: n.announceCancelled,
	})
}

// Handler returns the handler of all HTTP routes: users, workers, operators and health checks.
func (n *Node) Handler() http.Handler { return n.api.Handler() }

// Run listens and serves until ctx ends or a listener fails, whose error it returns. After that it
// waits until the parts of the node have stopped, but no longer than a request to the services may
// take: the process ends then.
func (n *Node) Run(ctx context.Context) error {
	srv, err := peer.NewServer(n)
	if err != nil {
		return err
	}
	peers, err := (&net.ListenConfig{}).Listen(ctx, "tcp", n.cfg.PeerAddr)
	if err != nil {
		return fmt.Errorf("listen on mesh_addr: %w", err)
	}
	// Idle connections are closed by time limits: keep-alive probes on each would only cost
	// system calls.
	withoutProbes := net.ListenConfig{KeepAlive: -1}
	clients, err := withoutProbes.Listen(ctx, "tcp", n.cfg.Listen)
	if err != nil {
		closeListeners(peers)
		return fmt.Errorf("listen: %w", err)
	}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	errs := make(chan error, 2)
	n.background.Go(func() { errs <- peer.Serve(ctx, peers, srv) })
	n.background.Go(func() { errs <- n.api.Serve(clients) })
	n.Start(ctx)
	slog.Info("node is serving", "label", n.cfg.Label, "listen", n.cfg.Listen, "mesh", n.cfg.PeerAddr)
	select {
	case <-ctx.Done():
	case err = <-errs:
	}
	cancel()
	closeListeners(peers, clients)
	if !n.waitFor(n.cfg.WorkerLease() / 5) {
		slog.Warn("parts of the node have not stopped in time")
	}
	return err
}

func closeListeners(listeners ...net.Listener) {
	for _, l := range listeners {
		if err := l.Close(); err != nil && !errors.Is(err, net.ErrClosed) {
			slog.Warn("listener could not be closed", "address", l.Addr().String(), "err", err)
		}
	}
}

// Start starts everything that a node does besides answering requests, once. It stops when ctx ends;
// Wait waits for that.
func (n *Node) Start(ctx context.Context) {
	watchFor, pause := n.cfg.WorkerLease(), n.cfg.LeaderLeaseTTL()/8
	for _, part := range []func(){
		func() { n.jobCache.Run(ctx, n.store, watchFor, pause) },
		func() { n.followSettings(ctx, 3*watchFor, pause) },
		func() { n.elector.Run(ctx) },
		func() { n.version.Announce(ctx, n.store, n.cfg.Label, 2*n.cfg.LeaderLeaseTTL()) },
		func() { n.readCatalog(ctx) },
		func() { n.keepCacheFresh(ctx) },
		func() { n.load.Run(ctx, n.cfg.TimerGrid(), n.cfg.LeaderLeaseTTL()/8) },
		func() { n.renewals.publish(ctx) },
		func() { n.relays.sender.Run(ctx) },
		func() { n.standby.followLeader(ctx) },
	} {
		n.background.Go(part)
	}
	for _, p := range n.peers {
		n.background.Go(func() { n.ping(ctx, p) })
	}
	n.background.Go(func() {
		<-ctx.Done()
		for _, p := range n.peers {
			p.Close()
		}
	})
}

// Wait returns once all goroutines of the node have ended: after the context of Start has ended and
// their last request has been answered or abandoned.
func (n *Node) Wait() { n.background.Wait() }

// waitFor waits for timeout at most, and reports whether all goroutines have ended.
func (n *Node) waitFor(timeout time.Duration) bool {
	ended := make(chan struct{})
	go func() {
		n.Wait()
		close(ended)
	}()
	timer := time.NewTimer(timeout)
	defer timer.Stop()
	select {
	case <-ended:
		return true
	case <-timer.C:
		return false
	}
}

// leadTerm leads one term, until ctx ends or the controller finds that another node leads. What the
// term started has stopped when it returns.
func (n *Node) leadTerm(ctx context.Context, term uint64) {
	ctx, cancel := context.WithCancel(ctx)
	defer n.relays.watch.Wait()
	defer cancel()
	options := controller.Options{
		Config:          n.cfg,
		Settings:        func() wire.Settings { return *n.settings.Current() },
		Store:           n.store,
		Cloud:           n.cloud,
		Worker:          n.workers,
		Peers:           controllerPeers{n.leadership},
		Observer:        termObserver{n},
		Version:         n.version,
		JobCache:        n.jobCache,
		LeaderlessSince: n.elector.LeaderlessSince(),
	}
	n.standby.beginTerm(&options, term)
	defer n.standby.endTerm()
	c := controller.New(options, term)
	n.own.Store(c)
	defer n.own.Store(nil)
	n.relays.beginTerm(ctx, term, n.heartbeats.answerBatched)
	defer n.relays.endTerm()
	c.Run(ctx)
}
