package standby

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"time"

	"lotusstile.dev/lotusstile/internal/records"
	"lotusstile.dev/lotusstile/internal/store"
	"lotusstile.dev/lotusstile/internal/watchcache"
	"lotusstile.dev/lotusstile/wire"
)

// ProvenCopy is a copy that agrees with the state store: its records are those that a listing after the election would
// return.
type ProvenCopy struct {
	Placements      []wire.KeyValue
	MachineReleases []wire.KeyValue
	Images          []wire.KeyValue
	// Machines, Jobs and Leader are the views of the previous leader. The proof does not cover them.
	Machines []MachineView
	Jobs     []JobView
	Leader   LeaderView

	FollowedTerm uint64        // term of the leader that was followed
	Position     uint64        // revision after which the changes were read
	Digest       uint64        // of the copy
	Age          time.Duration // of the copy when it was proven
	Changes      int           // number of changes of records since Position
}

// Prove brings the copy up to date with the state store for a term that this node has been elected for. The election
// shows that the previous leader can no longer change any record: the state store has ended its lease, and the
// compare of the leader's key rejects its commits. Prove then reads the changes after the copy's position, so every
// commit of an earlier term is among these changes or in the copy.
//
// If the error wraps ErrNoCopy, ErrDigest, ErrTooFarBehind or ErrUndecodable, the copy cannot be used and the caller
// must list all records. After any other error the caller can call Prove again.
func (f *Follower) Prove(ctx context.Context, r watchcache.Reader, term uint64) (*ProvenCopy, error) {
	followed, err := f.beginVerification(term)
	if err != nil {
		return nil, err
	}
	if sum := followed.computeDigest(); sum != followed.digest {
		return nil, f.failVerification(fmt.Errorf("%w at %d", ErrDigest, followed.sequence))
	}
	events, err := changesSince(ctx, r, followed.position)
	if errors.Is(err, store.ErrCompacted) {
		return nil, f.failVerification(fmt.Errorf("%w: %d", ErrTooFarBehind, followed.position))
	}
	if err != nil {
		return nil, fmt.Errorf("changes after %d: %w", followed.position, err)
	}
	proven, err := applyEvents(followed, events)
	if err != nil {
		return nil, f.failVerification(err)
	}
	proven.Age = f.now().Sub(followed.requestedAt)
	f.mu.Lock()
	defer f.mu.Unlock()
	f.setState(Ready, fmt.Sprintf("agrees with the state service: %d changes after %d", proven.Changes, proven.Position))
	return proven, nil
}

// beginVerification changes the state to Verifying and returns the copy. It returns ErrNoCopy if there is no copy of an
// earlier term.
func (f *Follower) beginVerification(term uint64) (*stateCopy, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.copy == nil || f.copy.term >= term {
		f.copy = nil
		f.setState(Empty, "there is no complete copy")
		return nil, ErrNoCopy
	}
	f.setState(Verifying, fmt.Sprintf("elected for term %d", term))
	return f.copy, nil
}

// failVerification discards the copy, counts the cause of the error and returns the error.
func (f *Follower) failVerification(err error) error {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.discardAndCount(err)
	return err
}

// MarkPromoted must be called when the controller of this node's term has loaded the copy. It drops the copy. cause is
// shown to operators.
func (f *Follower) MarkPromoted(cause string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.copy = nil
	f.setState(Promoted, cause)
}

// changesSince reads the changes of the followed records after a position. It sends the requests, one for each prefix,
// in parallel.
func changesSince(ctx context.Context, r watchcache.Reader, position uint64) ([]wire.WatchEvent, error) {
	var wg sync.WaitGroup
	changes := make([]wire.WatchResponse, len(recordPrefixes))
	errs := make([]error, len(recordPrefixes))
	for i, prefix := range recordPrefixes {
		wg.Add(1)
		go func() {
			defer wg.Done()
			changes[i], errs[i] = r.Watch(ctx, prefix, position, 0)
		}()
	}
	wg.Wait()
	var events []wire.WatchEvent
	for i := range changes {
		events = append(events, changes[i].Events...)
	}
	return events, errors.Join(errs...)
}

// applyEvents applies changes to a copy and lists the result. Every error wraps ErrUndecodable.
func applyEvents(followed *stateCopy, events []wire.WatchEvent) (*ProvenCopy, error) {
	edit := followed.edit()
	for _, event := range events {
		edit.apply(&Entry{
			Key:         event.Set + event.Drop,
			Value:       event.Value,
			ModRevision: event.ModRevision,
			Dropped:     event.Drop != "",
		})
	}
	current := edit.contents()
	proven := &ProvenCopy{
		Placements:      current.listRecords(records.PlacementPrefix),
		MachineReleases: current.listRecords(records.MachineReleasePrefix),
		Images:          current.listRecords(records.ImagesPrefix),
		FollowedTerm:    followed.term,
		Position:        followed.position,
		Digest:          followed.digest,
		Changes:         len(events),
	}
	if err := current.decodeViews(proven); err != nil {
		return nil, err
	}
	return proven, nil
}
