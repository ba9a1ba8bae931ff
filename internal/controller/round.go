package controller

import (
	"cmp"
	"context"
	"log/slog"
	"math"
	"slices"
	"time"

	"lotusstile.dev/lotusstile/internal/fleet"
	"lotusstile.dev/lotusstile/internal/provision"
	"lotusstile.dev/lotusstile/internal/sched"
	"lotusstile.dev/lotusstile/wire"
)

// rounds runs a round every interval.
func (c *Controller) rounds(ctx context.Context) {
	for {
		interval := time.Duration(c.Settings().IntervalS * float64(time.Second))
		select {
		case <-ctx.Done():
			return
		case <-time.After(interval):
		case <-c.news:
			// A job came: it need not wait for the interval to pass, only long
			// enough for others that come with it.
			if !sleep(ctx, interval/8) {
				return
			}
		}
		for _, r := range c.round(interval) {
			go c.rent(ctx, r)
		}
	}
}

// round looks over the window once. It returns the rentals to ask for.
func (c *Controller) round(interval time.Duration) []*rental {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := c.now()
	if !c.lastAt.IsZero() && now.Sub(c.lastAt) > max(interval, c.Config.ReportEvery())*2 {
		c.excuse(now)
	}
	c.hear(now)
	c.fleet.Silence(now)
	c.condemn(now)
	if c.cat == nil {
		return nil
	}
	c.lastAt = now
	in, machines, victims := c.input(now, interval)
	plan := sched.Run(in)
	info := wire.RoundStatus{Waiting: len(in.Jobs), Objective: plan.Objective, Reserved: plan.Reserved, Short: len(plan.Shorts)}
	took := c.now().Sub(now)
	info.TookMs = float64(took.Microseconds()) / 1000
	c.Rounded(took)
	most := c.Settings().Window
	switch {
	case took > interval:
		// As in the paper: an overrun starts nothing and halves the window.
		info.Overrun = true
		c.window = max(1, min(c.window, most)/2)
		c.last = info
		slog.Warn("round overran", "term", c.term, "took", took.String(), "window", c.window)
		return nil
	case took < interval/2:
		c.window = min(most, c.window*2)
	}
	c.window = min(c.window, most)
	info.Started = c.start(plan, machines, now)
	info.Stopped = len(plan.Stops)
	for _, s := range plan.Stops {
		a := victims[s.ID]
		leeway := 0.0
		if v := c.jobs[a.Uid].rec.Spec; v.MarkS > 0 && v.StowS < s.SlackS {
			leeway = v.StowS + c.Config.Cluster.Workers.ReportS
		}
		slog.Info("preempted", "leg", a.Name(), "host", a.Machine.ID)
		c.stop(a, leeway, now, "preempted")
	}
	c.last = info
	if info.Waiting > 0 {
		slog.Info("round", "term", c.term, "window", plan.Window, "waiting", info.Waiting, "started", info.Started,
			"stopped", info.Stopped, "short", info.Short, "objective", math.Round(plan.Objective*100)/100, "reserved", plan.Reserved, "ms", info.TookMs)
	}
	return c.provision(in, plan, machines, now)
}

// maxLegs is how many tasks a machine may have: a hundred bytes each is what a
// report takes for one.
const maxLegs = wire.MaxBody / 100

// start turns the places of a plan into planned attempts, within the write
// budget; what overflows waits for a later round.
func (c *Controller) start(plan *sched.Plan, machines []*fleet.Machine, now time.Time) int {
	budget := max(1, int(c.Config.Cluster.State.WriteRps))
	for _, j := range c.jobs {
		for _, p := range j.pieces {
			if p.dirty && !p.due.After(now) {
				budget--
			}
		}
	}
	started := 0
	for _, pl := range plan.Places {
		j := c.jobs[pl.Job.Spec.Uid]
		m := machines[pl.Node]
		if budget <= 0 || m == nil {
			break
		}
		if m.LiveCount()+pl.Count > maxLegs {
			continue // its report would not fit a body
		}
		for _, leg := range j.pick(pl.Count) {
			p := j.piece(leg)
			if !p.dirty || p.due.After(now) {
				budget--
			}
			a := &fleet.Attempt{Uid: j.uid, Leg: leg, Try: p.next, Need: j.need, Image: j.rec.Spec.Rollout}
			if j.rec.Spec.Shape == wire.Group {
				a.Try = j.gangTry()
			}
			p.next = max(p.next, a.Try+1)
			p.live[leg] = a
			j.live++
			p.touch(now)
			c.fleet.Place(m, a, now)
			started++
		}
	}
	if started > 0 {
		c.poke()
	}
	return started
}

