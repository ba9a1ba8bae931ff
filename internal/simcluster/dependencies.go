package simcluster

import (
	"time"

	"lotusstile.dev/lotusstile/wire"
)

// checkReleased checks, at the start of a task, that all that its job needs is done.
// w.mu is held.
func (w *Cluster) checkReleased(task string, spec *wire.JobSpec) {
	for _, uid := range spec.Dependencies {
		if len(w.done[uid]) < w.specs[uid].TaskCount {
			w.breach("too_early", "%s starts before %s is done", task, uid)
		}
	}
}

// ancestors calls f for every job that a job needs, directly or through others, until
// f returns false. w.mu is held.
func (w *Cluster) ancestors(uid string, f func(uid string) bool) bool {
	for _, name := range w.specs[uid].Dependencies {
		if !f(name) || !w.ancestors(name, f) {
			return false
		}
	}
	return true
}

// askedToCancel reports whether a user has asked to cancel a job or one that it needs.
// w.mu is held.
func (w *Cluster) askedToCancel(uid string) bool {
	return w.asked[uid] || !w.ancestors(uid, func(name string) bool { return !w.asked[name] })
}

// checkOrphan checks that a job that is called queued or running needs no job that its
// user was told is cancelled longer than cancel_s before asking. w.mu is held.
func (w *Cluster) checkOrphan(uid string, asked time.Time, status wire.JobStatus) {
	if status.Final() {
		return
	}
	w.ancestors(uid, func(name string) bool {
		announced, cancelled := w.aborted[name]
		late := cancelled && asked.Sub(announced).Seconds() > w.Config.Cluster.Workers.CancelS
		if late {
			w.breach("orphaned", "%s is called %s, %.1f s after %s was called cancelled", uid, status, asked.Sub(announced).Seconds(), name)
		}
		return !late
	})
}
