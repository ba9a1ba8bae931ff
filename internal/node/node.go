// Package node is one controller node as users, workers and peers meet it.
package node

import (
	"context"
	"encoding/json"
	"fmt"
	"log/slog"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/labstack/echo/v4"

	"lotusstile.dev/lotusstile/internal/cloud"
	"lotusstile.dev/lotusstile/internal/clusterversion"
	"lotusstile.dev/lotusstile/internal/config"
	"lotusstile.dev/lotusstile/internal/connlimit"
	"lotusstile.dev/lotusstile/internal/controller"
	"lotusstile.dev/lotusstile/internal/election"
	"lotusstile.dev/lotusstile/internal/peer"
	"lotusstile.dev/lotusstile/internal/records"
	"lotusstile.dev/lotusstile/internal/store"
	"lotusstile.dev/lotusstile/internal/watchcache"
	"lotusstile.dev/lotusstile/wire"
)

// Node is one controller node.
type Node struct {
	cfg       *config.Config
	store     *store.Client
	cloud     *cloud.Client
	jobReader *watchcache.LinearizableReader // brings mirror up to date for polls
	jobCache  *watchcache.Cache
	elector   *election.Elector
	peers     []*peer.Peer
	workers   *http.Client
	echo      *echo.Echo
	load      load
	meters    *metrics.Set
	rounds    *metrics.Histogram
	// refusedBatches counts batches of relayed reports that could not be taken apart.
	refusedBatches *metrics.Counter
	requests       sync.Map // *metrics.Counter by requestKind

	lead        atomic.Pointer[controller.Controller]
	catalog     atomic.Pointer[wire.Catalog]
	settings    atomic.Pointer[wire.Settings]
	finals      finals
	counts      taskCounts
	version     *clusterversion.Tracker
	relays      relays
	standby     warmStandby
	reserve     *reserve
	connections atomic.Pointer[connlimit.Listener] // of users, workers and operators; nil before it listens

	mu            sync.Mutex
	contacts      map[string]contact   // by machine: how it was answered in the leader's place
	renewedLeases map[string]time.Time // by machine: when this node kept its lease
}

// Network is how a node reaches others.
type Network struct {
	State, Cloud, Workers http.RoundTripper
	DialPeer              peer.Dialer
}

// TCP is the network of a node that runs as a process of its own.
func TCP(cfg *config.Config) Network {
	transport := func(dial time.Duration, conns, idle int, idleFor time.Duration) http.RoundTripper {
		return &http.Transport{DialContext: (&net.Dialer{Timeout: dial}).DialContext, MaxConnsPerHost: conns,
			MaxIdleConnsPerHost: idle, IdleConnTimeout: idleFor, DisableCompression: true}
	}
	lease, every := cfg.WorkerLease(), cfg.HeartbeatInterval()
	return Network{
		State:   transport(lease/5, 24, 8, 3*lease),
		Cloud:   transport(lease/5, 6, 3, 3*lease),
		Workers: transport(every/2, 1, 1, every),
		DialPeer: func(addr string, timeout time.Duration) (net.Conn, error) {
			return net.DialTimeout("tcp", addr, timeout)
		},
	}
}

// New makes a node.
func New(cfg *config.Config, nw Network) *Node {
	timeout := cfg.WorkerLease() / 5
	st := cfg.StateLimits()
	n := &Node{
		cfg:           cfg,
		store:         store.New(cfg.Services.State, store.Limits{Rps: st.Rps, WriteRps: st.WriteRps, Nodes: len(cfg.Members) + 1}, timeout, nw.State),
		cloud:         cloud.New(cfg.Services.Cloud, cfg.Cluster.Cloud.Rps, timeout, nw.Cloud),
		jobCache:      watchcache.New(),
		peers:         peer.NewPeers(cfg, cfg.LeaderLeaseTTL()/4, nw.DialPeer),
		contacts:      map[string]contact{},
		renewedLeases: map[string]time.Time{},
		version:       clusterversion.NewTracker(),
		workers:       &http.Client{Timeout: cfg.HeartbeatInterval(), Transport: nw.Workers},
	}
	n.jobReader = watchcache.NewLinearizableReader(n.jobCache, n.store, n.store.SharedReads(), timeout)
	n.finals = newFinals(cfg.Cluster.Limits.MemMb)
	defaults := records.DefaultSettings(cfg.Cluster.Workers.ReportS)
	n.settings.Store(&defaults)
	n.measure()
	n.newRelays()
	n.newStandby()
	n.reserve = newReserve(cfg.Cluster.Limits.MaxConnections)
	n.load.limit, n.load.most = cfg.HeartbeatInterval()/2, int64(cfg.Cluster.Limits.MaxConnections/8)
	n.echo = n.routes()
	n.elector = election.New(n.store, cfg.Label, cfg.LeaderLeaseTTL(), n.leadTerm)
	n.elector.Align(cfg.Grid())
	n.elector.Prefer(n.campaignDelay, n.better)
	n.elector.DeferTo(n.otherStandsBy)
	return n
}

