package main

import (
	"context"
	"fmt"
	"math/rand/v2"
	"time"

	"lotusstile.dev/lotusstile/internal/simcluster"
	"lotusstile.dev/lotusstile/internal/timeralign"
	"lotusstile.dev/lotusstile/wire"
)

// load submits random jobs. The order of its random draws must not change between versions: otherwise the
// same seed would yield other jobs.
type load struct {
	flags    *cli
	cluster  *simcluster.Cluster
	rng      *rand.Rand
	deadline time.Time
	nextJob  int
}

// submitJobs submits jobs for the duration that --for sets, or until ctx ends.
func (c *cli) submitJobs(ctx context.Context, cluster *simcluster.Cluster) {
	l := &load{
		flags:    c,
		cluster:  cluster,
		rng:      rand.New(rand.NewPCG(c.Seed, 1)),
		deadline: time.Now().Add(c.For),
		nextJob:  1,
	}
	for range c.Services {
		l.submitService()
	}
	for range c.Arrays {
		l.submitArray()
	}
	for time.Now().Before(l.deadline) {
		if !timeralign.Sleep(ctx, time.Duration(l.rng.ExpFloat64()*60/c.PerMinute*float64(time.Second))) {
			return
		}
		if l.rng.IntN(4) == 0 {
			l.submitArray()
		} else {
			l.submitService()
		}
	}
}

// submitService starts a user that submits a service and cancels it after a random time.
func (l *load) submitService() {
	spec, cancelAfter := l.nextService()
	go l.cluster.Users.Run(spec, cancelAfter, l.deadline)
}

// submitArray starts a user that submits an array and waits for its end.
func (l *load) submitArray() {
	spec, _ := l.nextService()
	spec.JobClass, spec.Kind, spec.Priority, spec.AllowSpot = "batch", wire.JobArray, wire.BestEffort, true
	spec.TaskCount, spec.ExpectedRunS = 1+l.rng.IntN(l.flags.Tasks), 70
	go l.cluster.Users.Run(spec, 0, l.deadline)
}

// nextService returns the next job as a random service, and the time after which its user cancels it.
func (l *load) nextService() (spec wire.JobSpec, cancelAfter time.Duration) {
	spec = wire.JobSpec{
		UID:       fmt.Sprintf("run-%06d", l.nextJob),
		JobClass:  "serve",
		Team:      teamName(l.rng.IntN(l.flags.Teams)),
		Kind:      wire.Service,
		Priority:  wire.High,
		TaskCount: 1 << l.rng.IntN(4),
		Cores:     8,
		Gpus:      1,
		RAMGb:     40,
		Image:     fmt.Sprintf("img-%d", l.rng.IntN(8)),
		ImageGb:   8,
	}
	l.nextJob++
	return spec, time.Duration(l.rng.ExpFloat64() * float64(l.flags.Stay))
}
