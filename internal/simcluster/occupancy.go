package simcluster

import (
	"time"

	"lotusstile.dev/lotusstile/wire"
)

// occupancy records which tasks are on which machines.
type occupancy struct {
	hostsOf map[string]map[string]bool // by task: the machines that it is on
	// reportedAt is when a node first answered a heartbeat that lists the task as running, by task.
	reportedAt map[string]time.Time
	tasksOf    map[string]map[string]bool // by job: its tasks that are on a machine
	jobsOf     map[string]map[string]bool // by team: its jobs that ever had a task on a machine
}

func newOccupancy() occupancy {
	return occupancy{
		hostsOf:    map[string]map[string]bool{},
		reportedAt: map[string]time.Time{},
		tasksOf:    map[string]map[string]bool{},
		jobsOf:     map[string]map[string]bool{},
	}
}

// add records that a task of a job is on a machine.
func (o *occupancy) add(task, host string, spec *wire.JobSpec) {
	getOrCreateSet(o.hostsOf, task)[host] = true
	getOrCreateSet(o.tasksOf, spec.UID)[task] = true
	getOrCreateSet(o.jobsOf, spec.Team)[spec.UID] = true
}

// remove records that a task has left a machine.
func (o *occupancy) remove(task, host string) {
	delete(o.hostsOf[task], host)
	if len(o.hostsOf[task]) > 0 {
		return
	}
	delete(o.hostsOf, task)
	delete(o.reportedAt, task)
	uid, _, _ := wire.SplitTaskName(task)
	delete(o.tasksOf[uid], task)
}

// eachTask calls visit for every task of a job that is on a machine, with all machines that the task is on.
func (o *occupancy) eachTask(uid string, visit func(hosts map[string]bool)) {
	for task := range o.tasksOf[uid] {
		visit(o.hostsOf[task])
	}
}

// recordReport records that a node has answered a heartbeat that lists a task as running.
func (o *occupancy) recordReport(task, host string) {
	if o.hostsOf[task][host] && o.reportedAt[task].IsZero() {
		o.reportedAt[task] = time.Now()
	}
}

// reportedBefore returns a task of a job that is on a machine, other than the excluded ones, and that was reported as
// running before the given time; "" if there is none.
func (o *occupancy) reportedBefore(uid string, limit time.Time, excluded func(host string) bool) string {
	for task := range o.tasksOf[uid] {
		reportedAt := o.reportedAt[task]
		for host := range o.hostsOf[task] {
			if !reportedAt.IsZero() && reportedAt.Before(limit) && !excluded(host) {
				return task
			}
		}
	}
	return ""
}

// taskCount returns how many tasks of a job are on machines. A task that is on two machines counts twice.
func (o *occupancy) taskCount(uid string) int {
	count := 0
	o.eachTask(uid, func(hosts map[string]bool) { count += len(hosts) })
	return count
}

// getOrCreateSet returns the set under a key, and adds an empty one if there is none.
func getOrCreateSet(sets map[string]map[string]bool, key string) map[string]bool {
	if sets[key] == nil {
		sets[key] = map[string]bool{}
	}
	return sets[key]
}
