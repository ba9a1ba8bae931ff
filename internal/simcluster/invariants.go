package simcluster

import (
	"net/http"
	"slices"
	"sync"
	"time"

	"lotusstile.dev/lotusstile/wire"
)

// Submit submits a job at a node and reports whether it was accepted.
func (w *Cluster) Submit(node string, spec wire.JobSpec) bool {
	asked := time.Now()
	status, v := w.Request(node, http.MethodPost, "/work", spec)
	w.answered(spec.UID, asked, status, v)
	w.mu.Lock()
	known := w.accepted[spec.UID] != (time.Time{})
	if status == http.StatusBadRequest || status == http.StatusUnprocessableEntity {
		w.breach("forgotten", "%s is answered %d at %s", spec.UID, status, node)
	}
	w.mu.Unlock()
	return known
}

// Poll asks a node how a job stands.
func (w *Cluster) Poll(node, uid string) {
	asked := time.Now()
	status, v := w.Request(node, http.MethodGet, "/work/"+uid, nil)
	w.answered(uid, asked, status, v)
}

// Cancel asks a node to cancel a job and reports whether it answered.
func (w *Cluster) Cancel(node, uid string) bool {
	w.mu.Lock()
	w.asked[uid] = true
	w.mu.Unlock()
	asked := time.Now()
	status, v := w.Request(node, http.MethodPost, "/work/"+uid+"/withdraw", nil)
	if status == http.StatusOK && !v.Status.Final() {
		w.rule("went_back", "%s is told %s when cancelled", uid, v.Status)
	}
	w.answered(uid, asked, status, v)
	return status == http.StatusOK
}

// FinalStatus is the final status that a user was told of a job.
func (w *Cluster) FinalStatus(uid string) wire.JobStatus {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.final[uid].status
}

// answered judges an answer against all that any node has told before the
// question was asked, and remembers what is new in it.
func (w *Cluster) answered(uid string, asked time.Time, status int, v wire.JobView) {
	w.mu.Lock()
	answers := w.checkAnswer(uid, asked, status, v)
	look := answers && w.CrossCheckAnswers
	w.mu.Unlock()
	if look {
		w.CrossCheckJob(uid)
	}
}

// checkAnswer does that and reports whether anything is new. w.mu is held.
func (w *Cluster) checkAnswer(uid string, asked time.Time, status int, v wire.JobView) bool {
	spec, submitted := w.specs[uid]
	at, accepted := w.accepted[uid]
	last, over := w.final[uid]
	switch {
	case status == http.StatusNotFound && accepted && at.Before(asked):
		w.breach("forgotten", "%s gets 404", uid)
		return false
	case status != http.StatusOK && status != http.StatusCreated:
		return false
	case !submitted:
		w.breach("invented", "%s is told %s", uid, v.Status)
		return false
	case over && last.at.Before(asked) && v.Status != last.status:
		w.breach("went_back", "%s was %s, is %s", uid, last.status, v.Status)
	case v.Status == wire.JobDone && len(w.done[uid]) != spec.TaskCount:
		w.breach("not_done", "%s is told done", uid)
	case v.Status == wire.JobAborted && !w.askedToCancel(uid):
		w.breach("went_back", "%s is told cancelled, but nobody cancelled it", uid)
	case over && v.Status.Final() && v.Status != last.status:
		w.breach("went_back", "%s is told %s and %s", uid, last.status, v.Status)
	}
	w.checkOrphan(uid, asked, v.Status)
	now := time.Now()
	if !accepted {
		w.accepted[uid] = now
	}
	if v.Status.Final() && !over {
		w.final[uid] = finalWord{v.Status, now}
		if v.Status == wire.JobAborted {
			w.aborted[uid] = now
		}
		return true
	}
	return !accepted
}

// CrossCheckJob asks for a job at all nodes at once, again and again within
// milliseconds, and repeats its submission.
func (w *Cluster) CrossCheckJob(uid string) {
	w.mu.Lock()
	spec := w.specs[uid]
	w.mu.Unlock()
	var asking sync.WaitGroup
	for _, node := range w.Nodes {
		for i := range 3 {
			asking.Add(1)
			go func() {
				defer asking.Done()
				time.Sleep(time.Duration(i) * 3 * time.Millisecond)
				asked := time.Now()
				method, path, body := http.MethodGet, "/work/"+uid, any(nil)
				if i == 1 {
					method, path, body = http.MethodPost, "/work", spec
				}
				status, v := w.Request(node, method, path, body)
				w.mu.Lock()
				defer w.mu.Unlock()
				w.checkAnswer(uid, asked, status, v)
				if i == 1 && (status == http.StatusBadRequest || status == http.StatusUnprocessableEntity) {
					w.breach("forgotten", "%s is answered %d at %s", uid, status, node)
				}
			}()
		}
	}
	asking.Wait()
}

// On counts the tasks of a job that are on machines.
func (w *Cluster) TasksOnMachines(uid string) int {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.on.countOf(uid)
}

// LateStarts counts the tasks that started after their user was told that the
// job is cancelled.
func (w *Cluster) LateStarts() int {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.lateStarts
}

// FaultsOver says that all troubles are over: from now on no job may wait for long
// while there is room for it.
func (w *Cluster) FaultsOver() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.calm = time.Now()
	clear(w.waits)
}

// maxBegin is how long the largest jobs of a class may take to begin.
const maxBegin = 4 * time.Minute

