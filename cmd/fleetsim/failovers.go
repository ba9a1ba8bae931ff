package main

import (
	"context"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"os"
	"slices"
	"syscall"
	"time"

	"lotusstile.dev/lotusstile/internal/records"
	"lotusstile.dev/lotusstile/internal/simcluster"
)

const (
	// placementLimit is how soon after a leader's end the next one has to place work.
	placementLimit = 10 * time.Second
	// giveUpAfter is how long to wait for a placement before a failover counts as missed.
	giveUpAfter = time.Minute
	// An ended leader is away for minAway and up to awaySpread more.
	minAway, awaySpread = 4 * time.Second, 12 * time.Second
	// recordDelay is how long after the first placement the record of the failover is read: it is stored
	// after the placement.
	recordDelay = 2 * time.Second
)

// failovers ends leaders at random moments and measures the time to the next one's first placement.
type failovers struct {
	flags     *cli
	cluster   *simcluster.Cluster
	processes *processes
	rng       *rand.Rand
	took      []time.Duration // from each leader's end to the next one's first placement
	warm      int             // failovers to a warm standby
	missed    int             // no placement in time
}

// run ends as many leaders as given, at random moments.
func (f *failovers) run(ctx context.Context, ends int) error {
	for range ends {
		time.Sleep(f.flags.EndEvery/2 + time.Duration(f.rng.Int64N(int64(f.flags.EndEvery))))
		if err := f.endLeader(ctx); err != nil {
			return err
		}
	}
	return nil
}

// endLeader ends the leader for a while: it is killed and started again, or paused and resumed. Without a
// leader, the failover counts as missed.
func (f *failovers) endLeader(ctx context.Context) error {
	i, term, ok := leaderOf(f.cluster)
	if !ok {
		f.missed++
		return nil
	}
	ended, away := time.Now(), minAway+time.Duration(f.rng.Int64N(int64(awaySpread)))
	kills := f.rng.IntN(2) == 0
	if kills {
		if err := f.processes.kill(i); err != nil {
			return err
		}
	} else if err := f.processes.signal(i, syscall.SIGSTOP); err != nil {
		return err
	}
	f.measure(ended, term, kills)
	time.Sleep(time.Until(ended.Add(away)))
	if kills {
		return f.processes.start(ctx, i)
	}
	return f.processes.signal(i, syscall.SIGCONT)
}

// measure waits for the first placement of a newer term and prints how the failover went.
func (f *failovers) measure(ended time.Time, term uint64, killed bool) {
	for time.Since(ended) < giveUpAfter {
		placedAt, ok := f.cluster.Checker.FirstPlacement(term)
		if !ok {
			time.Sleep(10 * time.Millisecond)
			continue
		}
		took := placedAt.Sub(ended)
		f.took = append(f.took, took)
		time.Sleep(recordDelay)
		record := f.record(term)
		if record.Warm {
			f.warm++
		}
		fmt.Printf("takeover: killed %v, %d ms to the first placement, warm %v %q, elected %d ms, loaded %d ms, ready %d ms, "+
			"decided %d ms after nobody led; %d machines, %d attempts\n",
			killed, took.Milliseconds(), record.Warm, record.Cause, record.ElectedMs, record.LoadedMs, record.ReadyMs,
			record.DecidedMs, record.Machines, record.Attempts)
		return
	}
	f.missed++
}

// record returns the record of the newest failover, empty if that was not to a term newer than the given
// one.
func (f *failovers) record(term uint64) (record records.Failover) {
	item, ok := f.cluster.Store.Get(records.FailoverKey)
	if !ok {
		return record
	}
	if err := json.Unmarshal(item.Value, &record); err != nil {
		fmt.Fprintln(os.Stderr, "fleetsim: record of a failover:", err)
	}
	if record.Term <= term {
		return records.Failover{}
	}
	return record
}

// print prints the distribution of the times to the first placement.
func (f *failovers) print() {
	slices.Sort(f.took)
	quantile := func(part float64) time.Duration {
		if len(f.took) == 0 {
			return 0
		}
		return f.took[min(len(f.took)-1, int(part*float64(len(f.took))))].Round(time.Millisecond)
	}
	slow := 0
	for _, took := range f.took {
		if took > placementLimit {
			slow++
		}
	}
	fmt.Printf("takeovers: %d, %d warm, %d over %s, %d missed; to the first placement p50 %s, p90 %s, p99 %s, most %s\n",
		len(f.took), f.warm, slow, placementLimit, f.missed, quantile(0.5), quantile(0.9), quantile(0.99), quantile(1))
}

// printCost prints what each controller has used since it was started.
func (c *cli) printCost(ctx context.Context, p *processes, cluster *simcluster.Cluster) {
	leader, _, ok := leaderOf(cluster)
	for i := range c.Controllers {
		used, err := p.usage(i)
		if err != nil {
			fmt.Fprintln(os.Stderr, "fleetsim:", err)
			continue
		}
		moved, held := uint64(0), 0
		if status, err := fetchStatus(ctx, c.listenAddress(i)); err == nil && status.WarmStandby != nil {
			moved, held = status.WarmStandby.Moved, status.WarmStandby.Bytes
		}
		fmt.Printf("node-%d: leads %v, processor %s, memory %d KiB, standby: %d bytes moved, %d held\n",
			i, ok && i == leader, used.processor, used.residentKiB, moved, held)
	}
}