// Run listens and serves until ctx ends.
func (n *Node) Run(ctx context.Context) error {
	peerListener, err := net.Listen("tcp", n.cfg.PeerAddr)
	if err != nil {
		return fmt.Errorf("listen on mesh_addr: %w", err)
	}
	// Idle connections are closed by time limits: probes on each would only cost
	// system calls.
	listen := net.ListenConfig{KeepAlive: -1}
	users, err := listen.Listen(ctx, "tcp", n.cfg.Listen)
	if err != nil {
		return fmt.Errorf("listen: %w", err)
	}
	srv, err := peer.NewServer(n)
	if err != nil {
		return err
	}
	errs := make(chan error, 2)
	go func() { errs <- peer.Serve(peerListener, srv) }()
	go func() { errs <- n.serve(users) }()
	n.Start(ctx)
	slog.Info("serving", "label", n.cfg.Label, "listen", n.cfg.Listen, "mesh", n.cfg.PeerAddr)
	select {
	case <-ctx.Done():
	case err = <-errs:
	}
	peerListener.Close()
	users.Close()
	return err
}

// Start begins all that a node does beside answering. It ends with ctx.
func (n *Node) Start(ctx context.Context) {
	watchFor, pause := n.cfg.WorkerLease(), n.cfg.LeaderLeaseTTL()/8
	go n.jobCache.Run(ctx, n.store, watchFor, pause)
	go watchcache.Follow(ctx, n.store, records.SettingsPrefix, 3*watchFor, pause, watchcache.Funcs{Listed: n.takeOption, Changed: n.takeOption})
	go n.elector.Run(ctx)
	go n.version.Announce(ctx, n.store, n.cfg.Label, 2*n.cfg.LeaderLeaseTTL())
	go n.readCatalog(ctx)
	go n.keepCacheFresh(ctx)
	go n.load.watch(ctx, n.cfg.Grid(), n.cfg.LeaderLeaseTTL()/8)
	go n.publishRenewedLeases(ctx)
	go n.relays.sender.Run(ctx)
	go n.followLeader(ctx)
	for _, p := range n.peers {
		go n.ping(ctx, p)
	}
	go func() {
		<-ctx.Done()
		for _, p := range n.peers {
			p.Close()
		}
	}()
}

func (n *Node) leadTerm(ctx context.Context, term uint64) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	options := controller.Options{
		Config:          n.cfg,
		Settings:        func() wire.Settings { return *n.settings.Load() },
		Store:           n.store,
		Cloud:           n.cloud,
		Worker:          n,
		Peers:           controllerPeers{n},
		Observer:        termObserver{n},
		Version:         n.version,
		JobCache:        n.jobCache,
		LeaderlessSince: n.elector.LeaderlessSince(),
	}
	n.beginStandby(&options, term)
	defer n.endStandby()
	c := controller.New(options, term)
	n.lead.Store(c)
	defer n.lead.Store(nil)
	n.beginRelays(ctx, term)
	defer n.endRelays()
	c.Run(ctx)
}

// takeOption takes a record of what holds for all nodes.
func (n *Node) takeOption(event wire.WatchEvent) {
	n.version.Take(event)
	n.takeSettings(event)
}

// takeSettings takes the operators' own settings from the state service.
func (n *Node) takeSettings(ch wire.WatchEvent) {
	if ch.Set != records.SettingsKey || ch.ModRevision <= n.settings.Load().ModRevision {
		return
	}
	s := records.DefaultSettings(n.cfg.Cluster.Workers.ReportS)
	if err := json.Unmarshal(ch.Value, &s); err != nil {
		slog.Error("stored settings cannot be read", "err", err)
		return
	}
	if err := records.CheckSettings(s); err != nil {
		slog.Error("stored settings are not valid", "err", err)
		return
	}
	s.ModRevision = ch.ModRevision
	slog.Info("settings in force", "settings", s)
	n.settings.Store(&s)
}

