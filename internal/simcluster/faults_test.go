package simcluster_test

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net/http"
	"os"
	"strconv"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"lotusstile.dev/lotusstile/internal/simcluster"
	"lotusstile.dev/lotusstile/wire"
)

// faultCombination is a day on which troubles meet. Its jobs are submitted one by one
// in the first 20 s; the moment of the faultCombination is 40 s after the start.
type faultCombination struct {
	name     string
	machines int
	jobs     func(i int, r *rand.Rand) (spec wire.JobSpec, stay time.Duration)
	n        int                        // how many jobs
	every    time.Duration              // one after the other
	script   func(d *day, r *rand.Rand) // the troubles, from 30 s on
	seeds    int                        // how many timings are drawn
}

// meet plays a meeting and returns the rules that were broken.
func meet(t *testing.T, m faultCombination, seed uint64) (broken []string) {
	synctest.Test(t, func(t *testing.T) {
		d := newDay(t, seed)
		r := rand.New(rand.NewPCG(seed, 5))
		d.w.AddMachines("g8", "a", (m.machines+1)/2)
		d.w.AddMachines("g8", "b", m.machines/2)
		d.w.Capacity = m.machines + 2
		time.Sleep(5 * time.Second)
		begun := time.Now()
		deadline := begun.Add(600 * time.Second)
		var users sync.WaitGroup
		for i := range m.n {
			spec, stay := m.jobs(i, r)
			users.Add(1)
			go func() {
				defer users.Done()
				time.Sleep(time.Duration(i) * m.every)
				d.w.User(spec, stay, deadline)
			}()
		}
		go d.w.Watch(deadline)
		time.Sleep(30 * time.Second)
		m.script(d, r)
		d.net.Heal()
		d.w.State.SetDown(false)
		d.w.CloseLooks, d.w.CancelAtEnd = false, false
		for i := range labels {
			d.start(i)
		}
		time.Sleep(30 * time.Second)
		d.w.Calm()
		users.Wait()
		time.Sleep(time.Until(time.Now().Add(15 * time.Second)))
		if d.w.Started() == 0 {
			t.Error("no task was started")
		}
		d.w.CheckServed()
		broken = d.w.Broken()
		d.end()
	})
	return broken
}

func (m faultCombination) run(t *testing.T) {
	for seed := range uint64(m.seeds) {
		if b := meet(t, m, seed); len(b) > 0 {
			t.Errorf("seed %d: %d rules broken:\n%s", seed, len(b), strings.Join(b[:min(8, len(b))], "\n"))
		}
	}
}

// replicas are services that stand until they are cancelled.
func replicas(stay time.Duration) func(i int, r *rand.Rand) (wire.JobSpec, time.Duration) {
	return func(i int, r *rand.Rand) (wire.JobSpec, time.Duration) {
		return wire.JobSpec{UID: fmt.Sprintf("run-%06d", i), JobClass: "serve", Team: "free", Kind: wire.Service, Priority: wire.High, TaskCount: 1 + r.IntN(3),
			Cores: 4, Gpus: 1, RAMGb: 20, Image: fmt.Sprintf("img-%d", r.IntN(3)), ImageGb: 4}, stay
	}
}

// leading is the number of the controller that leads, or -1.
func (d *day) leading() int {
	for i, l := range labels {
		if item, ok := d.w.State.Get("e/leader"); ok && strings.Contains(string(item.Value), l) {
			return i
		}
	}
	return -1
}

// cancel lets users call off all jobs at one node until it answers, or until the
// time is over.
func (d *day) cancel(node string, jobs int, long time.Duration) {
	for i := range jobs {
		go func() {
			for end := time.Now().Add(long); time.Now().Before(end); time.Sleep(200 * time.Millisecond) {
				if d.w.Cancel(node, fmt.Sprintf("run-%06d", i)) {
					return
				}
			}
		}()
	}
}

