package node

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"sync"
	"testing"
	"time"

	"lotusstile.dev/lotusstile/internal/config"
	"lotusstile.dev/lotusstile/internal/peer"
	"lotusstile.dev/lotusstile/internal/records"
	"lotusstile.dev/lotusstile/internal/simcluster/fakestore"
	"lotusstile.dev/lotusstile/internal/simcluster/faultnet"
	"lotusstile.dev/lotusstile/internal/watchcache"
	"lotusstile.dev/lotusstile/wire"
)

// startTrio starts three nodes with a worker lease of five seconds, on a fake state store. They stop with the test.
func startTrio(t *testing.T) (nodes []*Node) {
	t.Helper()
	network := faultnet.New(rand.New(rand.NewPCG(1, 1)))
	network.Attach("state:1", fakestore.New(), nil)
	cloud := http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusServiceUnavailable) })
	network.Attach("cloud:1", cloud, nil)
	ctx, cancel := context.WithCancel(context.Background())
	for i := range 3 {
		cfg := testConfig(10000, 10000)
		cfg.Label, cfg.Services.Cloud = fmt.Sprint("n", i), "cloud:1"
		cfg.Cluster.Workers.LeaseS, cfg.Cluster.Workers.ReportS, cfg.Cluster.Workers.CancelS = 5, 0.5, 20
		cfg.Cluster.State.TxnOps = 20
		for j := range 3 {
			if j != i {
				cfg.Members = append(cfg.Members, config.Member{Label: fmt.Sprint("n", j), Endpoint: fmt.Sprintf("n%d:81", j)})
			}
		}
		transport := network.Transport(cfg.Label)
		n := New(cfg, Network{State: transport, Cloud: transport, Workers: transport, DialPeer: network.DialPeer(cfg.Label + ":81")})
		server, err := peer.NewServer(n)
		if err != nil {
			t.Fatal(err)
		}
		network.Attach(cfg.Label+":81", n.Handler(), server)
		n.Start(ctx)
		nodes = append(nodes, n)
	}
	t.Cleanup(func() {
		cancel()
		for _, n := range nodes {
			n.Wait()
		}
	})
	return nodes
}

// waitForLeader waits until a node leads that accept allows, and returns it.
func waitForLeader(t *testing.T, nodes []*Node, accept func(n *Node) bool) *Node {
	t.Helper()
	const limit = 30 * time.Second // of real time, on a machine that may be busy
	for began := time.Now(); time.Since(began) < limit; time.Sleep(20 * time.Millisecond) {
		for _, n := range nodes {
			if n.controller() != nil && n.elector.View().Leader == n.cfg.Label && accept(n) {
				return n
			}
		}
	}
	t.Fatal("no other node leads within 30 s")
	return nil
}

// A leader that is stuck while it holds the lock of the job cache renewed its lease for as long as its process lived,
// so that nothing was scheduled. Another node must lead instead. If that one gets stuck as well, it keeps the lease:
// the third one alone renews the workers' leases, and might meet the same cause. Once the work is no longer stuck, the
// first node follows and answers pings.
func TestAnotherNodeLeadsInPlaceOfAStuckOne(t *testing.T) {
	t.Parallel()
	nodes := startTrio(t)
	isReady := func(n *Node) bool { return n.controller().Status().Loaded && n.othersCanTakeOver() }
	first := waitForLeader(t, nodes, isReady)
	firstTerm := first.elector.View().Term
	stuck := make(chan struct{})
	release := sync.OnceFunc(func() { close(stuck) })
	t.Cleanup(release)
	stick := func(n *Node) {
		n.jobCache.SetListener(func(string, watchcache.Entry) { <-stuck })
	}
	stick(first)
	spec := wire.JobSpec{UID: "run-000001", Team: "crew", Kind: wire.JobArray, TaskCount: 1}
	value := records.Encode(records.Job{Spec: spec, Status: wire.JobQueued, TasksPerPlacement: 1})
	change := wire.Change{Set: records.JobKey(spec.UID), Value: value}
	if _, err := first.store.Commit(t.Context(), wire.Transaction{Changes: []wire.Change{change}}); err != nil {
		t.Fatal(err)
	}
	second := waitForLeader(t, nodes, func(n *Node) bool { return n != first && n.controller().Status().Loaded })
	secondTerm := second.elector.View().Term
	if secondTerm <= firstTerm {
		t.Errorf("the second leader has term %d, want one after %d", secondTerm, firstTerm)
	}
	if !first.elector.Stalled() || first.controller() != nil {
		t.Errorf("stalled: %v, has a controller: %v; want true, false of the first leader", first.elector.Stalled(), first.controller() != nil)
	}
	go stick(second) // it is called at once for the job in the cache, and returns when it is released
	time.Sleep(5 * first.cfg.LeaderLeaseTTL())
	if view := second.elector.View(); view.Leader != second.cfg.Label || view.Term != secondTerm {
		t.Errorf("with one healthy node left, the leader is %s in term %d, want %s still in term %d",
			view.Leader, view.Term, second.cfg.Label, secondTerm)
	}
	release()
	for began := time.Now(); first.elector.Stalled(); time.Sleep(20 * time.Millisecond) {
		if time.Since(began) > 30*time.Second {
			t.Fatal("the first leader is still stalled 30 s after its work went on")
		}
	}
}
