// Package controller is the leader at work: it keeps the picture, runs the
// rounds, writes what they decide, answers workers and looks after machines.
// One Controller lives for one term.
package controller

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"maps"
	"slices"
	"strings"
	"sync"
	"time"

	"lotusstile.dev/lotusstile/internal/config"
	"lotusstile.dev/lotusstile/internal/fleet"
	"lotusstile.dev/lotusstile/internal/ledger"
	"lotusstile.dev/lotusstile/internal/provision"
	"lotusstile.dev/lotusstile/internal/store"
	"lotusstile.dev/lotusstile/wire"
)

// Store is what a controller needs of the state service.
type Store interface {
	ledger.Reader
	Get(ctx context.Context, key string) (wire.Item, bool, error)
	Commit(ctx context.Context, tx wire.Commit) (uint64, error)
}

// Cloud is what it needs of the cloud.
type Cloud interface {
	Catalog(ctx context.Context) (wire.Catalog, error)
	Rent(ctx context.Context, r wire.RentRequest) ([]string, error)
	Return(ctx context.Context, hosts []string) error
	List(ctx context.Context) ([]wire.ListedHost, error)
}

// Worker is what it needs of workers.
type Worker interface {
	// Announce tells a worker the term's token. It returns the worker's
	// session and the highest token the worker has seen.
	Announce(ctx context.Context, address string, baton, shift uint64) (wire.Report, error)
}

// Deps is what a controller works with.
type Deps struct {
	Config   *config.Config
	Store    Store
	Cloud    Cloud
	Worker   Worker
	Mirror   *ledger.Mirror
	Settings func() wire.Settings
	Saw      func(term uint64)   // a newer term was seen
	Heard    func() []string     // machines that peers answer
	Reached  func() []string     // zones of the controllers that are reached, this one included
	Rounded  func(time.Duration) // a round took this long
}

// Controller leads one term.
type Controller struct {
	Deps
	term uint64
	wake chan struct{} // the writer has work
	news chan struct{} // there is something to place
	back chan struct{} // there is something to return
	now  func() time.Time

	mu             sync.Mutex
	cancel         context.CancelFunc
	loaded         bool
	begun          time.Time
	fleet          *fleet.Fleet
	jobs           map[string]*job
	cat            *wire.Catalog
	rents          int // counter in booking names
	pending        map[string]*rental
	refused        map[provision.Group]refusal
	window         int
	countsRevision uint64 // counts changes of jobs' counts of tasks
	returns        map[string]*giveBack
	returnsRecords []returnsRecord
	returnKeys     int // counter in their keys
	arrive         map[string]*arrivals
	told           map[string]time.Time     // announcements
	waitingAnswers map[string]chan struct{} // check-ins that wait for commands, by machine
	leastNeed      fleet.Res                // what the smallest task that is likely to come takes
	cutOff         map[string]time.Time     // by zone: when most of it was last silent
	noted          map[string]imageNote     // which images of a machine are recorded
	kept           map[string]bool          // machines kept as spare room by the last round
	last           wire.RoundStatus
	lastAt         time.Time
	steady         time.Time
	away           bool // no reports are answered: nobody's silence is judged
}

// New makes the controller of a term.
func New(d Deps, term uint64) *Controller {
	c := &Controller{Deps: d, term: term, wake: make(chan struct{}, 1), news: make(chan struct{}, 1), back: make(chan struct{}, 1), now: time.Now,
		jobs: map[string]*job{}, pending: map[string]*rental{}, refused: map[provision.Group]refusal{},
		arrive: map[string]*arrivals{}, cutOff: map[string]time.Time{}, noted: map[string]imageNote{}, told: map[string]time.Time{}, waitingAnswers: map[string]chan struct{}{}}
	c.fleet = fleet.New(term, d.Config.Lease(), c)
	c.returns = map[string]*giveBack{}
	c.countsRevision = 1
	c.begun = c.now()
	c.window = d.Settings().Window
	return c
}

// Term is the term it leads.
func (c *Controller) Term() uint64 { return c.term }

// Begun is when the term began here.
func (c *Controller) Begun() time.Time { return c.begun }

// Run leads until ctx ends.
func (c *Controller) Run(ctx context.Context) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	c.mu.Lock()
	c.cancel = cancel
	c.mu.Unlock()
	c.Mirror.Listen(c.jobEvent)
	defer c.Mirror.Listen(nil)
	pause := c.Config.HoldTTL() / 10
	for {
		err := c.load(ctx)
		if err == nil {
			break
		}
		slog.Warn("cannot load the picture", "term", c.term, "err", err)
		if !sleep(ctx, pause) {
			return
		}
	}
	var wg sync.WaitGroup
	for _, f := range []func(context.Context){c.writer, c.rounds, c.lists, c.returning, c.announcing, c.noteImages, c.hearKept} {
		wg.Add(1)
		go func() {
			defer wg.Done()
			f(ctx)
		}()
	}
	wg.Wait()
}

