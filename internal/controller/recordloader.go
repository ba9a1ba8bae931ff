package controller

import (
	"context"
	"errors"
	"log/slog"

	"lotusstile.dev/lotusstile/internal/records"
	"lotusstile.dev/lotusstile/internal/standby"
	"lotusstile.dev/lotusstile/wire"
)

// maxProofAttempts is how often a proof of the warm standby is tried before all records are
// listed instead, if the state store does not answer.
const maxProofAttempts = 3

// termRecords is the records that a term begins with. Job records that come from the job cache
// are not among them.
type termRecords struct {
	jobs, placements, returns, images []wire.KeyValue
	hints                             *standby.Proven // nil if all records were listed
}

// recordLoader reads the records that a term begins with: from what this node has followed as a
// warm standby, if that can be proven, else by listing them. It keeps what it has read so far
// from attempt to attempt.
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

// list lists all records. A listing of this term stays valid while others are tried again: only
// this term changes what it lists, but for jobs, whose changes come by the job cache. When a
// state store that got too many requests refused one of four listings in turn, all four were
// read again for 12 s.
func (l *recordLoader) list(ctx context.Context) (*termRecords, error) {
	for _, prefix := range []string{records.JobPrefix, records.PlacementPrefix, records.ReturnsPrefix, records.ImagesPrefix} {
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
		returns:    l.listings[records.ReturnsPrefix],
		images:     l.listings[records.ImagesPrefix],
	}, nil
}

// readProven returns what this node has followed, once it is proven, and brings the job cache,
// whose every entry the controller has, up to date by a read of this term.
func (l *recordLoader) readProven(ctx context.Context) (*termRecords, error) {
	proven, err := l.options.Prove(ctx, l.term)
	if err != nil {
		return nil, err
	}
	if err := l.options.JobCache.Refresh(ctx, l.options.Store); err != nil {
		return nil, err
	}
	l.failover.recordWarm(proven)
	return &termRecords{placements: proven.Placements, returns: proven.Returns, images: proven.Images, hints: proven}, nil
}

// isFinalProofError reports whether trying the proof again is of no use.
func isFinalProofError(err error) bool {
	for _, final := range []error{standby.ErrNoCopy, standby.ErrDigest, standby.ErrTooFarBehind, standby.ErrUndecodable} {
		if errors.Is(err, final) {
			return true
		}
	}
	return false
}
