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

// runElector runs an elector in a synctest bubble. At the end of the test it stops the elector, including its watch and
// its term.
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

// A campaign whose commit has an unknown outcome is won if the leader's key is attached to the lease of this campaign.
// After a campaign that another node has won, the node revokes its lease and reads who leads.
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
					t.Errorf("lease of the campaign revoked: %v, want %v", revoked, tc.rival != nil)
				}
				if tc.rival != nil && elector.View().Leader != "b" {
					t.Errorf("after a lost campaign the view is %+v, want Leader b", elector.View())
				}
			})
		})
	}
}

// A lease is renewed four times in its time to live. While the store refuses renewals because it receives too many
// requests, twenty are attempted in that time. A term whose lease is not renewed continues as LeadingUnconfirmed,
// becomes Leading again with the next renewal, and ends when the store reports that the lease has ended.
func TestLeaseKeeping(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		fake := &fakeStore{}
		elector := runElector(t, Options{Store: fake})
		time.Sleep(leaseTTL)
		for _, step := range []struct {
			name         string
			renewErr     error
			want         State
			fewest, most int // renewals in the step, which lasts three times leaseTTL
		}{
			{"renewed", nil, Leading, 11, 13},
			{"throttled", store.ErrThrottled, LeadingUnconfirmed, 55, 61},
			{"renewed again", nil, Leading, 11, 13},
			{"unknown outcome", store.ErrOutcomeUnknown, LeadingUnconfirmed, 11, 13},
		} {
			fake.setRenewErr(step.renewErr)
			stepStart := time.Now()
			time.Sleep(3 * leaseTTL)
			if got := elector.State(); got != step.want {
				t.Errorf("%s: the node is %s, want %s", step.name, got, step.want)
			}
			if got := fake.renewalsSince(stepStart); got < step.fewest || got > step.most {
				t.Errorf("%s: %d renewals, want %d to %d", step.name, got, step.fewest, step.most)
			}
		}
		fake.setRenewErr(store.ErrLeaseNotFound)
		time.Sleep(leaseTTL / 2)
		if got := elector.State(); got == Leading || got == LeadingUnconfirmed {
			t.Errorf("after its lease has ended the node is %s, want it not to lead", got)
		}
	})
}

// A leadership transfer ends the term before it revokes the lease, so that the term starts no commit after the leader's
// key is gone.
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
			t.Fatalf("before the transfer the node is %s, want %s", got, Leading)
		}
		wanted.Store(true)
		time.Sleep(leaseTTL / 2)
		fake.mu.Lock()
		defer fake.mu.Unlock()
		if len(fake.revoked) == 0 || !errors.Is(termErr, context.Canceled) {
			t.Errorf("revoked leases: %v, want some; error of the term's context then: %v, want %v", fake.revoked, termErr, context.Canceled)
		}
		if got := elector.State(); got == Leading {
			t.Errorf("after the transfer the node is %s, want it not to lead", got)
		}
	})
}
