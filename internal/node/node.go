// Package node assembles a controller node. It creates the parts of the node, starts them, and owns
// the goroutines that they run in.
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

// Node is a controller node: it takes part in elections, leads or follows, and answers users, workers, operators
// and its peers.
type Node struct {
	*leadership
	store   *store.Client
	cloud   *cloud.Client
	workers *workerClient
	metrics *nodeMetrics

	// The state on which the node bases its answers and decisions.
	jobCache *watchcache.Cache
	catalog  atomic.Pointer[wire.Catalog] // nil until it has been read
	settings *settings
	version  *clusterversion.Tracker
	counts   jobstatus.TaskCounts
	statuses *jobstatus.Reader

	// The parts that admit and answer requests.
	load        *admission.LoadMonitor
	connections *admission.Connections
	heartbeats  *heartbeatHandler
	renewals    *leaseRenewals
	relay       *heartbeatRelay
	standby     *warmStandby
	api         *httpapi.Server

	goroutines sync.WaitGroup // all goroutines of the node
}

// New returns a node that sends nothing until Run or Start is called.
func New(cfg *config.Config, network Network) *Node {
	requestTimeout := cfg.WorkerLease() / 5
	storeLimits := cfg.StateLimits()
	n := &Node{
		leadership: &leadership{cfg: cfg, peers: peer.NewPeers(cfg, cfg.LeaderLeaseTTL()/4, network.DialPeer)},
		store: store.New(
			cfg.Services.State,
			store.Limits{RequestsPerSecond: storeLimits.Rps, WritesPerSecond: storeLimits.WriteRps, Nodes: len(cfg.Members) + 1},
			requestTimeout,
			network.State,
		),
		cloud:       cloud.New(cfg.Services.Cloud, cfg.Cluster.Cloud.Rps, requestTimeout, network.Cloud),
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
		LinearizableReader: watchcache.NewLinearizableReader(n.jobCache, n.store, n.store.SharedReadLimiter(), requestTimeout),
		MemoryMb:           cfg.Cluster.Limits.MemMb,
		Counts:             n.taskCounts,
	})
	n.relay = newHeartbeatRelay(n.leadership, n.metrics)
	campaign := &campaignPolicy{leadership: n.leadership, isRelaying: n.relay.isRelaying}
	n.standby = newWarmStandby(n.leadership, n.store, campaign)
	n.elector = election.New(election.Options{
		Store:              n.store,
		Node:               cfg.Label,
		LeaseTTL:           cfg.LeaderLeaseTTL(),
		Lead:               n.leadTerm,
		Timers:             cfg.TimerGrid(),
		CampaignDelaySteps: campaign.ownDelaySteps,
		DeferToStandby:     n.standby.peerIsPreferred,
		TransferWanted:     campaign.shouldTransfer,
		Progress:           n.leaderProgress,
		MayYield:           n.othersCanTakeOver,
	})
	n.renewals = &leaseRenewals{leadership: n.leadership, store: n.store, isServing: n.isServing, renewedAt: map[string]time.Time{}}
	n.heartbeats = &heartbeatHandler{
		leadership:     n.leadership,
		leases:         workerlease.NewRenewer(n.jobCache, cfg.MaxCancellationAge()),
		load:           n.load,
		relay:          n.relay,
		renewals:       n.renewals,
		relayHistories: map[string]relayHistory{},
	}
	n.api = n.newAPI()
	n.registerGauges()
	return n
}

// newAPI returns the HTTP server of the node.
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
		LeaderIsCutOff:    n.leaderIsCutOff,
		AnnounceCancelled: n.announceCancelled,
	})
}

// Handler returns the handler of all HTTP routes: users, workers, operators and health checks.
func (n *Node) Handler() http.Handler { return n.api.Handler() }

