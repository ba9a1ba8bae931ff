package controller

import "lotusstile.dev/lotusstile/internal/quota"

// withinQuotas returns the jobs that are within the quotas of their teams, or nil if no team has a
// quota. c.mu is held.
func (c *Controller) withinQuotas() quota.JobSet {
	quotas := map[string]quota.Amount{}
	for _, team := range c.Config.Cluster.Teams {
		if team.Cpus > 0 || team.Gpus > 0 {
			quotas[team.Name] = quota.Amount{Cores: team.Cpus, Gpus: team.Gpus}
		}
	}
	if len(quotas) == 0 {
		return nil
	}
	jobs := make([]quota.Job, 0, len(c.jobs.byUID))
	for _, j := range c.jobs.byUID {
		if j.record.Status.Final() || !j.ready {
			continue
		}
		unfinished := float64(j.record.Spec.TaskCount - j.doneTasks)
		jobs = append(jobs, quota.Job{
			UID:        j.uid,
			Team:       j.record.Spec.Team,
			Level:      j.level,
			AcceptedMs: j.record.AcceptedAtMs,
			Needs:      quota.Amount{Cores: unfinished * j.taskResources.Cores, Gpus: unfinished * j.taskResources.Gpus},
		})
	}
	return quota.JobsWithinQuota(quotas, jobs)
}