// readCatalog learns the machine types, which submissions are checked against.
func (n *Node) readCatalog(ctx context.Context) {
	pause := n.cfg.LeaderLeaseTTL() / 4
	for ctx.Err() == nil {
		catalog, err := n.cloud.Catalog(ctx)
		if err == nil && len(catalog.MachineTypes) > 0 {
			n.catalog.Store(&catalog)
			return
		}
		slog.Warn("no catalog yet", "err", err)
		time.Sleep(pause)
		pause = min(2*pause, n.cfg.WorkerLease())
	}
}

// ping keeps in touch with a peer.
func (n *Node) ping(ctx context.Context, p *peer.Peer) {
	for ctx.Err() == nil {
		args := peer.PingArgs{From: n.cfg.Label, Term: n.elector.View().Term, Version: int(clusterversion.Latest)}
		args.CountsTerm, args.CountsRevision = n.counts.known(p.Label)
		r, err := p.Ping(args)
		n.notePeer(p.Label, r, err == nil)
		if err != nil {
			slog.Debug("peer not reached", "peer", p.Label, "err", err)
		} else if r.Leading {
			n.counts.update(p.Label, args, r, n.jobCache)
			for _, view := range r.Counts {
				if view.Status.Final() {
					n.finals.put(view.UID, view.Status)
				}
			}
			n.elector.ObserveTerm(r.Term, p.Label)
		}
		n.raiseVersion(ctx)
		time.Sleep(n.cfg.Grid().Next(time.Now(), n.cfg.LeaderLeaseTTL()/4))
	}
}

// Ping answers a peer.
func (n *Node) Ping(a peer.PingArgs) peer.PingResult {
	r := peer.PingResult{Term: n.elector.View().Term, Serving: n.serving(), RenewedHosts: n.renewedHosts(), Version: int(clusterversion.Latest),
		CanRelay: n.cfg.RelayHeartbeats, CanFollow: n.cfg.WarmStandby}
	if c := n.lead.Load(); c != nil {
		r.Leading, r.Term, r.WantsRelays, r.Standby = true, c.Term(), n.relayMode(), n.chooseStandby()
		if a.Term > c.Term() {
			n.elector.ObserveTerm(a.Term, "")
		}
		since := a.CountsRevision
		if a.CountsTerm != c.Term() {
			since = 0
		}
		r.Counts, r.CountsRevision, r.CountsMore = c.CountsSince(since)
	}
	return r
}

// Counts answers a peer that wants to tell a user how a job stands.
func (n *Node) Counts(a peer.CountsArgs) peer.CountsReply {
	c := n.lead.Load()
	if c == nil {
		return peer.CountsReply{}
	}
	done, running, ok := c.Counts(a.UID)
	return peer.CountsReply{Known: ok, Done: done, Running: running}
}

// leader is the peer that leads, if it answers pings.
func (n *Node) leader() *peer.Peer {
	v := n.elector.View()
	for _, p := range n.peers {
		if p.Label != v.Leader {
			continue
		}
		if r, ok := p.LastPing(n.cfg.LeaderLeaseTTL() * 3 / 4); ok && r.Leading && r.Term >= v.Term {
			return p
		}
	}
	return nil
}

// serving reports whether this node has read the state service lately. The
// heartbeat reads it often enough that an idle node is not taken for cut off.
func (n *Node) serving() bool { return n.store.ProofAge() < n.cfg.LeaderLeaseTTL()/2 }

// keepCacheFresh brings the mirror of jobs up to date past its watch: an idle node is
// then not taken for cut off, and what it knows of withdrawals is never older
// than a tenth of a lease while it reaches the state service.
func (n *Node) keepCacheFresh(ctx context.Context) {
	every := n.cfg.LeaderLeaseTTL() / 8
	for ctx.Err() == nil {
		if n.store.ProofAge() > every || time.Since(n.jobCache.Fresh()) > n.cfg.WorkerLease()/10 {
			rctx, cancel := context.WithTimeout(store.Urgent(ctx), 2*every)
			if err := n.jobCache.Refresh(rctx, n.store); err != nil {
				slog.Debug("state service not reached", "err", err)
			}
			cancel()
		}
		time.Sleep(n.cfg.Grid().Next(time.Now(), every))
	}
}