// The gap: the state service refuses the leader alone while another controller
// confirms cancellations, and is then down for all for longer than cancel_s
// while workers keep reporting to the old leader. Its last answered request may
// be younger than what it knows of withdrawals, and a leader that was elected
// in the gap may not have read the records at all: the tasks must be gone within
// cancel_s of the confirmation all the same.
func TestGap(t *testing.T) {
	t.Parallel()
	const jobs = 8
	type gap struct {
		how     string        // what keeps the leader from the state service
		refused time.Duration // for how long
		between time.Duration // from the beginning of that to the outage; 0: to the election of another
		outage  time.Duration
		peers   bool // the leader is cut off from its peers as well
	}
	s := time.Second
	for _, g := range []gap{
		{"cut", 700 * time.Millisecond, 8 * s, 60 * s, true}, // its watch hangs, its hold is renewed
		{"cut", 600 * time.Millisecond, 4 * s, 39 * s, true},
		{"refuse", 14 * s, 0, 60 * s, true}, // a leader that has not loaded
		{"refuse", 14 * s, 0, 41 * s, false},
		{"cut", 14 * s, 0, 60 * s, true},
		{"refuse", 1700 * time.Millisecond, 1800 * time.Millisecond, 60 * s, true}, // ends just before the outage
		{"refuse", 2 * s, 2100 * time.Millisecond, 60 * s, false},
		{"refuse", 14 * s, 2 * s, 60 * s, true}, // ends within it
		{"refuse", 5 * s, 3 * s, 45 * s, true},  // the leader changes just before
		{"refuse", 4 * s, 20 * s, 60 * s, true},
		{"cut", 70 * s, 2200 * time.Millisecond, 39 * s, true},
	} {
		t.Run(fmt.Sprintf("%s %v, outage after %v for %v, peers cut %v", g.how, g.refused, g.between, g.outage, g.peers), func(t *testing.T) {
			t.Parallel()
			faultCombination{machines: 4, n: jobs, every: s, jobs: replicas(0), seeds: 3, script: func(d *day, r *rand.Rand) {
				lead := d.leading()
				keep := func(on bool) {
					if g.how == "refuse" {
						d.net.Refuse(labels[lead], "state:1", on)
					} else {
						d.net.Cut(labels[lead], "state:1", on)
					}
					for i, l := range labels {
						if i != lead && g.peers {
							d.net.Cut(labels[lead]+":81", l+":81", on)
						}
					}
				}
				begun := time.Now()
				keep(true)
				time.AfterFunc(g.refused, func() { keep(false) })
				// Some are confirmed at once, others at the last moment.
				d.cancel(labels[(lead+1)%3], jobs/2, min(time.Second, g.refused-100*time.Millisecond))
				if g.between == 0 {
					for d.leading() == lead || d.leading() < 0 {
						time.Sleep(time.Millisecond)
					}
				} else {
					time.Sleep(g.between - time.Duration(100+r.IntN(400))*time.Millisecond)
					d.cancel(labels[(lead+2)%3], jobs, 100*time.Millisecond)
					time.Sleep(time.Until(begun.Add(g.between)))
				}
				d.w.State.SetDown(true)
				time.Sleep(g.outage)
				d.w.State.SetDown(false)
				time.Sleep(10 * time.Second)
				d.cancel(labels[0], jobs, 20*time.Second)
			}}.run(t)
		})
	}
}

// A leader that the state service refuses, alone, learns of a withdrawal from the
// node that confirmed it: the tasks are gone in seconds, not with their leases.
func TestCancellationsAreAnnounced(t *testing.T) {
	t.Parallel()
	inDay(t, func(d *day) {
		spec, _ := replicas(0)(1, rand.New(rand.NewPCG(1, 1)))
		spec.TaskCount = 4
		d.w.Upload(spec)
		if !d.w.Submit("n0", spec) {
			t.Fatal("not accepted")
		}
		time.Sleep(20 * time.Second)
		if n := d.w.On(spec.UID); n != 4 {
			t.Fatalf("%d tasks run", n)
		}
		lead := d.leading()
		d.net.Refuse(labels[lead], "state:1", true)
		d.cancel(labels[(lead+1)%3], 2, time.Second)
		time.Sleep(time.Second)
		d.w.State.SetDown(true) // before another leads
		time.Sleep(3 * time.Second)
		if n := d.w.On(spec.UID); n != 0 || d.w.Acknowledged(spec.UID) != wire.JobAborted {
			t.Errorf("%d tasks are left, told %q", n, d.w.Acknowledged(spec.UID))
		}
		d.w.State.SetDown(false)
		d.net.Heal()
	})
}