// input makes the picture of a round. Nodes without a machine stand for
// rentals that are not answered yet.
func (c *Controller) input(now time.Time, interval time.Duration) (*sched.Input, []*fleet.Machine, []*fleet.Attempt) {
	in := &sched.Input{Window: c.window, ReserveS: 10 * interval.Seconds(), Priorities: sched.DefaultPriorities, Teams: map[string]*sched.Team{}}
	for _, t := range c.Config.Cluster.Teams {
		team := &sched.Team{}
		team.Limit.Cores, team.Limit.Gpus = t.CpusMax, t.GpusMax
		in.Teams[t.Name] = team
	}
	top := 0
	for _, j := range c.jobs {
		if t := in.Teams[j.rec.Spec.Crew]; t != nil {
			t.Used.Cores += float64(j.live) * j.need.Cores
			t.Used.Gpus += float64(j.live) * j.need.Gpus
		}
		w := j.waiting()
		if w == 0 || now.Before(j.hold) {
			continue
		}
		if j.rec.Spec.Shape == wire.Group && j.live > 0 {
			// A gang runs whole or not at all: the rest ends, and it starts anew.
			j.each(func(a *fleet.Attempt) {
				c.stop(a, j.rec.Spec.StowS+c.Config.Cluster.Workers.ReportS, now, "its gang is not whole")
			})
			continue
		}
		byYard, known := map[string]int{}, true
		if j.live > 0 && (j.rec.Spec.Together || j.rec.Spec.Scatter) {
			j.each(func(a *fleet.Attempt) {
				byYard[a.Machine.Yard]++
				known = known && a.Machine.Yard != ""
			})
		}
		if !known {
			continue // a zone that a task may be in is not known yet
		}
		top = max(top, j.level)
		sj := &sched.Job{Spec: &j.rec.Spec, Level: j.level, AtMs: j.rec.AtMs, Waiting: w,
			Live: j.live, ByYard: byYard, WaitedS: now.Sub(j.waitFrom).Seconds(), SlackS: c.slackS(&j.rec.Spec)}
		// What a service has lost is down until it has its image again.
		sj.Fetch = sj.SlackS < 0 || j.lost > 0 && j.rec.Spec.Shape == wire.Standing
		sj.LaxS = c.laxS(j, now)
		sj.Avoid = c.avoids(j, now)
		sj.Dear = sj.Spec.Standby && c.spotSpent(sj.Spec, now)
		boot := c.bootS(&j.rec.Spec)
		sj.Tired = sj.WaitedS > boot
		sj.Overdue = sj.Tired || sj.LaxS < boot
		in.Jobs = append(in.Jobs, sj)
	}
	var machines []*fleet.Machine
	var victims []*fleet.Attempt
	c.fleet.Each(func(m *fleet.Machine) {
		n := sched.Node{ID: m.ID, Rig: m.Rig, Yard: m.Yard, Standby: m.Standby, Cap: m.Cap, Price: c.price(m.Rig, m.Standby)}
		switch {
		case m.Takes(now) && m.Strays() == 0:
			n.Free, n.Soon = m.Free(), m.Free()
			n.Leaving = !m.Standby && !c.kept[m.ID]
			m.Each(func(a *fleet.Attempt) {
				if !a.Live() {
					return
				}
				if j := c.jobs[a.Uid]; j != nil && !j.rec.Spec.Standby {
					n.Leaving, n.Fixed = false, true
				}
				if a.Stopping || a.State == fleet.Saving {
					n.Soon = n.Soon.Add(a.Need)
					return
				}
				if j := c.jobs[a.Uid]; j != nil && j.level < top && (a.State == fleet.Running || a.State == fleet.Fetching) {
					// A replica that has not run yet serves nobody: it can be
					// displaced like batch, and loses what it has fetched.
					serves := j.rec.Spec.Shape == wire.Standing && !a.RunAt.IsZero()
					loss := 0.0
					if !a.RunAt.IsZero() {
						loss = now.Sub(a.RunAt).Seconds()
						if mark := j.rec.Spec.MarkS; mark > 0 {
							loss = min(loss, j.rec.Spec.StowS)
						}
					} else if j.rec.Spec.Shape == wire.Standing {
						loss = now.Sub(a.Since).Seconds()
					}
					n.Victims = append(n.Victims, sched.Victim{ID: len(victims), Level: j.level, Need: a.Need, Loss: loss, Serve: serves})
					victims = append(victims, a)
				}
			})
			n.Later = n.Soon
			n.Cache = m
		case c.comes(m, now):
			n.Later = m.Free()
		default:
			return
		}
		in.Nodes = append(in.Nodes, n)
		machines = append(machines, m)
	})
	for _, r := range c.pending {
		rig := c.rig(r.req.Rig)
		for range r.req.HowMany {
			in.Nodes = append(in.Nodes, sched.Node{ID: r.req.Booking, Rig: r.req.Rig, Yard: r.req.Yard, Standby: r.req.Standby,
				Cap: provision.Cap(rig), Later: provision.Cap(rig), Price: c.price(r.req.Rig, r.req.Standby)})
			machines = append(machines, nil)
		}
	}
	return in, machines, victims
}