// untilNext is how long to wait for periodic work, so that works of different
// periods wake the process together.
func (c *Controller) untilNext(period time.Duration) time.Duration {
	return c.Config.Grid().Next(time.Now(), period)
}

func sleep(ctx context.Context, d time.Duration) bool {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-t.C:
		return true
	}
}

// depose ends the term: a newer one is known to exist.
func (c *Controller) depose(why string) {
	slog.Info("term is over", "term", c.term, "why", why)
	c.mu.Lock()
	cancel := c.cancel
	c.mu.Unlock()
	if cancel != nil {
		cancel()
	}
}

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
			c.returns[id] = &giveBack{recorded: true}
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

// jobEvent takes a change of a job's record into the picture.
func (c *Controller) jobEvent(uid string, e ledger.Entry) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.takeJob(uid, e)
}

func (c *Controller) takeJob(uid string, e ledger.Entry) {
	now := c.now()
	j := c.jobs[uid]
	switch {
	case e.Job == nil:
		if j != nil && e.Stamp >= j.stamp {
			c.dropJob(j, now)
		}
	case j == nil:
		c.jobs[uid] = newJob(uid, e, now)
		slog.Info("job", "uid", uid, "berth", e.Job.Spec.Berth, "legs", e.Job.Spec.Legs, "gpus", e.Job.Spec.Gpus, "image", e.Job.Spec.Rollout, "status", string(e.Job.Status))
		c.arrived(c.jobs[uid], now)
		notify(c.news)
	case e.Stamp > j.stamp:
		wasFinal := j.rec.Status.Final()
		j.rec, j.stamp = e.Job, e.Stamp
		if !wasFinal && e.Job.Status == wire.JobAborted {
			slog.Info("job withdrawn", "uid", uid)
			j.each(func(a *fleet.Attempt) { c.stop(a, 0, now, "withdrawn") })
			c.poke()
		}
	}
}

// dropJob forgets a job that is archived.
func (c *Controller) dropJob(j *job, now time.Time) {
	delete(c.jobs, j.uid)
	j.each(func(a *fleet.Attempt) { c.stop(a, 0, now, "job is archived") })
	for _, p := range j.pieces {
		for _, a := range p.ended {
			c.fleet.Record(a, now)
		}
		p.ended = nil
	}
}

func (c *Controller) poke() { notify(c.wake) }

// notify wakes whoever waits on ch, now or next.
func notify(ch chan struct{}) {
	select {
	case ch <- struct{}{}:
	default:
	}
}

// stop asks for the end of an attempt.
func (c *Controller) stop(a *fleet.Attempt, leewayS float64, now time.Time, why string) {
	c.fleet.StopAttempt(a, leewayS, now, why)
	if a.Live() {
		c.answerNow(a.Machine)
	}
}

// capacity fills in what a machine of its type offers.
func (c *Controller) capacity(m *fleet.Machine) {
	if c.cat == nil || m.Rig == "" {
		return
	}
	for i := range c.cat.Rigs {
		if c.cat.Rigs[i].Sku == m.Rig {
			m.Cap = provision.Cap(&c.cat.Rigs[i])
		}
	}
}

func (c *Controller) rig(sku string) *wire.Rig {
	if c.cat == nil {
		return nil
	}
	for i := range c.cat.Rigs {
		if c.cat.Rigs[i].Sku == sku {
			return &c.cat.Rigs[i]
		}
	}
	return nil
}

// CountsSince tells which jobs' counts of tasks have changed since a revision, and
// the revision that they lead to: 0 until all is loaded.
func (c *Controller) CountsSince(revision uint64) ([]wire.JobView, uint64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.loaded {
		return nil, 0
	}
	var views []wire.JobView
	for _, j := range c.jobs {
		if j.countsRevision > revision {
			views = append(views, wire.JobView{UID: j.uid, Done: j.done, Running: j.running()})
		}
	}
	return views, c.countsRevision
}

// countsChanged notes that a job's counts of tasks may have changed.
func (c *Controller) countsChanged(j *job) {
	c.countsRevision++
	j.countsRevision = c.countsRevision
}

// Counts tells how many tasks of a job are done and running.
func (c *Controller) Counts(uid string) (done, running int, ok bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	j := c.jobs[uid]
	if j == nil || !c.loaded {
		return 0, 0, false
	}
	return j.done, j.running(), true
}

// MachineChanged logs a machine's change of state.
func (c *Controller) MachineChanged(m *fleet.Machine, from fleet.MachineState, why string) {
	slog.Info("machine", "host", m.ID, "from", from.String(), "to", m.State.String(), "shift", m.Shift, "why", why)
}

