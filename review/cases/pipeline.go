package main

import (
	"context"
	"fmt"
	"slices"
	"time"

	"lotusstile.dev/lotusstile/wire"
)

const (
	// pipelineJobs is the number of jobs of the pipeline before its last one.
	pipelineJobs = 500
	// pipelineDueS is the deadline that the last job has for the whole pipeline.
	pipelineDueS = 9000
)

// runPipeline submits a pipeline of jobs that run one after another, and then a job that needs no other. With its
// disruption, each job of the pipeline names all jobs before it; without, each names the one before it.
func runPipeline(ctx context.Context, w *world) (broken []string, err error) {
	var before []string
	for i := range pipelineJobs {
		job := pipelineJob(i, before)
		if !w.submit(ctx, i%controllers, job) {
			return nil, fmt.Errorf("%w: %s was not accepted", errCouldNotRun, job.UID)
		}
		if !hasTrouble() {
			before = nil
		}
		before = append(slices.Clone(before), job.UID)
	}
	last, due := pipelineJob(pipelineJobs, before), float64(pipelineDueS)
	last.Priority, last.DeadlineS = wire.High, &due
	if !w.submit(ctx, 0, last) {
		return nil, fmt.Errorf("%w: the last job of the pipeline was not accepted", errCouldNotRun)
	}
	sleep(ctx, 300*time.Millisecond)
	array := &wire.JobSpec{
		UID: "run-000412", JobClass: "adige", Team: "sala-nomine", Kind: wire.JobArray, Priority: wire.Standard,
		TaskCount: 2, Cores: 11, Gpus: 2, RAMGb: 50, Image: "img-02", ImageGb: 1, ExpectedRunS: 5,
	}
	if !w.submit(ctx, 1, array) {
		return nil, fmt.Errorf("%w: the array was not accepted", errCouldNotRun)
	}
	check := waitingCheck{world: w, spec: array, underTeam: func() bool { return true }} // the team has no limit
	return check.run(ctx)
}

// pipelineJob returns a job of the pipeline.
func pipelineJob(number int, needs []string) *wire.JobSpec {
	const shortestS, spreadS, step = 5, 26, 7
	return &wire.JobSpec{
		UID: fmt.Sprintf("run-%06d", 600+number), JobClass: "sella", Team: "sala-nomine", Kind: wire.JobArray, Priority: wire.BestEffort,
		TaskCount: 1, Cores: 1, RAMGb: 4.8, Image: "img-03", ImageGb: 1,
		ExpectedRunS: shortestS + float64(number*step%spreadS), Dependencies: needs,
	}
}