// avoids names the machine that a job failed on lately. A job that failed on
// several machines is at fault itself. If it went on avoiding machines, new
// ones would be rented for it.
func (c *Controller) avoids(j *job, now time.Time) string {
	if len(j.avoid) == 1 {
		for id, at := range j.avoid {
			if now.Sub(at) < 6*c.Config.Lease() {
				return id
			}
		}
	}
	return ""
}

// spotSpent reports whether the cloud had no spot machine left that may run the
// job when it was last asked: work that waited for one was only late. From time
// to time the refusals run out, and it is asked again.
func (c *Controller) spotSpent(w *wire.Work, now time.Time) bool {
	for i := range c.cat.Rigs {
		r := &c.cat.Rigs[i]
		if !provision.Cap(r).Holds(fleet.Need(w)) {
			continue
		}
		for _, yard := range r.Yards {
			if sched.Allowed(w, r.Sku, yard, true) && !now.Before(c.refused[provision.Group{Rig: r.Sku, Yard: yard, Standby: true}].until) {
				return false
			}
		}
	}
	return true
}

// price is what a machine costs per hour.
func (c *Controller) price(sku string, standby bool) float64 {
	r := c.rig(sku)
	switch {
	case r == nil:
		return 0
	case standby:
		return r.LowPrice
	}
	return r.Hourly
}

// laxS is how long a job can still wait and be done by its deadline, or by the
// next time that the users set for its class, if it runs half as long again as
// its owner expects. Work without either counts as due a few boots after it
// came, so that age decides among its like.
func (c *Controller) laxS(j *job, now time.Time) float64 {
	s := &j.rec.Spec
	age := float64(now.UnixMilli()-j.rec.AtMs) / 1000
	due := math.Inf(1)
	if s.DueS != nil {
		due = *s.DueS
	}
	for _, o := range c.Config.Cluster.Objectives {
		if o.Kind == "finished" && o.Class == s.Berth && o.WithinS > age {
			due = min(due, o.WithinS)
		}
	}
	if math.IsInf(due, 1) || s.Shape != wire.Sweep {
		return 4*c.bootS(s) - now.Sub(j.waitFrom).Seconds()
	}
	fetch := 0.0
	for i := range c.cat.Rigs {
		if r := &c.cat.Rigs[i]; r.PullGbPerS > 0 {
			fetch = max(fetch, s.ImageGb/r.PullGbPerS)
		}
	}
	return due - age - fetch - 1.5*s.ExpectS
}

