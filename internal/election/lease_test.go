package election

import (
	"context"
	"errors"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"lotusstile.dev/lotusstile/internal/records"
	"lotusstile.dev/lotusstile/internal/store"
	"lotusstile.dev/lotusstile/wire"
)

const leaseTTL = 4 * time.Second

// runElector runs an elector in a synctest bubble and stops it, watch and term included, at the
// end of the test.
func runElector(t *testing.T, options Options) *Elector {
	t.Helper()
	options.Node, options.LeaseTTL = "a", leaseTTL
	if options.Lead == nil {
		options.Lead = func(ctx context.Context, _ uint64) { <-ctx.Done() }
	}
	elector := New(options)
	ctx, cancel := context.WithCancel(t.Context())
	done := make(chan struct{})
	go func() {
		defer close(done)
		elector.Run(ctx)
	}()
	t.Cleanup(func() {
		cancel()
		<-done
	})
	return elector
}

// A campaign whose commit has an unknown outcome is won if the leader's key is on the lease of this
// campaign. A campaign that another node has won revokes its lease and learns who leads.
func TestCampaignReadsWhoWon(t *testing.T) {
	rival := &wire.KeyValue{Key: records.LeaderKey, Value: records.Encode(records.Leader{Node: "b"}), ModRevision: 5, LeaseID: 99}
	for _, tc := range []struct {
		name      string
		rival     *wire.KeyValue
		commitErr error
		want      State
	}{
		{"unknown outcome, own lease", nil, store.ErrOutcomeUnknown, Leading},
		{"unknown outcome, another node's lease", rival, store.ErrOutcomeUnknown, Following},
		{"conflict", rival, nil, Following},
	} {
		t.Run(tc.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				fake := &fakeStore{rival: tc.rival, commitErr: tc.commitErr}
				elector := runElector(t, Options{Store: fake})
				time.Sleep(leaseTTL)
				if got := elector.State(); got != tc.want {
					t.Errorf("the node is %s, want %s", got, tc.want)
				}
				if revoked := len(fake.revoked) > 0; revoked != (tc.rival != nil) {
					t.Errorf("the campaign's lease is revoked: %v", revoked)
				}
				if tc.rival != nil && elector.View().Leader != "b" {
					t.Errorf("after a lost campaign the view is %+v", elector.View())
				}
			})
		})
	}
}

// A lease is renewed four times in its time to live, and tried twenty times while renewals are
// refused for too many requests. A term whose lease is not renewed goes on unconfirmed and is
// confirmed by the next renewal; it ends when the store says that the lease has ended.
func TestLeaseKeeping(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		fake := &fakeStore{}
		elector := runElector(t, Options{Store: fake})
		time.Sleep(leaseTTL)
		for _, step := range []struct {
			name         string
			renewErr     error
			want         State
			fewest, most int // renewals in the three lease times that the step lasts
		}{
			{"renewed", nil, Leading, 11, 13},
			{"throttled", store.ErrThrottled, LeadingUnconfirmed, 55, 61},
			{"renewed again", nil, Leading, 11, 13},
			{"unknown outcome", store.ErrOutcomeUnknown, LeadingUnconfirmed, 11, 13},
		} {
			fake.setRenewErr(step.renewErr)
			begun := time.Now()
			time.Sleep(3 * leaseTTL)
			if got := elector.State(); got != step.want {
				t.Errorf("%s: the node is %s, want %s", step.name, got, step.want)
			}
			if got := fake.renewalsSince(begun); got < step.fewest || got > step.most {
				t.Errorf("%s: %d renewals, want %d to %d", step.name, got, step.fewest, step.most)
			}
		}
		fake.setRenewErr(store.ErrLeaseNotFound)
		time.Sleep(leaseTTL / 2)
		if got := elector.State(); got == Leading || got == LeadingUnconfirmed {
			t.Errorf("the node is %s after its lease has ended", got)
		}
	})
}

// A leadership transfer ends the term before its lease is revoked: what the term would still begin
// comes before the key is gone.
func TestTransferEndsTheTermBeforeItsLease(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		fake := &fakeStore{}
		var termErr error
		var termCtx atomic.Value
		fake.onRevoke = func() { termErr = termCtx.Load().(context.Context).Err() }
		var wanted atomic.Bool
		elector := runElector(t, Options{
			Store:          fake,
			TransferWanted: wanted.Load,
			Lead: func(ctx context.Context, _ uint64) {
				termCtx.Store(ctx)
				<-ctx.Done()
			},
		})
		time.Sleep(leaseTTL)
		if got := elector.State(); got != Leading {
			t.Fatalf("the node is %s", got)
		}
		wanted.Store(true)
		time.Sleep(leaseTTL / 2)
		fake.mu.Lock()
		defer fake.mu.Unlock()
		if len(fake.revoked) == 0 || !errors.Is(termErr, context.Canceled) {
			t.Errorf("revoked are %v, the term's context ended with %v", fake.revoked, termErr)
		}
		if got := elector.State(); got == Leading {
			t.Errorf("the node is %s after the transfer", got)
		}
	})
}