// A leader that has lost the state service and its peers keeps the leases of the
// workers that still reach it. The next leader neither takes their machines for lost
// nor waits until the old one's knowledge is too old: it tells them its token, and
// they come to it with all that they run.
func TestFleetOfADeposedLeaderComesOver(t *testing.T) {
	t.Parallel()
	const machines, replicas = 48, 300
	inDay(t, func(d *day) {
		d.w.Capacity = machines + 2
		d.w.AddMachines("g8", "a", machines-2)
		spec := wire.JobSpec{UID: "run-000001", JobClass: "serve", Team: "free", Kind: wire.Service, Priority: wire.High, TaskCount: replicas,
			Cores: 4, Gpus: 1, RAMGb: 20, Image: "img", ImageGb: 4}
		d.w.Upload(spec)
		if !d.w.Submit("n0", spec) {
			t.Fatal("not accepted")
		}
		time.Sleep(40 * time.Second)
		if n := d.w.On(spec.UID); n != replicas {
			t.Fatalf("%d tasks run", n)
		}
		lead := d.leading()
		d.net.Cut(labels[lead], "state:1", true)
		for i, l := range labels {
			if i != lead {
				d.net.Cut(labels[lead]+":81", l+":81", true)
			}
		}
		time.Sleep(25 * time.Second)
		if now := d.leading(); now == lead || now < 0 {
			t.Errorf("%d leads after %d", now, lead)
		}
		d.net.Heal()
		time.Sleep(20 * time.Second)
		if n, on := d.w.Started(), d.w.On(spec.UID); n != replicas || on != replicas {
			t.Errorf("%d starts, %d tasks are left", n, on)
		}
	})
}

// mixed are replicas, arrays and short tasks of a team at its limit and of one
// without any; some are cancelled.
func mixed(i int, r *rand.Rand) (wire.JobSpec, time.Duration) {
	spec, stay := replicas(time.Duration(30+r.IntN(60))*time.Second)(i, r)
	switch i % 4 {
	case 1:
		spec.Team, spec.TaskCount = "crew", 6+r.IntN(6)
	case 2:
		spec.JobClass, spec.Kind, spec.Priority, spec.TaskCount, spec.ExpectedRunS, spec.AllowSpot = "batch", wire.JobArray, wire.Standard, 2+r.IntN(6), float64(5+r.IntN(30)), true
		spec.Team = []string{"crew", "free"}[r.IntN(2)]
		if stay = 0; r.IntN(3) == 0 {
			stay = time.Duration(10+r.IntN(40)) * time.Second
		}
	case 3:
		spec.Priority, spec.Zone = wire.Critical, []string{"a", "b"}[r.IntN(2)]
		if r.IntN(2) == 0 {
			spec.Kind, spec.Priority, spec.ExpectedRunS, stay = wire.JobArray, wire.BestEffort, float64(10+r.IntN(30)), 0
		}
	}
	return spec, stay
}

// small are one-task jobs, a quarter of them cancelled.
func small(i int, r *rand.Rand) (wire.JobSpec, time.Duration) {
	s := wire.JobSpec{UID: fmt.Sprintf("run-%06d", i), JobClass: "batch", Team: "free", Kind: wire.JobArray, Priority: wire.Standard, TaskCount: 1,
		Cores: 4, Gpus: 1, RAMGb: 20, Image: "img", ImageGb: 2, ExpectedRunS: float64(1 + r.IntN(6))}
	if i%4 == 0 {
		return s, time.Duration(200+r.IntN(9000)) * time.Millisecond
	}
	return s, 0
}

// long are arrays of two or three tasks that end far apart, and replicas.
func long(i int, r *rand.Rand) (wire.JobSpec, time.Duration) {
	s, stay := replicas(time.Duration(60+r.IntN(60))*time.Second)(i, r)
	if i%2 == 0 {
		s.Kind, s.TaskCount, s.ExpectedRunS, stay = wire.JobArray, 2+r.IntN(2), float64(30+r.IntN(60)), 0
	}
	return s, stay
}

