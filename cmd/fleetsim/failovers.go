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
	// placementLimit is the time after a leader's failure within which the next leader must place a task.
	placementLimit = 10 * time.Second
	// placementTimeout is how long to wait for a placement. After it, the failover counts as missed.
	placementTimeout = time.Minute
	// A failed leader is down for minDowntime plus a random time of up to downtimeSpread.
	minDowntime, downtimeSpread = 4 * time.Second, 12 * time.Second
	// recordDelay is the time between the first placement and reading the failover record, which the
	// leader stores after the placement.
	recordDelay = 2 * time.Second
)

// failovers makes leaders fail at random moments and measures the time to the next leader's first
// placement.
type failovers struct {
	flags          *cli
	cluster        *simcluster.Cluster
	processes      *processes
	rng            *rand.Rand
	placementTimes []time.Duration // from each leader's failure to the next leader's first placement
	warm           int             // number of failovers to a warm standby
	missed         int             // number of failovers that found no leader to fail, or no placement within placementTimeout
}

// run makes the given number of leaders fail, at random moments.
func (f *failovers) run(ctx context.Context, count int) error {
	for range count {
		time.Sleep(f.flags.EndEvery/2 + time.Duration(f.rng.Int64N(int64(f.flags.EndEvery))))
		if err := f.failLeader(ctx); err != nil {
			return err
		}
	}
	return nil
}

// failLeader makes the leader fail for a while: it either kills and restarts the leader, or pauses and
// resumes it. If there is no leader, the failover counts as missed.
func (f *failovers) failLeader(ctx context.Context) error {
	i, term, ok := leaderOf(f.cluster)
	if !ok {
		f.missed++
		return nil
	}
	failedAt, downtime := time.Now(), minDowntime+time.Duration(f.rng.Int64N(int64(downtimeSpread)))
	shouldKill := f.rng.IntN(2) == 0
	if shouldKill {
		if err := f.processes.kill(i); err != nil {
			return err
		}
	} else if err := f.processes.signal(i, syscall.SIGSTOP); err != nil {
		return err
	}
	f.measure(failedAt, term, shouldKill)
	time.Sleep(time.Until(failedAt.Add(downtime)))
	if shouldKill {
		return f.processes.start(ctx, i)
	}
	return f.processes.signal(i, syscall.SIGCONT)
}

// measure waits for the first placement in a term after the given one, and prints the durations of the
// failover's steps.
func (f *failovers) measure(failedAt time.Time, term uint64, killed bool) {
	for time.Since(failedAt) < placementTimeout {
		placedAt, ok := f.cluster.Checker.FirstPlacement(term)
		if !ok {
			time.Sleep(10 * time.Millisecond)
			continue
		}
		took := placedAt.Sub(failedAt)
		f.placementTimes = append(f.placementTimes, took)
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

// record returns the record of the newest failover. It returns an empty record if there is none, or if
// the newest one's term is not later than the given term.
func (f *failovers) record(term uint64) (record records.Failover) {
	item, ok := f.cluster.Store.Get(records.FailoverKey)
	if !ok {
		return record
	}
	if err := json.Unmarshal(item.Value, &record); err != nil {
		fmt.Fprintln(os.Stderr, "fleetsim: cannot decode the failover record:", err)
	}
	if record.Term <= term {
		return records.Failover{}
	}
	return record
}

// printPlacementTimes prints the counts of failovers and the distribution of the times to the first
// placement.
func (f *failovers) printPlacementTimes() {
	slices.Sort(f.placementTimes)
	quantile := func(fraction float64) time.Duration {
		if len(f.placementTimes) == 0 {
			return 0
		}
		return f.placementTimes[min(len(f.placementTimes)-1, int(fraction*float64(len(f.placementTimes))))].Round(time.Millisecond)
	}
	late := 0
	for _, took := range f.placementTimes {
		if took > placementLimit {
			late++
		}
	}
	fmt.Printf("takeovers: %d, %d warm, %d over %s, %d missed; to the first placement p50 %s, p90 %s, p99 %s, most %s\n",
		len(f.placementTimes), f.warm, late, placementLimit, f.missed, quantile(0.5), quantile(0.9), quantile(0.99), quantile(1))
}

// printUsage prints the processor time and memory that each controller has used since it was started,
// and the bytes that it has transferred and holds for warm standbys.
func (c *cli) printUsage(ctx context.Context, p *processes, cluster *simcluster.Cluster) {
	leader, _, ok := leaderOf(cluster)
	for i := range c.Controllers {
		used, err := p.usage(i)
		if err != nil {
			fmt.Fprintln(os.Stderr, "fleetsim:", err)
			continue
		}
		movedBytes, heldBytes := uint64(0), 0
		if status, err := fetchStatus(ctx, c.listenAddress(i)); err == nil && status.WarmStandby != nil {
			movedBytes, heldBytes = status.WarmStandby.MovedBytes, status.WarmStandby.Bytes
		}
		fmt.Printf("node-%d: leads %v, processor %s, memory %d KiB, standby: %d bytes moved, %d held\n",
			i, ok && i == leader, used.processor, used.residentKiB, movedBytes, heldBytes)
	}
}
