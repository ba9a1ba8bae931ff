package main

import (
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

// takeoverLimit is how soon after its leader's end a fleet is to be decided for again.
const takeoverLimit = 10 * time.Second

// takeovers ends or stops leaders at random moments and measures the time to the next
// one's first placement.
type takeovers struct {
	c         *cli
	cluster   *simcluster.Cluster
	processes *processes
	rng       *rand.Rand
	took      []time.Duration
	warm      int
	missed    int // no placement within a minute
}

// run ends so many leaders.
func (t *takeovers) run(ends int) error {
	for range ends {
		time.Sleep(t.c.EndEvery/2 + time.Duration(t.rng.Int64N(int64(t.c.EndEvery))))
		if err := t.one(); err != nil {
			return err
		}
	}
	return nil
}

// one ends one leader: it is killed and started again, or stands still for a while.
func (t *takeovers) one() error {
	i, term, ok := leaderOf(t.cluster)
	if !ok {
		t.missed++
		return nil
	}
	ended, away := time.Now(), 4*time.Second+time.Duration(t.rng.Int64N(int64(12*time.Second)))
	kill := t.rng.IntN(2) == 0
	if kill {
		if err := t.processes.kill(i); err != nil {
			return err
		}
	} else if err := t.processes.signal(i, syscall.SIGSTOP); err != nil {
		return err
	}
	t.measure(ended, term, kill)
	time.Sleep(time.Until(ended.Add(away)))
	if kill {
		return t.processes.start(i)
	}
	return t.processes.signal(i, syscall.SIGCONT)
}

// measure waits for the next term's first placement.
func (t *takeovers) measure(ended time.Time, term uint64, kill bool) {
	for time.Since(ended) < time.Minute {
		at, ok := t.cluster.Checker.FirstPlacement(term)
		if !ok {
			time.Sleep(10 * time.Millisecond)
			continue
		}
		took := at.Sub(ended)
		t.took = append(t.took, took)
		time.Sleep(2 * time.Second) // the record of the takeover comes after it
		rec := t.record(term)
		if rec.Warm {
			t.warm++
		}
		fmt.Printf("takeover: killed %v, %d ms to the first placement, warm %v %q, elected %d ms, loaded %d ms, ready %d ms, decided %d ms after nobody led; %d machines, %d attempts\n",
			kill, took.Milliseconds(), rec.Warm, rec.Cause, rec.ElectedMs, rec.LoadedMs, rec.ReadyMs, rec.DecidedMs, rec.Machines, rec.Attempts)
		return
	}
	t.missed++
}

// record reads how the takeover went, if it is of a newer term.
func (t *takeovers) record(term uint64) (rec records.Takeover) {
	item, ok := t.cluster.Store.Get(records.TakeoverKey)
	if !ok {
		return rec
	}
	if err := json.Unmarshal(item.Value, &rec); err != nil {
		fmt.Fprintln(os.Stderr, "fleetsim: record of a takeover:", err)
	}
	if rec.Term <= term {
		return records.Takeover{}
	}
	return rec
}

// print tells how they went.
func (t *takeovers) print() {
	slices.Sort(t.took)
	at := func(part float64) time.Duration {
		if len(t.took) == 0 {
			return 0
		}
		return t.took[min(len(t.took)-1, int(part*float64(len(t.took))))].Round(time.Millisecond)
	}
	slow := 0
	for _, took := range t.took {
		if took > takeoverLimit {
			slow++
		}
	}
	fmt.Printf("takeovers: %d, %d warm, %d over %s, %d missed; to the first placement p50 %s, p90 %s, p99 %s, most %s\n",
		len(t.took), t.warm, slow, takeoverLimit, t.missed, at(0.5), at(0.9), at(0.99), at(1))
}

// printCost tells what the leader and the others have used since they were started.
func (c *cli) printCost(p *processes, cluster *simcluster.Cluster) {
	leader, _, ok := leaderOf(cluster)
	for i := range c.Controllers {
		used, err := p.usage(i)
		if err != nil {
			fmt.Fprintln(os.Stderr, "fleetsim:", err)
			continue
		}
		moved, held := uint64(0), 0
		if st, err := status(c.listen(i)); err == nil && st.WarmStandby != nil {
			moved, held = st.WarmStandby.Moved, st.WarmStandby.Bytes
		}
		fmt.Printf("node-%d: leads %v, processor %s, memory %d KiB, standby: %d bytes moved, %d held\n", i, ok && i == leader, used.cpu, used.rss, moved, held)
	}
}