// rush are more jobs than there is room for, of every rank; some are large.
func rush(i int, r *rand.Rand) (wire.JobSpec, time.Duration) {
	s, stay := mixed(i, r)
	if i%10 == 6 {
		s.TaskCount = 24
	}
	if s.Kind == wire.Service {
		stay = time.Duration(15+r.IntN(30)) * time.Second
	}
	return s, stay
}

// crowd are arrays of one team, for minutes more than its limit lets run.
func crowd(i int, r *rand.Rand) (wire.JobSpec, time.Duration) {
	s := wire.JobSpec{UID: fmt.Sprintf("run-%06d", i), JobClass: "batch", Team: "crew", Kind: wire.JobArray, Priority: wire.Standard, TaskCount: 2 + r.IntN(3),
		Cores: 4, Gpus: 1, RAMGb: 20, Image: fmt.Sprintf("img-%d", r.IntN(3)), ImageGb: 4, ExpectedRunS: float64(25 + r.IntN(15))}
	if i%10 == 7 {
		s.TaskCount = 12
	}
	return s, 0
}

// inZone are jobs that keep to one zone, or spread over both.
func inZone(i int, r *rand.Rand) (wire.JobSpec, time.Duration) {
	s, stay := mixed(i, r)
	switch s.Zone = ""; i % 3 {
	case 0:
		s.SingleZone = true
	case 1:
		s.Zone = []string{"a", "b"}[r.IntN(2)]
	case 2:
		s.SpreadZones = true
	}
	return s, stay
}

// hosts calls f for every machine that there may be, chosen by chance one in n.
func (d *day) hosts(r *rand.Rand, n int, f func(host string)) {
	for k := range 40 {
		if r.IntN(n) == 0 {
			f(fmt.Sprintf("m-%06d", k))
		}
	}
}

// during does something to a share of the machines for a while.
func (d *day) during(r *rand.Rand, n int, long time.Duration, f func(host, node string, on bool)) {
	d.hosts(r, n, func(h string) {
		for _, node := range labels {
			f(h, node, true)
		}
		time.AfterFunc(long, func() {
			for _, node := range labels {
				f(h, node, false)
			}
		})
	})
}

// hang stops a share of the machines for a while, shorter or longer than a lease.
func (d *day) hang(r *rand.Rand, share int) {
	for range share {
		if k := d.w.Worker(); k != nil {
			k.Hang(time.Duration(3+r.IntN(14)) * time.Second)
		}
	}
}

// fall ends the leader; it is back after a while.
func (d *day) fall(back time.Duration) {
	if lead := d.leading(); lead >= 0 {
		d.crash(lead)
		time.AfterFunc(back, func() { d.start(lead) })
	}
}

func ms(n int) time.Duration { return time.Duration(n) * time.Millisecond }