// bootS is how long the quickest machine that may run a task of the job boots.
func (c *Controller) bootS(w *wire.Work) float64 {
	boot := math.Inf(1)
	for i := range c.cat.Rigs {
		if r := &c.cat.Rigs[i]; provision.Cap(r).Holds(fleet.Need(w)) && (len(w.Rigs) == 0 || slices.Contains(w.Rigs, r.Sku)) {
			boot = min(boot, r.BootS)
		}
	}
	return boot
}

// slackS is how long after a launch is decided a start is still within the time
// that the users set for the job's class, if the machine must fetch the image
// first. The rate that the catalog gives is met give or take a third.
func (c *Controller) slackS(w *wire.Work) float64 {
	slack := math.Inf(1)
	for _, o := range c.Config.Cluster.Objectives {
		if o.Kind != "wait" || o.Class != w.Berth {
			continue
		}
		for i := range c.cat.Rigs {
			r := &c.cat.Rigs[i]
			if provision.Cap(r).Holds(fleet.Need(w)) && r.PullGbPerS > 0 {
				slack = min(slack, o.WithinS-w.ImageGb/r.PullGbPerS*4/3-c.Config.Cluster.Workers.ReportS)
			}
		}
	}
	return slack
}

// comes reports whether a machine is expected to take launches soon. One that
// boots for much longer than usual is no longer counted on.
func (c *Controller) comes(m *fleet.Machine, now time.Time) bool {
	if m.Draining || m.Warned || m.Failed || m.Cap.Cores == 0 {
		return false
	}
	switch m.State {
	case fleet.Confirming:
		return !now.Before(m.SickTill)
	case fleet.Booting:
		r := c.rig(m.Rig)
		return r != nil && now.Sub(m.Born).Seconds() < 1.7*r.BootS+2*c.Config.Cluster.Workers.ReportS
	}
	return false
}

// arrivals measures how often jobs of a class come, with old ones fading.
type arrivals struct {
	spec  *wire.Work
	level int
	count float64 // jobs, each less the longer ago it came
	legs2 float64 // tasks of a job, squared, on the mean
	at    time.Time
}

// fade is how long ago a job must have come to count as little as 1/e. It is
// a few boots: spare room is for what comes while a machine boots.
func (a *arrivals) fade(now time.Time, overS float64) {
	a.count *= math.Exp(-now.Sub(a.at).Seconds() / overS)
	a.at = now
}

const arrivalFadeS = 6 // times the users' longest wait for a machine: see fadeS

// fadeS is the time over which arrivals fade.
func (c *Controller) fadeS() float64 { return arrivalFadeS * 2 * c.Config.Lease().Seconds() }

// arrived notes a new job.
func (c *Controller) arrived(j *job, now time.Time) {
	s, legs := &j.rec.Spec, float64(j.rec.Spec.Legs)
	a := c.arrive[s.Berth]
	if a == nil {
		a = &arrivals{at: now, legs2: legs * legs}
		c.arrive[s.Berth] = a
	}
	a.spec, a.level = s, j.level
	a.legs2 += (legs*legs - a.legs2) / 8
	a.fade(now, c.fadeS())
	a.count++
}

// spare makes phantom tasks of the classes that must start at once: the room
// they need is kept, or rented, beyond what waits.
func (c *Controller) spare(now time.Time) []*sched.Job {
	var jobs []*sched.Job
	factor := c.Settings().Spare
	for _, a := range c.arrive {
		if a.level < wire.High.Level() || factor == 0 {
			continue
		}
		a.fade(now, c.fadeS())
		perS := a.count / c.fadeS()
		n := int(math.Ceil(factor * float64(provision.Spare(perS, a.legs2, c.bootS(a.spec)))))
		for i := range n {
			spec := *a.spec
			spec.Uid, spec.Legs, spec.Shape, spec.Together, spec.Scatter = "", 1, wire.Sweep, false, false
			jobs = append(jobs, &sched.Job{Spec: &spec, Level: a.level, AtMs: int64(i), Waiting: 1, ByYard: map[string]int{}, Fetch: c.slackS(a.spec) < 0})
		}
	}
	return jobs
}

