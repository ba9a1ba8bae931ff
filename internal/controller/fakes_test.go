package controller

import (
	"context"
	"time"

	"lotusstile.dev/lotusstile/internal/records"
	"lotusstile.dev/lotusstile/wire"
)

// fakePeers are controllers of which those in some zones are reached, with all that relay
// heartbeats, and which renew no worker leases.
type fakePeers struct{ zones []string }

func (fakePeers) RenewedHosts() []string   { return nil }
func (p fakePeers) ReachedZones() []string { return p.zones }
func (fakePeers) RelayReached(string) bool { return true }

// fakeObserver keeps the final statuses that it was informed of.
type fakeObserver struct{ finished map[string]wire.JobStatus }

func (fakeObserver) TermObserved(uint64)               { /* not followed by tests */ }
func (fakeObserver) CycleFinished(time.Duration)       { /* not followed by tests */ }
func (fakeObserver) FailoverFinished(records.Takeover) { /* not followed by tests */ }

func (o fakeObserver) JobFinished(uid string, status wire.JobStatus) { o.finished[uid] = status }

// scriptedStore is a state store that answers commits in turn and keeps them.
type scriptedStore struct {
	Store
	answers []error
	commits []wire.Transaction
}

func (s *scriptedStore) Commit(_ context.Context, tx wire.Transaction) (uint64, error) {
	s.commits = append(s.commits, tx)
	err := s.answers[0]
	s.answers = s.answers[1:]
	return uint64(len(s.commits)), err
}

// recordingCloud is a cloud that takes all machines back and keeps their names.
type recordingCloud struct {
	Cloud
	hosts []string
}

func (r *recordingCloud) Return(_ context.Context, hosts []string) error {
	r.hosts = append(r.hosts, hosts...)
	return nil
}
