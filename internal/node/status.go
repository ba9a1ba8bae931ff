package node

import (
	"context"
	"errors"
	"log/slog"

	lru "github.com/hashicorp/golang-lru/v2"

	"lotusstile.dev/lotusstile/internal/peer"
	"lotusstile.dev/lotusstile/internal/records"
	"lotusstile.dev/lotusstile/internal/store"
	"lotusstile.dev/lotusstile/internal/watchcache"
	"lotusstile.dev/lotusstile/wire"
)

// readStatus answers a poll from this node's copy of the jobs, brought up to date
// by a read that began after the question; polls that come together share one. A
// final status is cached for ever.
func (n *Node) readStatus(ctx context.Context, uid string) (wire.JobView, bool, error) {
	if s, ok := n.finals.get(uid); ok {
		return wire.JobView{UID: uid, Status: s}, true, nil
	}
	switch err := n.jobReader.Refresh(ctx); {
	case errors.Is(err, watchcache.ErrNotSynced) || errors.Is(err, store.ErrCompacted):
		return n.lookup(ctx, uid)
	case err != nil:
		return wire.JobView{}, false, err
	}
	if e, ok := n.jobCache.Job(uid); ok {
		view, err := n.viewOf(ctx, uid, e.Job)
		return view, err == nil, err
	}
	// It is archived, as a rule. If it is not, it was never accepted, or its record
	// is not in the copy for a reason that only the records themselves tell.
	if view, found, err := n.readFinal(ctx, uid); found || err != nil {
		return view, found, err
	}
	never, err := n.neverAccepted(ctx, uid)
	if never || err != nil {
		return wire.JobView{UID: uid}, false, err
	}
	return n.lookup(ctx, uid)
}

// neverAccepted reports whether a job has neither a record nor a final status at one moment,
// which only a job has that was not accepted before. It is a transaction that changes nothing: two
// reads could miss a job that is archived between them, and take one request more for each
// question about a job that nobody has submitted.
func (n *Node) neverAccepted(ctx context.Context, uid string) (bool, error) {
	_, err := n.store.Commit(ctx, wire.Transaction{Compares: []wire.Compare{{Key: records.JobKey(uid)}, {Key: records.FinalKey(uid)}}})
	var conflict *store.ConflictError
	if errors.As(err, &conflict) {
		return false, nil
	}
	return err == nil, err
}

// lookup reads how a job stands from its own records.
func (n *Node) lookup(ctx context.Context, uid string) (wire.JobView, bool, error) {
	view := wire.JobView{UID: uid}
	if s, ok := n.finals.get(uid); ok {
		view.Status = s
		return view, true, nil
	}
	item, found, err := n.store.Get(ctx, records.JobKey(uid))
	if err != nil {
		return view, false, err
	}
	if !found {
		// Archiving writes the final status in the same commit that drops the
		// record: a job without a record has one, or never was.
		return n.readFinal(ctx, uid)
	}
	var rec records.Job
	if err := wire.Decode(item.Value, &rec); err != nil {
		return view, false, err
	}
	if len(rec.Spec.Dependencies) > 0 && !rec.Status.Final() {
		// The jobs that it needs are looked up in this node's copy.
		if err := n.jobReader.Refresh(ctx); err != nil {
			return view, false, err
		}
	}
	view, err = n.viewOf(ctx, uid, &rec)
	return view, err == nil, err
}

// viewOf makes the answer for a job whose record was read after the question, as was
// this node's copy of the jobs if it waits for others. A job that needs a cancelled one
// is cancelled from then on, and stays so: it has no task, and its record can only
// become that of a cancelled job.
func (n *Node) viewOf(ctx context.Context, uid string, rec *records.Job) (wire.JobView, error) {
	view := wire.JobView{UID: uid, Status: rec.Status}
	if !rec.Status.Final() {
		cancelled, err := n.dependencyCancelled(ctx, rec.Spec.Dependencies, map[string]bool{})
		if err != nil {
			return view, err
		}
		if cancelled {
			view.Status = wire.JobAborted
		}
	}
	if view.Status.Final() {
		n.finals.put(uid, view.Status)
		return view, nil
	}
	n.addCounts(&view)
	// Reading and counting take time: a final status that was told meanwhile,
	// here or at a peer, is not answered with something older.
	if s, ok := n.finals.get(uid); ok {
		return wire.JobView{UID: uid, Status: s}, nil
	}
	return view, nil
}

// readFinal reads the final status of an archived job.
func (n *Node) readFinal(ctx context.Context, uid string) (wire.JobView, bool, error) {
	view := wire.JobView{UID: uid}
	item, found, err := n.store.Get(ctx, records.FinalKey(uid))
	if err != nil || !found {
		return view, false, err
	}
	var rec records.Final
	if err := wire.Decode(item.Value, &rec); err != nil {
		return view, false, err
	}
	n.finals.put(uid, rec.Status)
	view.Status = rec.Status
	return view, true, nil
}

// countsAt tells a job's counts as the leader had them at the last ping. A leader
// that does not send them is asked.
func (n *Node) countsAt(leader *peer.Peer, uid string) (done, running int) {
	if done, running, ok := n.counts.get(leader.Label, n.elector.View().Term, uid); ok {
		return done, running
	}
	r, err := leader.Counts(uid)
	if err != nil {
		slog.Debug("leader does not tell counts", "uid", uid, "err", err)
	}
	return r.Done, r.Running
}

// addCounts adds how many tasks are done and running, as far as the leader tells.
func (n *Node) addCounts(view *wire.JobView) {
	if c := n.lead.Load(); c != nil {
		view.Done, view.Running, _ = c.Counts(view.UID)
	} else if p := n.leader(); p != nil {
		view.Done, view.Running = n.countsAt(p, view.UID)
	}
	if view.Running > 0 {
		view.Status = wire.JobRunning
	}
}

// finals remembers final statuses for as long as they fit: they can be read again. Those that
// nobody has asked about for longest go first.
type finals struct {
	known *lru.Cache[string, wire.JobStatus]
}

const (
	finalsShare = 1 / 16. // of a node's memory
	finalBytes  = 256     // that one takes
	leastFinals = 1000
)

// newFinals makes a cache for a node with so much memory.
func newFinals(memMb float64) finals {
	room := int(finalsShare * memMb * (1 << 20) / finalBytes)
	known, err := lru.New[string, wire.JobStatus](max(leastFinals, room))
	if err != nil {
		panic(err) // only a size below 1 is refused
	}
	return finals{known}
}

func (f *finals) get(uid string) (wire.JobStatus, bool) { return f.known.Get(uid) }

func (f *finals) put(uid string, s wire.JobStatus) { f.known.Add(uid, s) }
