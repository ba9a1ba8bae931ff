package sched

// preemptionRule decides which victims a job may preempt.
type preemptionRule struct {
	belowLevel      int    // victims below this priority level may be preempted for their priority
	mayStopReplicas bool   // replicas of services may be preempted for their priority
	team            string // the job's team; "" if no team has a quota
	reclaimsQuota   bool   // the job is within its team's quota, so it may reclaim capacity from other teams
}

// preemptionRuleOf returns the rule that applies to a job.
func (c *cycle) preemptionRuleOf(job *Job) preemptionRule {
	rule := preemptionRule{belowLevel: c.preemptionLevel(job), mayStopReplicas: job.CannotAwaitBoot}
	if c.input.WithinQuota != nil {
		rule.team, rule.reclaimsQuota = job.Spec.Team, job.WithinQuota
	}
	return rule
}

// preemptionLevel returns the priority level below which a job may preempt victims for their priority.
func (c *cycle) preemptionLevel(job *Job) int {
	if limit := c.input.PreemptOnlyBelow; limit > 0 {
		return min(job.Level, limit)
	}
	return job.Level
}

// mayPreempt reports whether the rule allows a victim to be preempted. A victim that another team runs within
// its quota is never preempted, whatever its priority: its team would reclaim the capacity in the next cycle.
// A job within its quota may reclaim what another team runs beyond its quota, whatever its priority and
// without waiting for a machine to boot first. withinQuota is Input.WithinQuota.
func (rule preemptionRule) mayPreempt(v *Victim, withinQuota map[string]bool) bool {
	if rule.team != "" && v.Team != rule.team && withinQuota[v.JobUID] {
		return false
	}
	return rule.mayPreemptByPriority(v) || rule.reclaimsQuota && v.Team != rule.team
}

// mayPreemptByPriority reports whether the rule allows a victim to be preempted for its priority. Replicas are
// preempted only for a job that cannot wait for a machine to boot.
func (rule preemptionRule) mayPreemptByPriority(v *Victim) bool {
	return v.Level < rule.belowLevel && (!v.IsReplica || rule.mayStopReplicas)
}

// jobMayPreempt reports whether a job may preempt a victim.
func (c *cycle) jobMayPreempt(job *Job, v *Victim) bool {
	return c.preemptionRuleOf(job).mayPreempt(v, c.input.WithinQuota)
}
