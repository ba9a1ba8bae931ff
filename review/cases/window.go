package main

import (
	"context"
	"fmt"
	"sync"
	"sync/atomic"
	"time"

	"lotusstile.dev/lotusstile/wire"
)

const (
	// guestJobs is the number of one-task services "at the start" on the page of the large deployment, and
	// fewGuestJobs the one of the small deployment.
	guestJobs, fewGuestJobs = 264, 45
	guestTeam               = "ospiti"
)

// runWindow lets a guest team that is at its limit have many waiting services, and submits an array of another team.
func runWindow(ctx context.Context, w *world) (broken []string, err error) {
	count := guestJobs
	if !hasTrouble() {
		count = fewGuestJobs
	}
	if err := w.submitGuests(ctx, count); err != nil {
		return nil, err
	}
	limit := int(w.deployment.teams[1].gpusMax)
	atLimit := func() bool { return w.gpusOf(guestTeam) == float64(limit) }
	if !waitUntil(ctx, 10*time.Second, atLimit) {
		return nil, fmt.Errorf("%w: the guest team did not reach its limit", errCouldNotRun)
	}
	w.rec.printf("%s uses %d GPUs, its limit; %d of its services wait", guestTeam, limit, count-limit)
	array := &wire.JobSpec{
		UID: "run-000412", JobClass: "adige", Team: "sala-nomine", Kind: wire.JobArray, Priority: wire.Standard,
		TaskCount: 2, Cores: 11, Gpus: 2, RAMGb: 50, Image: "img-02", ImageGb: 1, ExpectedRunS: 5,
	}
	if !w.submit(ctx, 0, array) {
		return nil, fmt.Errorf("%w: the array was not accepted", errCouldNotRun)
	}
	check := waitingCheck{world: w, spec: array, underTeam: func() bool { return true }} // its team has no limit
	return check.run(ctx)
}

// submitGuests submits services of the guest team, at all controllers at a time.
func (w *world) submitGuests(ctx context.Context, count int) error {
	var users sync.WaitGroup
	var accepted atomic.Int64
	for node := range controllers {
		users.Go(func() {
			for i := node; i < count; i += controllers {
				service := &wire.JobSpec{
					UID: fmt.Sprintf("run-%06d", 1000+i), JobClass: "sciame", Team: guestTeam, Kind: wire.Service, Priority: wire.High,
					TaskCount: 1, Cores: 5, Gpus: 1, RAMGb: 25, Image: "img-01", ImageGb: 2,
				}
				if w.submit(ctx, node, service) {
					accepted.Add(1)
				}
			}
		})
	}
	users.Wait()
	if accepted.Load() != int64(count) {
		return fmt.Errorf("%w: %d of %d services were accepted", errCouldNotRun, accepted.Load(), count)
	}
	return nil
}

// gpusOf returns how many GPUs the tasks of a team use.
func (w *world) gpusOf(team string) (gpus float64) {
	for _, m := range w.cloud.all() {
		gpus += m.gpusOf(team)
	}
	return gpus
}