// CheckJobsServed looks, at the end of a day, at who was served of those that were
// accepted and not cancelled by their users before they could be: at least half
// of each class, of each team and of the largest jobs of each class, and these
// within four minutes.
func (w *Cluster) CheckJobsServed() {
	w.mu.Lock()
	defer w.mu.Unlock()
	largest := map[string]int{}
	for _, s := range w.specs {
		largest[s.JobClass] = max(largest[s.JobClass], s.TaskCount)
	}
	all, served := map[string]int{}, map[string]int{}
	for uid, at := range w.accepted {
		s := w.specs[uid]
		begun, began := w.begins[uid]
		if w.askedToCancel(uid) && !began {
			continue
		}
		groups := []string{"class " + s.JobClass, "team " + s.Team}
		if s.TaskCount == largest[s.JobClass] {
			groups = append(groups, "largest of "+s.JobClass)
			if !began || begun.Sub(at) > maxBegin {
				w.breach("late_begin", "%s, among the largest of its class, had not begun after four minutes", uid)
			}
		}
		for _, g := range groups {
			all[g]++
			if s.Kind == wire.Service && began || w.final[uid].status == wire.JobDone {
				served[g]++
			}
		}
		if s.Kind != wire.Service && w.asked[uid] { // half done when it was called off
			for _, g := range groups {
				all[g]--
			}
		}
	}
	for g, n := range all {
		if n > 0 && 2*served[g] < n {
			w.breach("unserved", "%s: %d of %d", g, served[g], n)
		}
	}
}

// maxWait is how long a job may wait, once all is calm, while a machine that
// fits has room and its team is under its limit.
const maxWait = 90 * time.Second

// hostLoad is a machine's room and the tasks that it has, as its worker knows.
type hostLoad struct {
	machineType, zone string
	spot              bool
	cores, gpus       float64
	tasks             []string
}

// sweepWaiting looks for jobs that wait although there is room for them.
func (w *Cluster) sweepWaiting() {
	w.mu.Lock()
	calm := !w.calm.IsZero()
	var all []*Worker
	for _, k := range w.workers {
		all = append(all, k)
	}
	w.mu.Unlock()
	if !calm {
		return
	}
	var loads []hostLoad
	for _, k := range all {
		if l, up := k.load(); up {
			loads = append(loads, l)
		}
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	placed, gpus := map[string]int{}, map[string]float64{}
	for i := range loads {
		for _, task := range loads[i].tasks {
			uid, _, _ := wire.SplitTaskName(task)
			s := w.specs[uid]
			placed[uid]++
			gpus[s.Team] += s.Gpus
			loads[i].cores -= s.Cores
			loads[i].gpus -= s.Gpus
		}
	}
	now := time.Now()
	for uid, s := range w.specs {
		team, _ := w.Config.Team(s.Team)
		_, accepted := w.accepted[uid]
		_, over := w.final[uid]
		room := slices.ContainsFunc(loads, func(l hostLoad) bool {
			return l.cores >= s.Cores && l.gpus >= s.Gpus && (len(s.MachineTypes) == 0 || slices.Contains(s.MachineTypes, l.machineType)) &&
				(s.Zone == "" || s.Zone == l.zone) && (s.AllowSpot || !l.spot)
		})
		waits := accepted && !over && !w.asked[uid] && !s.SingleZone && !s.SpreadZones && s.JobClass != w.FaultyJobClass &&
			len(w.done[uid])+placed[uid] < s.TaskCount && room && (team.GpusMax == 0 || gpus[s.Team]+s.Gpus <= team.GpusMax)
		switch since, known := w.waits[uid]; {
		case !waits:
			delete(w.waits, uid)
		case !known:
			w.waits[uid] = now
		case now.Sub(since) > maxWait:
			w.breach("left_waiting", "%s waits although there is room", uid)
			w.waits[uid] = now
		}
	}
}

// load is what the worker has, if the machine is up and well.
func (k *Worker) load() (hostLoad, bool) {
	k.mu.Lock()
	defer k.mu.Unlock()
	now := time.Now()
	if k.dead || now.Before(k.hungTill) || now.Before(k.sickTill) || now.Sub(k.born) < k.boot {
		return hostLoad{}, false
	}
	l := hostLoad{machineType: k.MachineType, zone: k.Zone, spot: k.Spot}
	for _, r := range k.w.Catalog.MachineTypes {
		if r.Name == k.MachineType {
			l.cores, l.gpus = r.Cores, r.Gpus
		}
	}
	for key, task := range k.tasks {
		if task.status != wire.TaskEnded {
			l.tasks = append(l.tasks, key.name)
		}
	}
	return l, true
}

// CaptureHeartbeats begins or ends keeping a copy of every report for the next leader.
// Its end delivers all of them to every controller.
func (w *Cluster) CaptureHeartbeats(on bool) {
	w.mu.Lock()
	w.keeping = on
	copies := w.copies
	if !on {
		w.copies = nil
	}
	w.mu.Unlock()
	if on {
		return
	}
	for _, node := range w.Nodes {
		go func() {
			for _, data := range copies {
				w.post("copies", node, data)
			}
		}()
	}
}

// keep keeps a copy of a report if copies are kept.
func (w *Cluster) keep(data []byte) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.keeping && len(w.copies) < 2000 {
		w.copies = append(w.copies, data)
	}
}
