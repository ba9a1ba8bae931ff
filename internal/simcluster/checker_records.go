package simcluster

import (
	"bytes"
	"strings"
	"time"

	"lotusstile.dev/lotusstile/internal/records"
	"lotusstile.dev/lotusstile/wire"
)

// comparesPerChange is how many compares a transaction may have for each change that the limit TxnOps allows.
const comparesPerChange = 4

// checkCommit checks the size of a commit, and that compares guard its writes. A placement needs a compare of the
// leader key and one of its own key, and if it is a launch also one of the record of its job. A machine release needs a
// compare of the leader key, a job record one of its own key.
func (c *Checker) checkCommit(tx wire.Transaction) {
	stateLimits := c.config.StateLimits()
	if len(tx.Changes) > stateLimits.TxnOps || len(tx.Compares) > comparesPerChange*stateLimits.TxnOps {
		c.report(ruleLimits, "%d changes and %d compares in a commit", len(tx.Changes), len(tx.Compares))
	}
	compared := map[string]uint64{}
	comparedJobs := map[string]bool{} // jobs whose records must exist for the commit to succeed
	for _, compare := range tx.Compares {
		compared[compare.Key] = compare.ModRevision
		if compare.ModRevision != 0 {
			comparedJobs[strings.TrimPrefix(compare.Key, records.JobPrefix)] = true
		}
	}
	c.recordAttempts(tx.Changes)
	term := compared[records.LeaderKey]
	for _, change := range tx.Changes {
		key := change.Set + change.Drop
		if uid, _, ok := records.SplitPlacementKey(change.Set); ok {
			if comparedJobs[uid] {
				c.recordPlacement(term) // only launches compare the record of their job
			} else if compared[change.Set] == 0 {
				c.report(ruleUnguarded, "%s is created without a compare of its job's record: %v", key, tx.Compares)
			}
		}
		if float64(len(change.Value)) > stateLimits.ValueKb*1024 {
			c.report(ruleLimits, "the value of %s has %d bytes", key, len(change.Value))
		}
		_, isKeyCompared := compared[key]
		switch {
		case strings.HasPrefix(key, records.PlacementPrefix) && (term == 0 || !isKeyCompared),
			strings.HasPrefix(key, records.MachineReleasePrefix) && term == 0,
			strings.HasPrefix(key, records.JobPrefix) && !isKeyCompared:
			c.report(ruleUnguarded, "%s is written with compares %v", key, tx.Compares)
		}
	}
}

// recordAttempts records since when the placement records that a commit changes have listed attempts that may run.
func (c *Checker) recordAttempts(changes []wire.Change) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, change := range changes {
		key := change.Set + change.Drop
		uid, _, ok := records.SplitPlacementKey(key)
		if !ok {
			continue
		}
		var placement records.Placement
		if change.Set != "" {
			var err error
			if placement, err = records.DecodePlacement(change.Value); err != nil {
				panic(err)
			}
		}
		job := c.job(uid)
		if len(placement.Live) == 0 {
			delete(job.placedSince, key)
		} else if job.placedSince[key].IsZero() {
			job.placedSince[key] = time.Now()
		}
	}
}

// recordPlacement records when a term committed its first placement.
func (c *Checker) recordPlacement(term uint64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if _, known := c.firstPlacements[term]; !known {
		c.firstPlacements[term] = time.Now()
	}
}

// FirstPlacement returns when the first placement of any term after the given one was committed; ok is
// false if there was none yet.
func (c *Checker) FirstPlacement(after uint64) (at time.Time, ok bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for term, placedAt := range c.firstPlacements {
		if term > after && (!ok || placedAt.Before(at)) {
			at, ok = placedAt, true
		}
	}
	return at, ok
}

// checkLaunch checks that a launch was recorded before it was sent.
func (c *Checker) checkLaunch(task string, attempt uint64, host string) {
	if !c.isRecorded(task, attempt, host) {
		c.report(ruleUnrecorded, "%s attempt %d is launched on %s without a record", task, attempt, host)
	}
}

// checkRelease checks that the release of a machine was recorded before the cloud is asked to terminate it.
func (c *Checker) checkRelease(host string) {
	for _, item := range c.store.Items(records.MachineReleasePrefix) {
		if bytes.Contains(item.Value, []byte(`"`+host+`"`)) {
			return
		}
	}
	c.report(ruleUnrecorded, "%s is released without a record", host)
}

// checkAcknowledge checks that the end of an attempt was recorded before its worker is told to remove it.
// A cancelled job is never launched again and needs no such record.
func (c *Checker) checkAcknowledge(task string, attempt uint64, host string) {
	uid, _, _ := wire.SplitTaskName(task)
	item, ok := c.store.Get(records.JobKey(uid))
	if ok && !bytes.Contains(item.Value, []byte(wire.JobAborted)) && c.isRecorded(task, attempt, host) {
		c.report(ruleReaped, "%s attempt %d is acknowledged on %s, but its record says it may run", task, attempt, host)
	}
}

// isRecorded reports whether a placement record says that an attempt may run on a machine.
func (c *Checker) isRecorded(task string, attempt uint64, host string) bool {
	uid, index, _ := wire.SplitTaskName(task)
	for _, item := range c.store.Items(records.PlacementPrefix + uid + "/") {
		placement, err := records.DecodePlacement(item.Value)
		if err != nil {
			panic(err)
		}
		for _, live := range placement.Live {
			if live.Task == index && live.Attempt == attempt && live.Host == host {
				return true
			}
		}
	}
	return false
}