// Run listens and serves until ctx ends or a listener fails; in the latter case it returns the listener's
// error. Before it returns it waits for the goroutines of the node to end, but no longer than the timeout
// of a request to the services, since the process exits afterwards.
func (n *Node) Run(ctx context.Context) error {
	peerServer, err := peer.NewServer(n)
	if err != nil {
		return err
	}
	peerListener, err := (&net.ListenConfig{}).Listen(ctx, "tcp", n.cfg.PeerAddr)
	if err != nil {
		return fmt.Errorf("listen on mesh_addr: %w", err)
	}
	// Keep-alive probes would only cost system calls for each connection, since timeouts already close idle ones.
	withoutKeepAlive := net.ListenConfig{KeepAlive: -1}
	clientListener, err := withoutKeepAlive.Listen(ctx, "tcp", n.cfg.Listen)
	if err != nil {
		closeListeners(peerListener)
		return fmt.Errorf("listen: %w", err)
	}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	errs := make(chan error, 2)
	n.goroutines.Go(func() { errs <- peer.Serve(ctx, peerListener, peerServer) })
	n.goroutines.Go(func() { errs <- n.api.Serve(clientListener) })
	n.Start(ctx)
	slog.Info("node is serving", "label", n.cfg.Label, "listen", n.cfg.Listen, "mesh", n.cfg.PeerAddr)
	select {
	case <-ctx.Done():
	case err = <-errs:
	}
	cancel()
	closeListeners(peerListener, clientListener)
	if !n.waitFor(n.cfg.WorkerLease() / 5) {
		slog.Warn("node exits before all of its goroutines have ended")
	}
	return err
}

func closeListeners(listeners ...net.Listener) {
	for _, l := range listeners {
		if err := l.Close(); err != nil && !errors.Is(err, net.ErrClosed) {
			slog.Warn("could not close listener", "address", l.Addr().String(), "err", err)
		}
	}
}

// Start starts the background work of the node, that is everything except answering requests. It must
// be called once. The work stops when ctx ends; Wait waits for that.
func (n *Node) Start(ctx context.Context) {
	watchDuration, retryDelay := n.cfg.WorkerLease(), n.cfg.LeaderLeaseTTL()/8
	for _, run := range []func(){
		func() { n.jobCache.Run(ctx, n.store, watchDuration, retryDelay) },
		func() { n.followSettings(ctx, 3*watchDuration, retryDelay) },
		func() { n.elector.Run(ctx) },
		func() { n.version.Announce(ctx, n.store, n.cfg.Label, 2*n.cfg.LeaderLeaseTTL()) },
		func() { n.readCatalog(ctx) },
		func() { n.keepCacheFresh(ctx) },
		func() { n.load.Run(ctx, n.cfg.TimerGrid(), n.cfg.LeaderLeaseTTL()/8) },
		func() { n.renewals.publish(ctx) },
		func() { n.relay.sender.Run(ctx) },
		func() { n.standby.followLeader(ctx) },
	} {
		n.goroutines.Go(run)
	}
	for _, p := range n.peers {
		n.goroutines.Go(func() { n.pingLoop(ctx, p) })
	}
	n.goroutines.Go(func() {
		<-ctx.Done()
		for _, p := range n.peers {
			p.Close()
		}
	})
}

// Wait returns once all goroutines of the node have ended. They end after the context of Start has ended
// and their last requests have been answered or abandoned.
func (n *Node) Wait() { n.goroutines.Wait() }

// waitFor waits at most timeout for all goroutines of the node to end, and reports whether they have ended.
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

// leadTerm leads one term, until ctx ends or the controller finds that another node leads. All work that
// the term started has stopped when leadTerm returns.
func (n *Node) leadTerm(ctx context.Context, term uint64) {
	ctx, cancel := context.WithCancel(ctx)
	defer n.relay.fleetSizeWatch.Wait()
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
	n.ownController.Store(c)
	// Once the term has ended this node follows, also while work of the term is stuck: a worker's heartbeat or a
	// peer's ping must not wait for the lock of that work.
	stopForgetting := context.AfterFunc(ctx, func() { n.ownController.CompareAndSwap(c, nil) })
	defer n.ownController.Store(nil)
	defer stopForgetting()
	n.relay.beginTerm(ctx, term, n.heartbeats.answerBatched)
	defer n.relay.endTerm()
	c.Run(ctx)
}
