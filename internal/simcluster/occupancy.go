package simcluster

import "lotusstile.dev/lotusstile/wire"

// occupancy is which tasks are on which machines.
type occupancy struct {
	hosts  map[string]map[string]bool // by task: the machines that it is on
	byJob  map[string]map[string]bool // by job: its tasks that are on a machine
	byTeam map[string]map[string]bool // by team: the jobs of it that were ever on one
}

func newOccupancy() occupancy {
	return occupancy{hosts: map[string]map[string]bool{}, byJob: map[string]map[string]bool{}, byTeam: map[string]map[string]bool{}}
}

// put notes that a task of a job is on a machine.
func (o *occupancy) put(task, host string, spec *wire.JobSpec) {
	member(o.hosts, task)[host] = true
	member(o.byJob, spec.UID)[task] = true
	member(o.byTeam, spec.Team)[spec.UID] = true
}

// take notes that a task has left a machine.
func (o *occupancy) take(task, host string) {
	delete(o.hosts[task], host)
	if len(o.hosts[task]) > 0 {
		return
	}
	delete(o.hosts, task)
	uid, _, _ := wire.SplitTaskName(task)
	delete(o.byJob[uid], task)
}

// eachOf calls f for every task of a job that is on a machine, with all its machines.
func (o *occupancy) eachOf(uid string, f func(hosts map[string]bool)) {
	for task := range o.byJob[uid] {
		f(o.hosts[task])
	}
}

// countOf is on how many machines the tasks of a job are, each counted for each machine.
func (o *occupancy) countOf(uid string) int {
	n := 0
	o.eachOf(uid, func(hosts map[string]bool) { n += len(hosts) })
	return n
}

// member finds or makes the set under a key.
func member(sets map[string]map[string]bool, key string) map[string]bool {
	if sets[key] == nil {
		sets[key] = map[string]bool{}
	}
	return sets[key]
}