// provision rents for what has no room and marks idle machines for return.
func (c *Controller) provision(in *sched.Input, plan *sched.Plan, machines []*fleet.Machine, now time.Time) []*rental {
	settled := now.Sub(c.steady) > c.Config.Lease()
	spareIn := &sched.Input{Window: math.MaxInt, ReserveS: math.Inf(1), Jobs: c.spare(now), Teams: map[string]*sched.Team{}}
	for name := range in.Teams {
		spareIn.Teams[name] = &sched.Team{}
	}
	kept := map[string]bool{}
	c.kept = kept
	for i, n := range in.Nodes {
		n.Free, n.Soon, n.Later = plan.LeftSoon[i], plan.LeftSoon[i], plan.LeftLater[i]
		spareIn.Nodes = append(spareIn.Nodes, n)
	}
	spare := sched.Run(spareIn)
	for _, pl := range spare.Places {
		if m := machines[pl.Node]; m != nil {
			kept[m.ID] = true
		}
	}
	// A new leader waits until the machines have reported before it decides
	// that there are too few or too many.
	if !settled && len(c.pending) == 0 && c.fleet.Len() > 0 && c.unheard() {
		return nil
	}
	population := map[string]int{}
	c.fleet.Each(func(m *fleet.Machine) { population[m.Yard]++ })
	shorts := append(append([]sched.Short{}, plan.Shorts...), spare.Shorts...)
	rents := provision.Rents(c.cat, shorts, population, func(g provision.Group) bool { return now.Before(c.refused[g].until) })
	var out []*rental
	for _, r := range rents {
		out = append(out, c.book(r))
	}
	if settled {
		c.idle(plan.Shorts, kept, now)
	}
	return out
}

// unheard reports whether machines that may run tasks have not reported yet.
func (c *Controller) unheard() bool {
	found := false
	c.fleet.Each(func(m *fleet.Machine) {
		found = found || (m.State == fleet.Booting && m.LiveCount() > 0) || m.State == fleet.Confirming
	})
	return found
}

// idle returns machines that have had nothing to do for a while and that are
// not kept as spare room, the dearest first. A part of them at a time: the next
// round sees what is left. It is a part and not a number, or what a large fleet
// no longer needs stays for minutes: one machine a round left 250 of 450 idle.
func (c *Controller) idle(shorts []sched.Short, kept map[string]bool, now time.Time) {
	// Machines that what waits cannot use are returned even while work waits:
	// else they could hold the last capacity that the cloud has, for ever.
	wanted := func(m *fleet.Machine) bool {
		return slices.ContainsFunc(shorts, func(s sched.Short) bool {
			return sched.Allowed(s.Job.Spec, m.Rig, m.Yard, m.Standby) && m.Cap.Holds(fleet.Need(s.Job.Spec))
		})
	}
	var idle []*fleet.Machine
	c.fleet.Each(func(m *fleet.Machine) {
		r := c.rig(m.Rig)
		if m.State != fleet.Ready || m.Draining || m.LiveCount() > 0 || kept[m.ID] || r == nil || wanted(m) {
			return
		}
		// A machine costs at least a minute; what comes back within a
		// fraction of a boot saves a boot.
		if now.Sub(m.IdleAt).Seconds() < r.BootS/2 || now.Sub(m.Born).Seconds() < r.BootS+10 {
			return
		}
		idle = append(idle, m)
	})
	slices.SortFunc(idle, func(a, b *fleet.Machine) int {
		return cmp.Or(cmp.Compare(c.price(b.Rig, b.Standby), c.price(a.Rig, a.Standby)), cmp.Compare(b.ID, a.ID))
	})
	for _, m := range idle[:(len(idle)+3)/4] {
		c.giveUp(m, now, "idle")
	}
}
