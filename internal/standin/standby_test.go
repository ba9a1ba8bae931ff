package standin_test

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"lotusstile.dev/lotusstile/internal/ledger"
	"lotusstile.dev/lotusstile/wire"
)

// playStandby plays days by chance with warm standbys, each prepared further by its seed.
func playStandby(t *testing.T, first, days uint64, prepare func(d *day, seed uint64)) {
	quiet(t)
	for seed := range days {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			t.Parallel()
			broken, started := play(t, first+seed, int(5+seed%12), func(d *day) { d.standby = true; prepare(d, seed) })
			if started == 0 {
				t.Error("no task was started")
			}
			if len(broken) > 0 {
				t.Errorf("%d rules broken:\n%s", len(broken), strings.Join(broken, "\n"))
			}
		})
	}
}

// The rules hold on days of all faults by chance while successors take over what they have
// followed.
func TestRulesHoldWithWarmStandby(t *testing.T) {
	playStandby(t, 700, 8, func(*day, uint64) {})
}

// The same next to nodes of a release that knows no standby, one or two of them, leaders or
// not.
func TestRulesHoldWithWarmStandbyNextToTheReleaseBefore(t *testing.T) {
	playStandby(t, 800, 4, func(d *day, seed uint64) {
		d.old[seed%3] = true
		d.old[(seed+1)%3] = seed >= 2
	})
}

// takeovers is how changes of leader went.
type takeovers struct {
	took   []time.Duration // from the leader's end to the next one's first placement
	warm   int
	slow   int // over decisionLimit
	broken []string
}

const decisionLimit = 10 * time.Second

// endLeader ends the leader of a day or lets it stand still for a while, in the middle of
// placements, and measures the time to the next one's first placement.
func (d *day) endLeader(r *rand.Rand, result *takeovers) {
	item, ok := d.w.State.Get(ledger.LeaderKey)
	if !ok {
		return
	}
	var leader ledger.Leader
	if err := json.Unmarshal(item.Value, &leader); err != nil {
		d.t.Fatal(err)
	}
	i := slices.Index(labels, leader.Node)
	ended := time.Now()
	if r.IntN(2) == 0 {
		d.crash(i)
		time.AfterFunc(time.Duration(4+r.IntN(6))*time.Second, func() { d.start(i) })
	} else {
		d.net.StandStill(labels[i], true)
		time.AfterFunc(time.Duration(3+r.IntN(12))*time.Second, func() { d.net.StandStill(labels[i], false) })
	}
	for time.Since(ended) < time.Minute {
		time.Sleep(50 * time.Millisecond)
		if at, ok := d.w.FirstDecision(item.Stamp); ok {
			result.took = append(result.took, at.Sub(ended))
			if at.Sub(ended) > decisionLimit {
				result.slow++
			}
			break
		}
	}
	time.Sleep(6 * time.Second)
	var rec ledger.Takeover
	if record, ok := d.w.State.Get(ledger.TakeoverKey); ok {
		if err := json.Unmarshal(record.Value, &rec); err != nil {
			d.t.Error(err)
		}
		if rec.Warm && rec.Term > item.Stamp {
			result.warm++
		}
	}
}

// playTakeovers ends leaders at random moments while jobs come all the time and users call
// some of them off, also between the end of a leader and the next one's beginning.
func playTakeovers(t *testing.T, seed uint64, standby bool, ends int) (result takeovers) {
	synctest.Test(t, func(t *testing.T) {
		d := newDay(t, seed, func(d *day) { d.standby = standby })
		r := rand.New(rand.NewPCG(seed, 2))
		d.w.AddMachines("g8", "a", 5)
		d.w.AddMachines("g8", "b", 5)
		time.Sleep(12 * time.Second)
		deadline := time.Now().Add(time.Duration(ends) * 40 * time.Second)
		jobs := rand.New(rand.NewPCG(seed, 3))
		go func() {
			for i := 0; time.Now().Before(deadline.Add(-20 * time.Second)); i++ {
				spec := wire.Work{UID: fmt.Sprintf("run-%06d", i), Berth: "batch", Crew: "free", Shape: wire.Sweep, Rank: wire.High, Legs: 1 + jobs.IntN(4),
					Cores: 4, Gpus: 1, RAMGb: 20, Rollout: "img", ImageGb: 1, ExpectS: float64(2 + jobs.IntN(8))}
				stay := time.Duration(0)
				if jobs.IntN(3) == 0 {
					stay = time.Duration(1+jobs.IntN(6)) * time.Second // called off, by way of any node
				}
				go d.w.User(spec, stay, deadline)
				time.Sleep(time.Duration(200+jobs.IntN(300)) * time.Millisecond)
			}
		}()
		for range ends {
			time.Sleep(time.Duration(8000+r.IntN(4000)) * time.Millisecond)
			d.endLeader(r, &result)
		}
		d.net.Heal()
		time.Sleep(time.Until(deadline))
		result.broken = d.w.Broken()
		d.end()
	})
	return result
}

// Leaders end or stand still in the middle of placements, with commands and commits in
// flight: no rule is broken with or without a standby, most terms begin warm with one, and
// none that does takes longer to decide than ten seconds after its leader's end.
func TestTakeovers(t *testing.T) {
	quiet(t)
	for _, standby := range []bool{false, true} {
		t.Run(fmt.Sprintf("standby: %v", standby), func(t *testing.T) {
			for seed := range uint64(4) {
				t.Run(fmt.Sprint(seed), func(t *testing.T) {
					t.Parallel()
					const ends = 6
					got := playTakeovers(t, 900+seed, standby, ends)
					if len(got.broken) > 0 {
						t.Errorf("rules broken:\n%s", strings.Join(got.broken, "\n"))
					}
					slices.Sort(got.took)
					t.Logf("%d of %d warm, %d slow, %v", got.warm, len(got.took), got.slow, got.took)
					if standby && got.warm < len(got.took)/2 {
						t.Errorf("%d of %d terms began warm", got.warm, len(got.took))
					}
					if len(got.took) < ends || got.slow > 0 {
						t.Errorf("%d of %d takeovers came to a decision, %d of them late", len(got.took), ends, got.slow)
					}
				})
			}
		})
	}
}
