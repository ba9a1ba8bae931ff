package main

import (
	"context"
	"fmt"
	"time"

	"lotusstile.dev/lotusstile/wire"
)

const (
	// togetherServices fill all machines but togetherMachines.
	togetherMachines = 4
	// machinesThatStop is the number that the first deployment's day "rough" names (machine_die, count 3 of 15).
	machinesThatStop = 3
)

// runTogether runs an array bound to one zone on four machines, and stops three of them.
func runTogether(ctx context.Context, w *world) (broken []string, err error) {
	for i := range w.deployment.machines - togetherMachines {
		service := &wire.JobSpec{
			UID: fmt.Sprintf("run-%06d", 500+i), JobClass: "brenta", Team: "sala-nomine", Kind: wire.Service, Priority: wire.Critical,
			TaskCount: 1, Cores: 22, Gpus: 4, RAMGb: 100, Image: "img-01", ImageGb: 2,
		}
		if !w.submit(ctx, i%controllers, service) {
			return nil, fmt.Errorf("%w: a service was not accepted", errCouldNotRun)
		}
	}
	for i := range w.deployment.machines - togetherMachines {
		if err := w.awaitRunning(ctx, fmt.Sprintf("run-%06d", 500+i), 1, 15*time.Second); err != nil {
			return nil, err
		}
	}
	array := &wire.JobSpec{
		UID: "run-000412", JobClass: "adige", Team: "sala-nomine", Kind: wire.JobArray, Priority: wire.Standard,
		TaskCount: 2 * togetherMachines, Cores: 11, Gpus: 2, RAMGb: 50, Image: "img-02", ImageGb: 1, SingleZone: true, ExpectedRunS: 5,
	}
	if !w.submit(ctx, 0, array) {
		return nil, fmt.Errorf("%w: the array was not accepted", errCouldNotRun)
	}
	if err := w.awaitRunning(ctx, array.UID, array.TaskCount, 10*time.Second); err != nil {
		return nil, err
	}
	if hasTrouble() {
		_, on := w.running(array.UID)
		for _, m := range on[:machinesThatStop] {
			m.die()
		}
	}
	check := waitingCheck{world: w, spec: array, underTeam: func() bool { return true }} // the team has no limit
	return check.run(ctx)
}
