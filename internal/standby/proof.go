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

// Proven is a copy that agrees with the state service: its records are those that a
// listing begun after the election would show.
type Proven struct {
	Placements, Returns, Images []wire.KeyValue
	// Hints are the views of the leader before: nothing is proven about them.
	Machines []MachineView
	Jobs     []JobView
	Leader   LeaderView

	FollowedTerm, Position uint64
	Digest                 uint64
	Age                    time.Duration // of the copy, when the check began
	Changes                int           // records that had changed since
}

// Prove checks what is held for a term that this node has been elected for. The election
// itself shows that the leader before is silent: the state service has ended its lease, and
// guards refuse its commits. The changes after the followed position are read after that,
// so all commits of earlier terms are among them or part of the copy.
//
// An error that wraps ErrNothingHeld, ErrDigest, ErrTooFarBehind or ErrUndecodable is final:
// all records have to be listed. After any other the check can be tried again.
func (f *Follower) Prove(ctx context.Context, r watchcache.Reader, term uint64) (*Proven, error) {
	h, err := f.beginVerification(term)
	if err != nil {
		return nil, err
	}
	if sum := h.computeDigest(); sum != h.digest {
		return nil, f.refuseLocked(fmt.Errorf("%w at %d", ErrDigest, h.sequence))
	}
	events, err := changesSince(ctx, r, h.position)
	if errors.Is(err, store.ErrTooOld) {
		return nil, f.refuseLocked(fmt.Errorf("%w: %d", ErrTooFarBehind, h.position))
	}
	if err != nil {
		return nil, fmt.Errorf("changes after %d: %w", h.position, err)
	}
	p, err := prove(h, events)
	if err != nil {
		return nil, f.refuseLocked(err)
	}
	p.Age = f.now().Sub(h.requestedAt)
	f.mu.Lock()
	defer f.mu.Unlock()
	f.setState(Ready, fmt.Sprintf("agrees with the state service: %d changes after %d", p.Changes, p.Position))
	return p, nil
}

// beginVerification begins the check, or goes on with it.
func (f *Follower) beginVerification(term uint64) (*stateCopy, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.copy == nil || f.copy.term >= term {
		f.copy = nil
		f.setState(Empty, "nothing complete is held")
		return nil, ErrNoCopy
	}
	f.setState(Verifying, fmt.Sprintf("elected for term %d", term))
	return f.copy, nil
}

// failAll gives the copy up.
func (f *Follower) refuseLocked(err error) error {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.refuse(err)
	return err
}

// MarkPromoted notes that the controller of this node's term has taken over what is held.
func (f *Follower) MarkPromoted(cause string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.copy = nil
	f.setState(Promoted, cause)
}

// changesSince reads what has changed of the followed records, all prefixes at once.
func changesSince(ctx context.Context, r watchcache.Reader, position uint64) ([]wire.WatchEvent, error) {
	var wg sync.WaitGroup
	changes := make([]wire.WatchResponse, len(recordPrefixes))
	errs := make([]error, len(recordPrefixes))
	for i, prefix := range recordPrefixes {
		wg.Add(1)
		go func() {
			defer wg.Done()
			changes[i], errs[i] = r.Changes(ctx, prefix, position, 0)
		}()
	}
	wg.Wait()
	var events []wire.WatchEvent
	for i := range changes {
		events = append(events, changes[i].Events...)
	}
	return events, errors.Join(errs...)
}

// prove takes changes into a copy and lists what it then holds.
func prove(h *stateCopy, events []wire.WatchEvent) (*Proven, error) {
	edit := h.edit()
	for _, n := range events {
		edit.apply(&Entry{Key: n.Set + n.Drop, Value: n.Value, ModRevision: n.ModRevision, Dropped: n.Drop != ""})
	}
	now := edit.contents()
	p := &Proven{Placements: now.list(records.PlacementPrefix), Returns: now.list(records.ReturnsPrefix), Images: now.list(records.ImagesPrefix),
		FollowedTerm: h.term, Position: h.position, Digest: h.digest, Changes: len(events)}
	if err := now.decodeViews(p); err != nil {
		return nil, err
	}
	return p, nil
}
