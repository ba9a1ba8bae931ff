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

// Proven is a copy that agrees with the state store: its records are those that a
// listing begun after the election would show.
type Proven struct {
	Placements []wire.KeyValue
	Returns    []wire.KeyValue
	Images     []wire.KeyValue
	// Machines, Jobs and Leader are the views of the previous leader: nothing is proven about them.
	Machines []MachineView
	Jobs     []JobView
	Leader   LeaderView

	FollowedTerm uint64
	Position     uint64        // revision after which the changes were read
	Digest       uint64        // of the copy
	Age          time.Duration // of the copy when it was proven
	Changes      int           // number of records that had changed since Position
}

// Prove checks the copy for a term that this node has been elected for. The election
// itself shows that the previous leader can no longer change anything: the state store has ended its
// lease, and compares refuse its commits. The changes after the followed position are read after that,
// so all commits of earlier terms are among them or part of the copy.
//
// An error that wraps ErrNoCopy, ErrDigest, ErrTooFarBehind or ErrUndecodable is final:
// all records have to be listed. After any other error the caller can call Prove again.
func (f *Follower) Prove(ctx context.Context, r watchcache.Reader, term uint64) (*Proven, error) {
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

// beginVerification begins the check, or repeats it, and returns the copy. ErrNoCopy means that there
// is none of an earlier term.
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

// failVerification discards the copy, counts the cause and returns the error.
func (f *Follower) failVerification(err error) error {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.discardRefused(err)
	return err
}

// MarkPromoted must be called when the controller of this node's term has loaded the copy, which is
// dropped then. cause is shown to operators.
func (f *Follower) MarkPromoted(cause string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.copy = nil
	f.setState(Promoted, cause)
}

// changesSince reads the changes of the followed records after a position, with one request for each
// prefix at the same time.
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

// applyEvents applies changes to a copy and lists the result. An error wraps ErrUndecodable.
func applyEvents(followed *stateCopy, events []wire.WatchEvent) (*Proven, error) {
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
	proven := &Proven{
		Placements:   current.list(records.PlacementPrefix),
		Returns:      current.list(records.ScaleInPrefix),
		Images:       current.list(records.ImagesPrefix),
		FollowedTerm: followed.term,
		Position:     followed.position,
		Digest:       followed.digest,
		Changes:      len(events),
	}
	if err := current.decodeViews(proven); err != nil {
		return nil, err
	}
	return proven, nil
}