// Each meeting of troubles that operators have named breaks no rule, at any of
// the timings that are drawn. docs/failures.md lists which is tested by which.
func TestFaultCombinations(t *testing.T) {
	t.Parallel()
	s := time.Second
	for _, m := range []faultCombination{
		{name: "close looks, cancelled at ends, answers lost", machines: 6, n: 40, every: s, jobs: mixed, script: func(d *day, r *rand.Rand) {
			d.w.CloseLooks, d.w.CancelAtEnd = true, true
			d.net.LateWrites(0.4, true)
			time.Sleep(15*s + ms(r.IntN(3000)))
			d.fall(ms(800))
			time.Sleep(20 * s)
			d.net.LateWrites(0, false)
			time.Sleep(20 * s)
		}},
		{name: "one-task jobs four a second, a quarter cancelled", machines: 8, n: 240, every: s / 4, jobs: small, script: func(d *day, r *rand.Rand) {
			d.w.CloseLooks, d.w.CancelAtEnd = true, true
			d.net.LateWrites(0.15, r.IntN(2) == 0)
			time.Sleep(10*s + ms(r.IntN(2000)))
			d.fall(3 * s)
			time.Sleep(25 * s)
		}},
		{name: "late transactions and ends of leaders", machines: 6, n: 40, every: s, jobs: mixed, script: func(d *day, r *rand.Rand) {
			d.net.LateWrites(0.3, false)
			d.w.CloseLooks, d.w.CancelAtEnd = true, true
			for range 4 {
				time.Sleep(6*s + ms(r.IntN(4000)))
				d.fall(ms(300 + r.IntN(5000)))
			}
			time.Sleep(15 * s)
		}},
		{name: "teams at their limit, cancelled on machines that are cut off or hang, a new leader", machines: 8, n: 40, every: s / 2, jobs: mixed, script: func(d *day, r *rand.Rand) {
			for i := range 3 {
				d.hang(r, 3)
				d.during(r, 3, time.Duration(5+r.IntN(25))*s, func(h, n string, on bool) { d.net.Cut(h, n, on) })
				time.Sleep(ms(r.IntN(1500)))
				d.cancel(labels[i], 16+8*i, 8*s)
				time.Sleep(ms(r.IntN(1500)))
				d.fall(ms(300 + r.IntN(6000)))
				time.Sleep(20 * s)
			}
		}},
		{name: "cancelled while the work changes hands, all end and one returns", machines: 6, n: 30, every: s, jobs: mixed, script: func(d *day, r *rand.Rand) {
			for i := range 3 {
				d.fall(ms(900))
				time.Sleep(ms(r.IntN(2500)))
				d.cancel(labels[(i+1)%3], 6*(i+1), 6*s)
				time.Sleep(8 * s)
			}
			for i := range labels {
				d.crash(i)
			}
			time.Sleep(ms(300 + r.IntN(14000)))
			d.start(r.IntN(3))
			d.cancel(labels[0], 24, 30*s)
			time.Sleep(15 * s)
		}},
		{name: "old reports meet new leaders, ten in two minutes, also in an outage", machines: 6, n: 40, every: s, jobs: mixed, script: func(d *day, r *rand.Rand) {
			for i := range 10 {
				d.w.KeepCopies(true)
				time.Sleep(ms(6000 + r.IntN(6000)))
				old := d.leading()
				d.fall(ms(400 + r.IntN(3000)))
				if i == 5 {
					d.w.State.SetDown(true)
					time.AfterFunc(8*s, func() { d.w.State.SetDown(false) })
				}
				for range 400 {
					if lead := d.leading(); lead >= 0 && lead != old {
						break
					}
					time.Sleep(ms(10))
				}
				d.w.KeepCopies(false)
			}
		}},
		{name: "new machines at once, late writes, and the leader ends", machines: 2, n: 40, every: s / 2, jobs: mixed, script: func(d *day, r *rand.Rand) {
			d.w.Capacity, d.w.Boot = 10, 2*s
			d.net.LateWrites(0.4, false)
			for range 3 {
				time.Sleep(4*s + ms(r.IntN(6000)))
				d.fall(ms(300 + r.IntN(6000)))
				if k := d.w.Worker(); k != nil {
					k.Die()
				}
			}
			time.Sleep(15 * s)
		}},
		{name: "more work than room, urgent and not, over slow links", machines: 3, n: 60, every: s / 2, jobs: rush, script: func(d *day, r *rand.Rand) {
			d.w.Capacity = 6
			d.net.Slow(ms(150 + r.IntN(150)))
			time.Sleep(10*s + ms(r.IntN(3000)))
			d.fall(ms(300 + r.IntN(4000)))
			d.cancel(labels[0], 20, 5*s)
			time.Sleep(40 * s)
		}},
		{name: "jobs of one zone, arrays too, lose machines", machines: 6, n: 30, every: s, jobs: inZone, script: func(d *day, r *rand.Rand) {
			for range 4 {
				for range 2 {
					if k := d.w.Worker(); k != nil {
						k.Die()
					}
				}
				d.hang(r, 2)
				time.Sleep(5*s + ms(r.IntN(4000)))
				d.fall(ms(300 + r.IntN(3000)))
			}
			time.Sleep(15 * s)
		}},
		{name: "a zone with workers and a controller is cut off for longer than a lease", machines: 8, n: 40, every: s / 2, jobs: mixed, script: func(d *day, r *rand.Rand) {
			in := r.IntN(3)
			stateless := r.IntN(2) == 0
			cut := func(on bool) {
				d.net.Cut(labels[in], "state:1", on && stateless)
				for j := range labels {
					if j != in {
						d.net.Cut(labels[in]+":81", labels[j]+":81", on)
					}
				}
				for k := range 40 {
					h := fmt.Sprintf("m-%06d", k)
					for j := range labels {
						if (j == in) != (d.w.ZoneOf(h) == "a") {
							d.net.Cut(labels[j], h, on)
						}
					}
				}
			}
			cut(true)
			time.Sleep(ms(r.IntN(4000)))
			d.cancel(labels[(in+1)%3], 20, 20*s)
			time.Sleep(time.Duration(11+r.IntN(40)) * s)
			cut(false)
			d.fall(2 * s)
			time.Sleep(10 * s)
		}},
		{name: "a leader without state service and peers, reports from late, deaf and mute machines", machines: 8, n: 30, every: s, jobs: mixed, script: func(d *day, r *rand.Rand) {
			d.w.KeepCopies(true)
			lead := d.leading()
			part := func(on bool) {
				d.net.Cut(labels[lead], "state:1", on)
				for j, l := range labels {
					if j != lead {
						d.net.Cut(labels[lead]+":81", l+":81", on)
					}
				}
			}
			part(true)
			d.during(r, 4, 25*s, func(h, n string, on bool) { d.net.Mute(h, n, on); d.net.Block(n, h, on) })
			d.during(r, 4, 25*s, func(h, n string, on bool) { d.net.Block(h, n, on) })
			time.Sleep(3*s + ms(r.IntN(3000)))
			d.cancel(labels[(lead+1)%3], 16, 20*s)
			time.Sleep(20*s + ms(r.IntN(20000)))
			part(false)
			d.w.KeepCopies(false)
			time.Sleep(10 * s)
		}},
		{name: "all controllers are away for longer than a lease, machines hang and go on", machines: 6, n: 30, every: s, jobs: mixed, script: func(d *day, r *rand.Rand) {
			d.cancel(labels[0], 8, 2*s)
			time.Sleep(ms(r.IntN(1000)))
			for i := range labels {
				d.crash(i)
			}
			time.Sleep(time.Duration(9+r.IntN(8)) * s)
			d.hang(r, 3)
			for i := range labels {
				d.start(i)
			}
			d.w.KeepCopies(true)
			time.Sleep(5 * s)
			d.fall(ms(500))
			d.w.KeepCopies(false)
			d.cancel(labels[1], 16, 10*s)
			time.Sleep(20 * s)
		}},
		{name: "long tasks on machines that do not hear the new leader", machines: 6, n: 24, every: s, jobs: long, script: func(d *day, r *rand.Rand) {
			for i := range 3 {
				d.during(r, 2, time.Duration(4+r.IntN(12))*s, func(h, n string, on bool) {
					if i%2 == 0 {
						d.net.Mute(h, n, on)
					} else {
						d.net.Cut(h, n, on)
					}
				})
				d.fall(ms(300 + r.IntN(4000)))
				time.Sleep(18 * s)
			}
		}},
		{name: "refused and down in turn while users cancel and ask", machines: 6, n: 40, every: s, jobs: mixed, script: func(d *day, r *rand.Rand) {
			d.w.CloseLooks = true
			for i := range 3 {
				lead := max(0, d.leading())
				d.net.Refuse(labels[lead], "state:1", true)
				time.Sleep(ms(200 + r.IntN(4000)))
				d.cancel(labels[(lead+1)%3], 8*(i+1), 12*s)
				time.Sleep(ms(r.IntN(2000)))
				d.w.State.SetDown(true)
				time.Sleep(time.Duration(3+r.IntN(45)) * s)
				d.net.Refuse(labels[lead], "state:1", false)
				d.w.State.SetDown(false)
				time.Sleep(10 * s)
			}
		}},
		{name: "a team at its limit for minutes, large arrays and small, and the leader ends", machines: 6, n: 110, every: s / 4, jobs: crowd, script: func(d *day, r *rand.Rand) {
			time.Sleep(10*s + ms(r.IntN(5000)))
			d.fall(ms(300 + r.IntN(5000)))
			time.Sleep(10 * s)
		}},
		{name: "commands of leaders that have ended come late, machines that only they reach", machines: 6, n: 40, every: s, jobs: mixed, script: func(d *day, r *rand.Rand) {
			d.net.LateCommands(0.7)
			for range 4 {
				// Machines that reach no controller are announced the token directly, by
				// one leader after the other.
				d.during(r, 2, time.Duration(6+r.IntN(10))*s, func(h, n string, on bool) { d.net.Block(h, n, on) })
				d.hang(r, 2)
				time.Sleep(5*s + ms(r.IntN(4000)))
				d.fall(ms(300 + r.IntN(5000)))
				d.cancel(labels[r.IntN(3)], 24, 6*s)
				time.Sleep(4 * s)
			}
			time.Sleep(16 * s)
		}},
	} {
		t.Run(m.name, func(t *testing.T) {
			t.Parallel()
			m.seeds = seeds(t, 2)
			m.run(t)
		})
	}
}

