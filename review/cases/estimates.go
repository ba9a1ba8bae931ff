package main

import (
	"context"
	"fmt"
	"time"

	"lotusstile.dev/lotusstile/wire"
)

const (
	// stages is the number of stages of the pipeline. Each has two jobs, which need both jobs of the stage before.
	stages = 22
	// leastEstimateS and mostEstimateS bound the estimates of the jobs.
	leastEstimateS, mostEstimateS = 5, 50
)

// runEstimates submits a pipeline whose jobs have different estimates, and then a job that needs no other.
func runEstimates(ctx context.Context, w *world) (broken []string, err error) {
	w.keepMemoryLimit(ctx)
	var before []string
	for stage := range stages {
		var jobs []string
		for k := range 2 {
			job := stageJob(2*stage+k, before)
			if k == 1 && hasTrouble() {
				job.ExpectedRunS += (mostEstimateS - leastEstimateS) / float64(uint64(1)<<(stages-1-stage))
			}
			if !w.submit(ctx, 0, job) {
				return nil, fmt.Errorf("%w: %s was not accepted", errCouldNotRun, job.UID)
			}
			jobs = append(jobs, job.UID)
		}
		before = jobs
	}
	last, due := stageJob(2*stages, before), 3600.0
	last.DeadlineS = &due
	if !w.submit(ctx, 0, last) {
		return nil, fmt.Errorf("%w: the last job of the pipeline was not accepted", errCouldNotRun)
	}
	array := &wire.JobSpec{
		UID: "run-000412", JobClass: "adige", Team: "sala-nomine", Kind: wire.JobArray, Priority: wire.Standard,
		TaskCount: 2, Cores: 11, Gpus: 2, RAMGb: 50, Image: "img-02", ImageGb: 1, ExpectedRunS: 5,
	}
	sleep(ctx, time.Second)
	if !w.submit(ctx, 1, array) {
		return nil, fmt.Errorf("%w: the array was not accepted", errCouldNotRun)
	}
	check := waitingCheck{world: w, spec: array, underTeam: func() bool { return true }} // the team has no limit
	return check.run(ctx)
}

// stageJob returns a job of the pipeline.
func stageJob(number int, needs []string) *wire.JobSpec {
	return &wire.JobSpec{
		UID: fmt.Sprintf("run-%06d", 600+number), JobClass: "sella", Team: "sala-nomine", Kind: wire.JobArray, Priority: wire.BestEffort,
		TaskCount: 1, Cores: 1, RAMGb: 4.8, Image: "img-03", ImageGb: 1, ExpectedRunS: leastEstimateS, Dependencies: needs,
	}
}
