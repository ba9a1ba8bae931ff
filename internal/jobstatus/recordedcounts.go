package jobstatus

import (
	"context"
	"errors"
	"fmt"
	"time"

	lru "github.com/hashicorp/golang-lru/v2"

	"lotusstile.dev/lotusstile/internal/peer"
	"lotusstile.dev/lotusstile/internal/records"
	"lotusstile.dev/lotusstile/internal/store"
	"lotusstile.dev/lotusstile/wire"
)

// ErrCountsUnknown means that a job is not over, and that it is not known whether a task of it runs: it can be reported
// neither as queued nor as running.
var ErrCountsUnknown = errors.New("it is not known yet whether a task of the job runs")

// recordedCounts reads task counts: those that the leader knows from heartbeats or, without these, what the placement
// records show. It is safe for concurrent use.
type recordedCounts struct {
	store    *store.Client
	ofLeader func(uid string) peer.TaskCounts
	// unknownSince is when this node first could not tell the status of a job. Jobs leave it when their status is known.
	unknownSince *lru.Cache[string, time.Time]
}

// maxStatusUnknown is how long this node answers that it does not know the status of a job. After that, the attempts on
// record count as running: by the protocol a task is on its machine also while it cannot be reached, and a job without an
// answer for wire.MaxUnanswered counts as forgotten.
const maxStatusUnknown = wire.MaxUnanswered * 3 / 5

// newRecordedCounts returns a reader for a node with memoryMb MiB of memory.
func newRecordedCounts(client *store.Client, ofLeader func(uid string) peer.TaskCounts, memoryMb float64) recordedCounts {
	unknownSince, err := lru.New[string, time.Time](cacheEntries(memoryMb))
	if err != nil {
		panic(err) // only a size below 1 is refused
	}
	return recordedCounts{store: client, ofLeader: ofLeader, unknownSince: unknownSince}
}

// read returns the task counts of a job that is not over, or ErrCountsUnknown.
func (r *recordedCounts) read(ctx context.Context, uid string) (peer.TaskCounts, error) {
	counts := r.ofLeader(uid)
	switch counts.Knowledge {
	case peer.CountsKnown:
		r.unknownSince.Remove(uid)
		return counts, nil
	case peer.CountsUnknown:
		return r.readPlacements(ctx, uid)
	}
	if r.isAnswerDue(uid) {
		return r.readPlacements(ctx, uid)
	}
	return peer.TaskCounts{}, ErrCountsUnknown
}

// isAnswerDue reports whether the status of a job that is unknown now has been unknown here for as long as it may be.
func (r *recordedCounts) isAnswerDue(uid string) bool {
	now := time.Now()
	since, found, _ := r.unknownSince.PeekOrAdd(uid, now)
	return found && now.Sub(since) > maxStatusUnknown
}

// readPlacements reads the task counts of a job from its placement records. A launch is recorded before it is sent, so
// no task runs if the records list no attempt that may be on a machine. If they list some, the counts are unknown unless
// an answer is due. Until then only the first page of the records is read.
func (r *recordedCounts) readPlacements(ctx context.Context, uid string) (peer.TaskCounts, error) {
	prefix := records.PlacementPrefixOf(uid)
	rows, complete, err := r.store.ListFirstPage(ctx, prefix)
	if err != nil {
		return peer.TaskCounts{}, err
	}
	placed, done, err := countTasks(rows)
	switch {
	case err != nil:
		return peer.TaskCounts{}, err
	case placed == 0 && complete:
		r.unknownSince.Remove(uid)
		return peer.TaskCounts{Done: done, Knowledge: peer.CountsKnown}, nil
	case !r.isAnswerDue(uid):
		return peer.TaskCounts{}, ErrCountsUnknown
	}
	if !complete {
		if rows, _, err = r.store.List(ctx, prefix); err != nil {
			return peer.TaskCounts{}, err
		}
		if placed, done, err = countTasks(rows); err != nil {
			return peer.TaskCounts{}, err
		}
	}
	return peer.TaskCounts{Done: done, Running: placed, Knowledge: peer.CountsKnown}, nil
}

// countTasks returns how many attempts in placement records may be on machines, and how many tasks are done.
func countTasks(rows []wire.KeyValue) (placed, done int, err error) {
	for _, row := range rows {
		record, err := records.DecodePlacement(row.Value)
		if err != nil {
			return 0, 0, fmt.Errorf("%s: %w", row.Key, err)
		}
		placed += len(record.Live)
		done += record.DoneCount()
	}
	return placed, done, nil
}
