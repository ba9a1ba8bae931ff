package controller

import (
	"context"
	"fmt"
	"log/slog"
	"slices"
	"strings"

	"lotusstile.dev/lotusstile/internal/fleet"
	"lotusstile.dev/lotusstile/internal/ledger"
	"lotusstile.dev/lotusstile/wire"
)

// load rebuilds the picture from the records. Until it is loaded, reports keep
// their leases and get no orders.
func (c *Controller) load(ctx context.Context) error {
	var lists [4][]wire.Item
	for i, under := range []string{ledger.JobPrefix, ledger.PiecePrefix, ledger.ReturnsPrefix, ledger.ImagesPrefix} {
		rows, _, err := c.Store.List(ctx, under)
		if err != nil {
			return err
		}
		lists[i] = rows
	}
	jobs, pieces, returns, images := lists[0], lists[1], lists[2], lists[3]
	for _, row := range jobs {
		var rec ledger.Job
		if err := wire.Decode(row.Value, &rec); err != nil {
			return fmt.Errorf("job record %s: %w", row.Key, err)
		}
		c.jobEvent(strings.TrimPrefix(row.Key, ledger.JobPrefix), ledger.Entry{Job: &rec, Stamp: row.Stamp})
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	now := c.now()
	for _, row := range returns {
		var rec ledger.Returns
		if err := wire.Decode(row.Value, &rec); err != nil {
			return fmt.Errorf("record of returns %s: %w", row.Key, err)
		}
		for _, id := range rec.Hosts {
			c.fleet.Return(c.fleet.Know(id, now), now, "return was attempted in an earlier term")
			c.returns[id] = &pendingReturn{recorded: true}
		}
		if !slices.ContainsFunc(c.returnsRecords, func(r returnsRecord) bool { return r.key == row.Key }) {
			c.returnsRecords = append(c.returnsRecords, returnsRecord{row.Key, rec.Hosts})
		}
	}
	for _, row := range images {
		id := strings.TrimPrefix(row.Key, ledger.ImagesPrefix)
		var rec ledger.Images
		if err := wire.Decode(row.Value, &rec); err != nil {
			slog.Warn("images cannot be read", "host", id, "err", err)
			continue
		}
		m := c.fleet.Know(id, now)
		for _, name := range rec.Names {
			m.Images[name] = now
		}
		c.noted[id] = imageNote{len(rec.Names), now}
	}
	inherited := 0
	for _, row := range pieces {
		uid, n, ok := ledger.SplitPieceKey(row.Key)
		j := c.jobs[uid]
		if !ok || j == nil {
			slog.Warn("placement without a job", "key", row.Key)
			continue
		}
		if j.pieces[n] != nil {
			continue // an earlier try at loading got this far
		}
		for _, pl := range j.load(n, row) {
			m := c.fleet.Know(pl.Host, now)
			a := &fleet.Attempt{UID: uid, Leg: pl.Leg, Try: pl.Try, Shift: pl.Shift, Need: j.need,
				Image: j.rec.Spec.Rollout, Inherited: true}
			j.pieces[n].live[pl.Leg] = a
			j.live++
			c.fleet.Place(m, a, now)
			inherited++
		}
	}
	for _, j := range c.jobs {
		c.countsChanged(j)
		if j.rec.Status == wire.JobAborted {
			j.each(func(a *fleet.Attempt) { c.stop(a, 0, now, "withdrawn") })
		}
	}
	c.loaded = true
	c.steady = now
	slog.Info("picture loaded", "term", c.term, "jobs", len(c.jobs), "attempts", inherited, "returning", len(c.returns))
	return nil
}
