package controller

import (
	"context"
	"errors"
	"log/slog"

	"lotusstile.dev/lotusstile/internal/records"
	"lotusstile.dev/lotusstile/internal/standby"
	"lotusstile.dev/lotusstile/wire"
)

// maxProofAttempts is how often the proof of the warm standby's copy is attempted while the state store does not answer.
// After that, all records are listed.
const maxProofAttempts = 3

// termRecords are the records that a term begins with. If they come from a warm standby's copy, jobs is empty: the
// controller gets the job records from the job cache.
type termRecords struct {
	jobs, placements, releases, images []wire.KeyValue
	hints                              *standby.ProvenCopy // nil if all records were listed
}

// recordLoader reads the records that a term begins with: from the copy that this node keeps as a warm standby if the
// proof of the copy succeeds, and otherwise by listing them. The results of list requests are kept from one call of
// read to the next.
type recordLoader struct {
	options       *Options
	term          uint64
	failover      *failoverReport
	proofAttempts int                        // attempts at a proof that the state store did not answer
	listings      map[string][]wire.KeyValue // results of list requests, by prefix
}

func newRecordLoader(options *Options, term uint64, failover *failoverReport) *recordLoader {
	return &recordLoader{options: options, term: term, failover: failover, listings: map[string][]wire.KeyValue{}}
}

// read reads the records. After a failure it can be called again.
func (l *recordLoader) read(ctx context.Context) (*termRecords, error) {
	if l.options.ProveStandbyCopy != nil && l.proofAttempts < maxProofAttempts {
		proven, err := l.readProven(ctx)
		if err == nil {
			return proven, nil
		}
		l.failover.recordProofFailure(err)
		if !isPermanentProofError(err) {
			l.proofAttempts++
			return nil, err
		}
		l.proofAttempts = maxProofAttempts
		slog.Info("warm standby cannot be used: all records are listed", "term", l.term, "reason", err)
	}
	return l.list(ctx)
}

// list lists all records. The result of a list request of this term stays valid while other requests are retried: only
// this term changes such records, except those of jobs, whose changes arrive through the job cache. When results were
// not kept and an overloaded state store refused one of the four requests in each attempt, the leader repeated all four
// for 12 s.
func (l *recordLoader) list(ctx context.Context) (*termRecords, error) {
	for _, prefix := range []string{records.JobPrefix, records.PlacementPrefix, records.MachineReleasePrefix, records.ImagesPrefix} {
		if _, known := l.listings[prefix]; known {
			continue
		}
		rows, _, err := l.options.Store.List(ctx, prefix)
		if err != nil {
			return nil, err
		}
		l.listings[prefix] = rows
	}
	return &termRecords{
		jobs:       l.listings[records.JobPrefix],
		placements: l.listings[records.PlacementPrefix],
		releases:   l.listings[records.MachineReleasePrefix],
		images:     l.listings[records.ImagesPrefix],
	}, nil
}

// readProven returns the copy that this node keeps as a warm standby, if the proof of the copy succeeds. It also
// refreshes the job cache by a read in this term; the controller receives every change of the cache.
func (l *recordLoader) readProven(ctx context.Context) (*termRecords, error) {
	proven, err := l.options.ProveStandbyCopy(ctx, l.term)
	if err != nil {
		return nil, err
	}
	if err := l.options.JobCache.Refresh(ctx, l.options.Store); err != nil {
		return nil, err
	}
	l.failover.recordProof(proven)
	return &termRecords{placements: proven.Placements, releases: proven.MachineReleases, images: proven.Images, hints: proven}, nil
}

// isPermanentProofError reports whether the proof would fail again if it were retried.
func isPermanentProofError(err error) bool {
	for _, permanent := range []error{standby.ErrNoCopy, standby.ErrDigest, standby.ErrTooFarBehind, standby.ErrUndecodable} {
		if errors.Is(err, permanent) {
			return true
		}
	}
	return false
}