// AttemptChanged keeps the jobs in step with their attempts.
func (c *Controller) AttemptChanged(a *fleet.Attempt, from fleet.AttemptState, why string) {
	slog.Info("attempt", "leg", a.Name(), "try", a.Try, "host", a.Machine.ID, "from", from.String(), "to", a.State.String(), "why", why)
	if a.State == fleet.Committed {
		c.answerNow(a.Machine)
	}
	j := c.jobs[a.UID]
	if j == nil {
		if a.State == fleet.Ended {
			c.fleet.Record(a, c.now()) // its job is archived: nothing to record
		}
		return
	}
	j.begun = j.begun || a.State == fleet.Running
	c.countsChanged(j)
	p := j.piece(a.Leg)
	if from < fleet.Ended && !a.Live() && p.live[a.Leg] == a {
		delete(p.live, a.Leg)
		j.live--
		j.freed = append(j.freed, a.Leg)
		if a.Cause != wire.CauseDone {
			j.lost++
		}
		if j.live == 0 {
			j.waitFrom = c.now()
		}
		p.touch(c.now().Add(c.endsWait()))
	}
	if a.State == fleet.Ended {
		c.ended(j, p, a)
	}
	if !a.Live() && c.over(j) {
		c.poke()
	}
}

// endsWait is how long the record of an end may wait for more of its piece.
// Until then the task is reported as ended, and a new leader would learn of it
// from there. Each end written at once took more of the state service's budget
// of changes than all launches.
func (c *Controller) endsWait() time.Duration { return 2 * c.Config.ReportEvery() }

// ended takes the end of an attempt into its job.
func (c *Controller) ended(j *job, p *piece, a *fleet.Attempt) {
	now := c.now()
	i := a.Leg % j.rec.Per
	switch a.Cause {
	case wire.CauseDone:
		if !p.done.DoneBit(i) {
			p.done.SetDone(i)
			j.done++
		}
		j.fails = 0
		clear(a.Machine.Errors)
	case wire.CauseError:
		c.blame(j, a.Machine, now)
	case wire.CauseNoRoom, wire.CauseInUse, wire.CauseNoSuch:
		j.avoid[a.Machine.ID] = now
	}
	if j.rec.Status.Final() {
		// Nothing of a withdrawn job is ever launched again, so its end need
		// not be recorded before it is reaped.
		c.fleet.Record(a, now)
		return
	}
	p.ended = append(p.ended, a)
}

// blame decides who is at fault for an error. A job that fails on a second
// machine is taken to be mistaken itself: it backs off and condemns nobody. A
// machine that fails several jobs is passed over for a while.
func (c *Controller) blame(j *job, m *fleet.Machine, now time.Time) {
	lease := c.Config.Lease()
	maps.DeleteFunc(j.avoid, func(_ string, at time.Time) bool { return now.Sub(at) > 12*lease })
	j.avoid[m.ID] = now
	j.fails++
	others := len(m.Errors)
	if _, own := m.Errors[j.uid]; own {
		others--
	}
	if len(j.avoid) >= 2 && others == 0 {
		j.hold = now.Add(min(3*lease, time.Second<<max(0, min(j.fails-2, 10))))
		slog.Info("job fails on several machines", "uid", j.uid, "fails", j.fails)
		for id := range j.avoid {
			if o := c.fleet.Get(id); o != nil && o.Errors[j.uid] != (time.Time{}) {
				if delete(o.Errors, j.uid); len(o.Errors) == 0 {
					o.SickTill = time.Time{}
				}
			}
		}
		return
	}
	m.Errors[j.uid] = now
	rest := lease
	if len(m.Errors) >= 2 {
		rest = 6 * lease
	}
	m.SickTill = now.Add(rest)
	slog.Info("machine passed over", "host", m.ID, "jobs", len(m.Errors), "for", rest.String())
}

// refresh takes a job's record, as just read, into the picture.
func (c *Controller) refresh(uid string, item wire.Item) {
	var rec ledger.Job
	if err := wire.Decode(item.Value, &rec); err != nil {
		slog.Error("job record cannot be read", "uid", uid, "err", err)
		return
	}
	c.jobEvent(uid, ledger.Entry{Job: &rec, Stamp: item.Stamp})
}

// Status tells how the leader's work stands.
func (c *Controller) Status() wire.LeadStatus {
	c.mu.Lock()
	defer c.mu.Unlock()
	st := wire.LeadStatus{Term: c.term, Loaded: c.loaded, Window: c.window, Round: c.last, Machines: map[string]int{}, Classes: map[string]wire.ClassStatus{}}
	if !c.lastAt.IsZero() {
		st.Round.AgoS = c.now().Sub(c.lastAt).Seconds()
	}
	c.fleet.Each(func(m *fleet.Machine) { st.Machines[m.State.String()]++ })
	for _, j := range c.jobs {
		cl := st.Classes[j.rec.Spec.Berth]
		cl.Jobs++
		cl.Waiting += j.waiting()
		cl.Placed += j.live
		st.Classes[j.rec.Spec.Berth] = cl
	}
	return st
}

// checkDeposed ends the term if a commit failed because of the leader's key.
func (c *Controller) checkDeposed(err error) {
	var conflict *store.ConflictError
	if errors.As(err, &conflict) && slices.Contains(conflict.Failed, ledger.LeaderKey) {
		c.depose("the leader's key has changed")
	}
}