// seeds is how many timings are drawn: as many as are asked for, to look for more.
func seeds(t *testing.T, usual int) int {
	asked := os.Getenv("SEEDS")
	if asked == "" {
		return usual
	}
	n, err := strconv.Atoi(asked)
	if err != nil {
		t.Fatal(err)
	}
	return n
}

// A controller stands still while its clocks run on, in every phase of a term, for
// less than its hold, a lease or cancel_s and for more. On waking it has an old
// picture, old reports to answer and answers to what it asked long ago.
func TestProcessPause(t *testing.T) {
	t.Parallel()
	isLead := func(d *day, label string) bool { lead := d.leading(); return lead >= 0 && labels[lead] == label }
	// Each tells, of a request, who is to stand still now; nobody is "".
	for _, phase := range []struct {
		name string
		who  func(d *day, from, to, path string, carried bool) string
		elec bool // the leader ends first
	}{
		{"elected, not yet told so", func(d *day, from, _, path string, carried bool) string {
			if carried && path == "/commit" && isLead(d, from) {
				return from
			}
			return ""
		}, true},
		{"reads the records", func(d *day, from, _, path string, carried bool) string {
			if carried && path == "/kv" && isLead(d, from) {
				return from
			}
			return ""
		}, true},
		{"has committed and not heard so", func(d *day, from, _, path string, carried bool) string {
			if carried && path == "/commit" && isLead(d, from) {
				return from
			}
			return ""
		}, false},
		{"is about to take a report", func(d *day, _, to, path string, carried bool) string {
			if !carried && path == "/checkin" && isLead(d, to) {
				return to
			}
			return ""
		}, false},
		{"has taken a report and not answered it", func(d *day, _, to, path string, carried bool) string {
			if carried && path == "/checkin" && isLead(d, to) {
				return to
			}
			return ""
		}, false},
		{"has renewed its hold", func(d *day, from, _, path string, carried bool) string {
			if carried && strings.HasSuffix(path, "/touch") && isLead(d, from) {
				return from
			}
			return ""
		}, false},
		{"has read what is withdrawn", func(d *day, from, _, path string, carried bool) string {
			if carried && path == "/changes" && isLead(d, from) {
				return from
			}
			return ""
		}, false},
		{"has returned machines", func(d *day, from, _, path string, carried bool) string {
			if carried && path == "/machines/return" && isLead(d, from) {
				return from
			}
			return ""
		}, false},
		{"leads while another node records a withdrawal", func(d *day, from, _, path string, carried bool) string {
			if lead := d.leading(); carried && path == "/commit" && lead >= 0 && labels[lead] != from {
				return labels[lead]
			}
			return ""
		}, false},
		{"has recorded a withdrawal and told nobody", func(d *day, from, _, path string, carried bool) string {
			if carried && path == "/commit" && !isLead(d, from) {
				return from
			}
			return ""
		}, false},
	} {
		t.Run(phase.name, func(t *testing.T) {
			t.Parallel()
			stood := 0
			faultCombination{machines: 6, n: 36, every: time.Second, jobs: mixed, seeds: seeds(t, 1), script: func(d *day, r *rand.Rand) {
				for i, span := range []int{2000, 4500, 13000, 50000} {
					long := ms(span + r.IntN(span/2))
					d.hang(r, 1)
					if k := d.w.Worker(); k != nil {
						k.Die()
					}
					if phase.elec {
						d.fall(ms(300 + r.IntN(3000)))
					}
					var once sync.Once
					d.net.Trip(func(from, to, path string, carried bool) {
						if who := phase.who(d, from, to, path, carried); who != "" {
							once.Do(func() {
								stood++
								d.net.PauseProcess(who, true)
								time.AfterFunc(long, func() { d.net.PauseProcess(who, false) })
							})
						}
					})
					time.Sleep(ms(r.IntN(2500)))
					d.cancel(labels[r.IntN(3)], 9*(i+1), 8*time.Second)
					time.Sleep(long + 5*time.Second)
					d.net.Trip(nil)
				}
			}}.run(t)
			if stood < 2*seeds(t, 1) { // of four: nobody may withdraw anything in time
				t.Errorf("a controller stood still %d times", stood)
			}
		})
	}
}

