package election

import (
	"context"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"pgregory.net/rapid"

	"lotusstile.dev/lotusstile/internal/store"
)

// stuckWork is the work of terms that makes progress only while it is not stuck, and that ends only once it is not.
type stuckWork struct {
	stuck    atomic.Bool
	progress atomic.Uint64
}

func (w *stuckWork) lead(ctx context.Context, _ uint64) {
	for ctx.Err() == nil || w.stuck.Load() {
		time.Sleep(leaseTTL / 8)
		if !w.stuck.Load() {
			w.progress.Add(1)
		}
	}
}

// A leader whose work makes no progress must not keep its lease: nothing would be scheduled for as long as its process
// lives. Its term ends, the lease is revoked, and the node does not campaign before the stuck work has ended.
func TestStalledTermEnds(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		fake, work := &fakeStore{}, &stuckWork{}
		elector := runElector(t, Options{Store: fake, Lead: work.lead, Progress: work.progress.Load})
		time.Sleep(20 * leaseTTL)
		if got := elector.State(); got != Leading {
			t.Fatalf("while its work goes forward the node is %s, want %s", got, Leading)
		}
		work.stuck.Store(true)
		time.Sleep((stallTTLs + 1) * leaseTTL)
		granted, revoked := fake.counts()
		if revoked != 1 || elector.State() != Following || !elector.Stalled() {
			t.Fatalf("%d leases revoked, state %s, stalled %v, want 1, following, true", revoked, elector.State(), elector.Stalled())
		}
		fake.removeLeader()
		time.Sleep(20 * leaseTTL)
		if now, _ := fake.counts(); now != granted {
			t.Errorf("%d leases were granted while the work was stuck, want none", now-granted)
		}
		work.stuck.Store(false)
		time.Sleep(leaseTTL)
		if elector.Stalled() {
			t.Error("the node is stalled after its work has ended")
		}
	})
}

// Work that is slow, a state store that is throttled, slow or out, and nodes that cannot take over end no term.
func TestWhatDoesNotCountAsStalled(t *testing.T) {
	for _, tc := range []struct {
		name     string
		renewErr error
		mayYield bool
		pause    time.Duration // between two steps of progress; 0: it stops
	}{
		{"progress just within the bound", nil, true, stallTTLs*leaseTTL - leaseTTL/renewalsPerTTL},
		{"throttled store", store.ErrThrottled, true, leaseTTL / 4},
		{"store without answers", store.ErrOutcomeUnknown, true, leaseTTL / 4},
		{"no progress, but nobody can take over", nil, false, 0},
	} {
		t.Run(tc.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				fake := &fakeStore{renewErr: tc.renewErr}
				var progress atomic.Uint64
				elector := runElector(t, Options{Store: fake, Progress: progress.Load, MayYield: func() bool { return tc.mayYield },
					Lead: func(ctx context.Context, _ uint64) {
						for tc.pause > 0 && ctx.Err() == nil {
							time.Sleep(tc.pause)
							progress.Add(1)
						}
						<-ctx.Done()
					}})
				time.Sleep(100 * leaseTTL)
				if _, revoked := fake.counts(); revoked > 0 || elector.State() == Following {
					t.Errorf("%d leases revoked, state %s, want none and a leader", revoked, elector.State())
				}
			})
		})
	}
}

// A process that was paused has had no chance to make progress: however long the pause, the first renewals after it
// find no stalled term. Without pauses, a term that makes no progress is found stalled within a lease after the bound.
func TestStallDetectorIgnoresPauses(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const bound, tick = stallTTLs * leaseTTL, leaseTTL / renewalsPerTTL
		now, progress := time.Unix(1000, 0), uint64(0)
		detector := newStallDetector(progress, now, bound)
		for range rapid.IntRange(0, 20).Draw(t, "pauses") {
			now = now.Add(time.Duration(rapid.Int64Range(0, int64(time.Hour)).Draw(t, "pause")))
			for range rapid.IntRange(0, renewalsPerTTL-1).Draw(t, "renewals before progress") {
				if detector.isStalled(progress, now) {
					t.Fatal("a term is stalled right after a pause")
				}
				now = now.Add(tick)
			}
			progress++
			if detector.isStalled(progress, now) {
				t.Fatal("a term that has made progress is stalled")
			}
		}
		for began := now; !detector.isStalled(progress, now); now = now.Add(tick) {
			if now.Sub(began) > bound+leaseTTL {
				t.Fatalf("a term without progress is not stalled after %s", now.Sub(began))
			}
		}
	})
}

// When every leader meets the same cause, leaders must not change ever faster: each stalled term doubles the bound of
// the node's next ones, up to sixteen times. A term that was steady for long resets it.
func TestStalledTermsBackOff(t *testing.T) {
	e := New(Options{Node: "a", LeaseTTL: leaseTTL, Lead: func(context.Context, uint64) {}})
	for _, tc := range []struct {
		lasted time.Duration
		want   time.Duration // bound after a term that lasted so long
	}{
		{0, 2}, {leaseTTL, 4}, {10 * leaseTTL, 8}, {leaseTTL, 16}, {leaseTTL, 16}, {2 * steadyTTLs * leaseTTL, 2},
	} {
		e.recordStall(1, tc.lasted)
		e.endStall()
		if got, want := e.stallBound(), tc.want*stallTTLs*leaseTTL; got != want {
			t.Errorf("after a stalled term of %s the bound is %s, want %s", tc.lasted, got, want)
		}
	}
}
