package sched

// preemptor is what decides which running work a job may preempt.
type preemptor struct {
	belowLevel      int    // work of lower priority levels
	mayStopReplicas bool   // replicas of services too
	team            string // of the job, where teams have quotas
	reclaimsQuota   bool   // the job is within its team's quota
}

// preemptorOf returns the rule for a job.
func (c *cycle) preemptorOf(job *Job) preemptor {
	by := preemptor{belowLevel: c.preemptionLevel(job), mayStopReplicas: job.CannotAwaitBoot}
	if c.input.WithinQuota != nil {
		by.team, by.reclaimsQuota = job.Spec.Team, job.WithinQuota
	}
	return by
}

// preemptionLevel returns the level below which a job may preempt work.
func (c *cycle) preemptionLevel(job *Job) int {
	if limit := c.input.PreemptOnlyBelow; limit > 0 {
		return min(job.Level, limit)
	}
	return job.Level
}

// mayPreempt reports whether running work may be preempted. What another team runs within its quota
// stays, whatever its priority: if it were preempted, its team would reclaim the room in the next
// cycle. What that team runs beyond its quota may be reclaimed, and a job that reclaims need not wait
// for a machine to boot first.
func (by preemptor) mayPreempt(v *Victim, withinQuota map[string]bool) bool {
	if by.team != "" && v.Team != by.team && withinQuota[v.JobUID] {
		return false
	}
	return by.mayPreemptByPriority(v) || by.reclaimsQuota && v.Team != by.team
}

// mayPreemptByPriority reports whether running work may be preempted for its priority alone.
func (by preemptor) mayPreemptByPriority(v *Victim) bool {
	return v.Level < by.belowLevel && (!v.IsReplica || by.mayStopReplicas)
}

// jobMayPreempt reports whether a job may preempt running work.
func (c *cycle) jobMayPreempt(job *Job, v *Victim) bool {
	return c.preemptorOf(job).mayPreempt(v, c.input.WithinQuota)
}
