package controller

import (
	"context"
	"errors"
	"log/slog"

	"lotusstile.dev/lotusstile/internal/records"
	"lotusstile.dev/lotusstile/internal/standby"
	"lotusstile.dev/lotusstile/wire"
)

// maxProofAttempts is how often the proof of the warm standby is attempted while the state store
// does not answer; after that all records are listed.
const maxProofAttempts = 3

// termRecords are the records that a term begins with. With a warm standby the job records are
// missing: the controller has them from the job cache.
type termRecords struct {
	jobs, placements, releases, images []wire.KeyValue
	hints                              *standby.Proven // nil if all records were listed
}

// recordLoader reads the records that a term begins with: from the copy that this node has
// followed as a warm standby, if its proof succeeds, else by listing them. It keeps the listings
// that have succeeded from one call of read to the next.
type recordLoader struct {
	options       *Options
	term          uint64
	failover      *failoverReport
	proofAttempts int                        // proofs that the state store did not answer
	listings      map[string][]wire.KeyValue // by prefix
}

func newRecordLoader(options *Options, term uint64, failover *failoverReport) *recordLoader {
	return &recordLoader{options: options, term: term, failover: failover, listings: map[string][]wire.KeyValue{}}
}

// read reads the records. If it fails it can be called again.
func (l *recordLoader) read(ctx context.Context) (*termRecords, error) {
	if l.options.Prove != nil && l.proofAttempts < maxProofAttempts {
		proven, err := l.readProven(ctx)
		if err == nil {
			return proven, nil
		}
		l.failover.recordCold(err)
		if !isFinalProofError(err) {
			l.proofAttempts++
			return nil, err
		}
		l.proofAttempts = maxProofAttempts
		slog.Info("warm standby cannot be used: all records are listed", "term", l.term, "reason", err)
	}
	return l.list(ctx)
}

// list lists all records. A listing of this term stays valid while others are retried: only this
// term changes such records, but for jobs, whose changes come through the job cache. When an
// overloaded state store refused one of the four listings in each attempt, all four were read
// again and again for 12 s.
func (l *recordLoader) list(ctx context.Context) (*termRecords, error) {
	for _, prefix := range []string{records.JobPrefix, records.PlacementPrefix, records.ScaleInPrefix, records.ImagesPrefix} {
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
		releases:   l.listings[records.ScaleInPrefix],
		images:     l.listings[records.ImagesPrefix],
	}, nil
}

// readProven returns the copy that this node has followed, once its proof succeeds. It brings the
// job cache up to date by a read of this term; every change of it reaches the controller.
func (l *recordLoader) readProven(ctx context.Context) (*termRecords, error) {
	proven, err := l.options.Prove(ctx, l.term)
	if err != nil {
		return nil, err
	}
	if err := l.options.JobCache.Refresh(ctx, l.options.Store); err != nil {
		return nil, err
	}
	l.failover.recordWarm(proven)
	return &termRecords{placements: proven.Placements, releases: proven.Returns, images: proven.Images, hints: proven}, nil
}

// isFinalProofError reports whether the proof would fail again if it were retried.
func isFinalProofError(err error) bool {
	for _, final := range []error{standby.ErrNoCopy, standby.ErrDigest, standby.ErrTooFarBehind, standby.ErrUndecodable} {
		if errors.Is(err, final) {
			return true
		}
	}
	return false
}