// The judge sees answers that break a rule, and jobs that are not served.
func TestCheckOfAnswersCanFail(t *testing.T) {
	t.Parallel()
	synctest.Test(t, func(t *testing.T) {
		nw := simcluster.NewNetwork(rand.New(rand.NewPCG(1, 1)))
		w := simcluster.NewCluster(nodeConfig(t, 0), nw, labels[:1], catalog)
		w.AddMachines("g8", "a", 1)
		status, view := 0, wire.JobView{}
		nw.Attach("n0", http.HandlerFunc(func(rw http.ResponseWriter, _ *http.Request) {
			rw.WriteHeader(status)
			if err := json.NewEncoder(rw).Encode(view); err != nil {
				t.Error(err)
			}
		}), nil)
		go w.Watch(time.Now().Add(10 * time.Minute))
		step := func(rule string, code int, announced wire.JobStatus, ask func()) {
			t.Helper()
			status, view.Status = code, announced
			before := len(w.Broken())
			ask()
			answers := strings.Join(w.Broken()[before:], "\n")
			if rule == "" && answers != "" || rule != "" && !strings.Contains(answers, rule) {
				t.Errorf("expected %q, the judge sees %q", rule, answers)
			}
		}
		jobs := make([]wire.JobSpec, 4)
		for i := range jobs {
			jobs[i], _ = replicas(0)(i, rand.New(rand.NewPCG(1, 1)))
			if i < 3 {
				w.Upload(jobs[i])
			}
		}
		poll := func(i int) func() { return func() { w.Poll("n0", jobs[i].UID); time.Sleep(time.Second) } }
		submit := func(i int) func() { return func() { w.Submit("n0", jobs[i]); time.Sleep(time.Second) } }
		step("", 404, "", poll(0))
		step("", 503, "", submit(0))
		step("", 201, wire.JobQueued, submit(0))
		step("forgotten", 404, "", poll(0))
		step("forgotten", 400, "", submit(0))
		step("forgotten", 422, "", func() { w.CloseLook(jobs[0].UID) })
		step("invented", 200, wire.JobQueued, poll(3))
		step("not_done", 200, wire.JobDone, poll(0))
		step("went_back", 200, wire.JobQueued, poll(0))
		step("went_back", 200, wire.JobAborted, poll(1)) // nobody cancelled it
		step("went_back", 200, wire.JobRunning, func() { w.Cancel("n0", jobs[2].UID) })
		step("", 200, wire.JobAborted, func() { w.Cancel("n0", jobs[2].UID); time.Sleep(time.Second) })
		step("went_back", 200, wire.JobRunning, func() { w.CloseLook(jobs[2].UID) })
		w.Upload(jobs[3])
		step("", 201, wire.JobQueued, submit(3))
		w.Calm()
		step("", 200, wire.JobQueued, func() { time.Sleep(80 * time.Second) })
		step("left_waiting", 200, wire.JobQueued, func() { time.Sleep(20 * time.Second) })
		step("late_begin", 200, wire.JobQueued, w.CheckServed)
		step("unserved", 200, wire.JobQueued, w.CheckServed)
		w.StopAll()
		time.Sleep(2 * time.Minute)
	})
}
