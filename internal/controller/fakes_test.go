package controller

import (
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
