package controller

import "lotusstile.dev/lotusstile/internal/guarantee"

// withinQuotas finds the jobs that lie within the guarantees of their teams; nil if no team
// has a guarantee.
func (c *Controller) withinQuotas() guarantee.Set {
	quotas := map[string]guarantee.Amount{}
	for _, team := range c.Config.Cluster.Teams {
		if team.Cpus > 0 || team.Gpus > 0 {
			quotas[team.Name] = guarantee.Amount{Cores: team.Cpus, Gpus: team.Gpus}
		}
	}
	if len(quotas) == 0 {
		return nil
	}
	jobs := make([]guarantee.Job, 0, len(c.jobs))
	for _, j := range c.jobs {
		if j.rec.Status.Final() || !j.released {
			continue
		}
		unfinished := float64(j.rec.Spec.TaskCount - j.done)
		jobs = append(jobs, guarantee.Job{UID: j.uid, Team: j.rec.Spec.Team, Level: j.level, AtMs: j.rec.AtMs,
			Needs: guarantee.Amount{Cores: unfinished * j.need.Cores, Gpus: unfinished * j.need.Gpus}})
	}
	return guarantee.Within(quotas, jobs)
}
