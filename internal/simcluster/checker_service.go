package simcluster

import (
	"slices"
	"time"

	"lotusstile.dev/lotusstile/internal/config"
	"lotusstile.dev/lotusstile/wire"
)

const (
	// maxStartDelay is the longest time allowed from the acceptance of a job, one of the largest of its class, to the
	// start of its first task.
	maxStartDelay = 4 * time.Minute
	// maxWait is how long a job may wait, once the faults are over, while a suitable machine has free
	// capacity for one of its tasks and its team is under its limit.
	maxWait = 90 * time.Second
)

// FaultsOver records that all faults are over: from now on no job may wait for longer than maxWait while a
// machine has free capacity for it.
func (c *Checker) FaultsOver() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.faultsOverAt = time.Now()
	for _, job := range c.jobs {
		job.waitingSince = time.Time{}
	}
}

func (c *Checker) areFaultsOver() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return !c.faultsOverAt.IsZero()
}

// CheckJobsServed checks, at the end of a scenario, that at least half of the jobs of each class were served, half
// of the jobs of each team, and half of the largest jobs of each class. It also checks that each of the largest
// jobs started within maxStartDelay. A service is served when it starts, an array when it is done. Jobs that their
// users cancelled before they could be served do not count.
func (c *Checker) CheckJobsServed() {
	c.mu.Lock()
	defer c.mu.Unlock()
	largest := c.largestJobs()
	accepted, served := map[string]int{}, map[string]int{}
	for uid, job := range c.jobs {
		hasStarted := !job.firstStart.IsZero()
		if job.acceptedAt.IsZero() || c.isCancelRequested(uid) && !hasStarted {
			continue
		}
		groups := []string{"class " + job.spec.JobClass, "team " + job.spec.Team}
		if job.spec.TaskCount == largest[job.spec.JobClass] {
			groups = append(groups, "largest of "+job.spec.JobClass)
			if !hasStarted || job.firstStart.Sub(job.acceptedAt) > maxStartDelay {
				c.reportLocked(ruleLateBegin, "%s, one of the largest jobs of its class, did not start within four minutes of its acceptance", uid)
			}
		}
		isService := job.spec.Kind == wire.Service
		if isService || !job.cancelRequested { // an array that is cancelled while it runs cannot become done
			countAll(accepted, groups)
		}
		if isService && hasStarted || job.finalStatus == wire.JobDone {
			countAll(served, groups)
		}
	}
	c.checkHalfServed(accepted, served)
}

// checkHalfServed checks that at least half of each group was served. c.mu is held.
func (c *Checker) checkHalfServed(accepted, served map[string]int) {
	for group, count := range accepted {
		if 2*served[group] < count {
			c.reportLocked(ruleUnserved, "%s: %d of %d jobs were served", group, served[group], count)
		}
	}
}

// largestJobs returns the task count of the largest jobs of each class. c.mu is held.
func (c *Checker) largestJobs() map[string]int {
	largest := map[string]int{}
	for _, job := range c.jobs {
		largest[job.spec.JobClass] = max(largest[job.spec.JobClass], job.spec.TaskCount)
	}
	return largest
}

func countAll(counts map[string]int, groups []string) {
	for _, group := range groups {
		counts[group]++
	}
}

// machineLoad is a machine with its tasks. Its free amounts are its capacity until subtractTasks has
// subtracted what the tasks use.
type machineLoad struct {
	Machine
	freeCores, freeGpus, freeRAMGb float64
	tasks                          []string
}

// canRun reports whether the specification of a job allows the machine, and one of the job's tasks fits
// into the free amounts.
func (l *machineLoad) canRun(spec *wire.JobSpec) bool {
	return l.freeCores >= spec.Cores && l.freeGpus >= spec.Gpus && l.freeRAMGb >= spec.RAMGb &&
		(len(spec.MachineTypes) == 0 || slices.Contains(spec.MachineTypes, l.MachineType)) &&
		(spec.Zone == "" || spec.Zone == l.Zone) && (spec.AllowSpot || !l.Spot)
}

// usage is what tasks use: of a job by zone, and of a team in all.
type usage struct {
	tasksByZone map[string]map[string]int // by job and zone
	cores, gpus map[string]float64        // by team
}

// isUnderLimit reports whether a team may run another task of a job.
func (u *usage) isUnderLimit(team *config.Team, spec *wire.JobSpec) bool {
	return (team.GpusMax == 0 || u.gpus[team.Name]+spec.Gpus <= team.GpusMax) &&
		(team.CpusMax == 0 || u.cores[team.Name]+spec.Cores <= team.CpusMax)
}

// placed returns how many tasks of a job are on machines.
func (u *usage) placed(uid string) (tasks int) {
	for _, count := range u.tasksByZone[uid] {
		tasks += count
	}
	return tasks
}

// mayUseZone reports whether a job that must keep to one zone may have another task in a zone.
func (u *usage) mayUseZone(uid string, spec *wire.JobSpec, zone string) bool {
	return !spec.SingleZone || u.placed(uid) == u.tasksByZone[uid][zone]
}

// checkWaitingJobs checks that no job waits for longer than maxWait although one of the machines with the
// given loads has free capacity for it. Jobs of the faulty class, services that must keep to one zone, and jobs
// that must spread over zones may wait.
func (c *Checker) checkWaitingJobs(loads []machineLoad, faultyClass string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	used := c.subtractTasks(loads)
	now := time.Now()
	for uid, job := range c.jobs {
		spec := &job.spec
		team, _ := c.config.Team(spec.Team)
		mayWait := job.acceptedAt.IsZero() || job.finalStatus != "" || job.cancelRequested ||
			spec.SingleZone && spec.Kind != wire.JobArray || spec.SpreadZones || spec.JobClass == faultyClass
		hasCapacity := slices.ContainsFunc(loads, func(l machineLoad) bool { return l.canRun(spec) && used.mayUseZone(uid, spec, l.Zone) })
		isIncomplete := len(job.completedTasks)+used.placed(uid) < spec.TaskCount
		switch {
		case mayWait || !isIncomplete || !hasCapacity || !used.isUnderLimit(&team, spec):
			job.waitingSince = time.Time{}
		case job.waitingSince.IsZero():
			job.waitingSince = now
		case now.Sub(job.waitingSince) > maxWait:
			c.reportLocked(ruleLeftWaiting, "%s waits although a machine has free capacity for it", uid)
			job.waitingSince = now
		}
	}
}

// subtractTasks subtracts what tasks use from the free amounts of their machines, and returns what they use. c.mu is
// held.
func (c *Checker) subtractTasks(loads []machineLoad) *usage {
	used := &usage{tasksByZone: map[string]map[string]int{}, cores: map[string]float64{}, gpus: map[string]float64{}}
	for i := range loads {
		for _, task := range loads[i].tasks {
			uid, _, _ := wire.SplitTaskName(task)
			spec := &c.job(uid).spec
			if used.tasksByZone[uid] == nil {
				used.tasksByZone[uid] = map[string]int{}
			}
			used.tasksByZone[uid][loads[i].Zone]++
			used.cores[spec.Team] += spec.Cores
			used.gpus[spec.Team] += spec.Gpus
			loads[i].freeCores -= spec.Cores
			loads[i].freeGpus -= spec.Gpus
			loads[i].freeRAMGb -= spec.RAMGb
		}
	}
	return used
}
