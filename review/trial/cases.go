package main

import (
	"errors"
	"fmt"
	"net/http"
	"time"

	"lotusstile.dev/lotusstile/wire"
)

// service returns a service of Ferrovalle's page.
func service(number int, class string, priority wire.Priority, tasks int, cores, gpus, ram float64) wire.JobSpec {
	return wire.JobSpec{
		UID: fmt.Sprintf("run-%06d", number), JobClass: class, Team: "sala-nomine", Kind: wire.Service, Priority: priority,
		TaskCount: tasks, Cores: cores, Gpus: gpus, RAMGb: ram, Image: "img-" + class, ImageGb: 8,
	}
}

func brenta(number, tasks int) wire.JobSpec {
	return service(number, "brenta", wire.Critical, tasks, 22, 4, 100)
}

func ticino(number int) wire.JobSpec {
	return service(number, "ticino", wire.High, 1, 5, 1, 25)
}

// leftWaitingLimit is how long a job may be left waiting while a machine that fits has room: 90 s by the page.
const leftWaitingLimit = 90 * time.Second

// waitsBesideRoom watches an accepted job until one of its tasks is on a machine or it has waited for longer than the page
// allows. All that time hasRoom must be true.
func waitsBesideRoom(d *deployment, uid string, hasRoom func() bool) (violation string, err error) {
	began := time.Now()
	for time.Since(began) < leftWaitingLimit+2*time.Second {
		if d.onMachines(uid) > 0 {
			d.record.logf("%s runs after %.1f s", uid, time.Since(began).Seconds())
			return "", nil
		}
		if !hasRoom() {
			return "", fmt.Errorf("the machine that had room for %s is taken", uid)
		}
		if err := d.ctx.Err(); err != nil {
			return "", fmt.Errorf("the run has taken too long: %w", err)
		}
		time.Sleep(200 * time.Millisecond)
	}
	_, view := d.request(0, http.MethodGet, "/work/"+uid, nil, 2*time.Second)
	return fmt.Sprintf("%s has been %s for %.0f s beside a machine that has room for it", uid, view.Status, time.Since(began).Seconds()), nil
}

// idleRoom fills two of three machines, submits a service of two replicas, each of which needs a whole machine, and then
// a small service of lower priority. One machine has nothing on it all the time.
func idleRoom(d *deployment, trouble bool) (violation string, err error) {
	for i := range 2 {
		if err := d.submit(brenta(i+1, 1)); err != nil {
			return "", err
		}
	}
	fill := func() bool { return d.onMachines("run-000001") == 1 && d.onMachines("run-000002") == 1 }
	if err := d.await("two of the three machines are full", 30*time.Second, fill); err != nil {
		return "", err
	}
	if trouble {
		if err := d.submit(brenta(3, 2)); err != nil {
			return "", err
		}
		time.Sleep(8 * time.Second)
	}
	if err := d.submit(ticino(4)); err != nil {
		return "", err
	}
	return waitsBesideRoom(d, "run-000004", func() bool { return fill() && d.onMachines("run-000003") == 0 })
}

// crowd is the number of arrays that the window of a cycle can't hold: a cycle considers 200 jobs.
const crowd = 250

// beyondWindow fills the GPUs of all machines, which leaves cores and memory, and submits a crowd of arrays that need GPUs and
// are of slightly different sizes. Then an array without GPUs is submitted, for which every machine has room.
func beyondWindow(d *deployment, trouble bool) (violation string, err error) {
	for i := range 3 {
		if err := d.submit(brenta(i+1, 1)); err != nil {
			return "", err
		}
	}
	fill := func() bool {
		return d.onMachines("run-000001") == 1 && d.onMachines("run-000002") == 1 && d.onMachines("run-000003") == 1
	}
	if err := d.await("all machines have no GPU left", 30*time.Second, fill); err != nil {
		return "", err
	}
	if trouble {
		for i := range crowd {
			spec := service(100+i, "adige", wire.Standard, 1, 9.5+float64(i)/100, 2, 50) // 11 CPUs, give or take some
			spec.Kind, spec.ExpectedRunS, spec.CheckpointIntervalS, spec.CheckpointOnStopS = wire.JobArray, 30, 20, 5
			if err := d.submit(spec); err != nil {
				return "", err
			}
		}
	}
	small := service(4, "sella", wire.BestEffort, 1, 1, 0, 4.8)
	small.Kind, small.ExpectedRunS = wire.JobArray, 15
	if err := d.submit(small); err != nil {
		return "", err
	}
	return waitsBesideRoom(d, small.UID, fill)
}

// borrowed lets one team borrow the half of the only machine that is guaranteed to another, with a service that takes all of
// it. Then the other team submits a job that fits into its guarantee.
func borrowed(d *deployment, trouble bool) (violation string, err error) {
	borrower := brenta(1, 1)
	borrower.Team = "ospiti"
	if trouble {
		if err := d.submit(borrower); err != nil {
			return "", err
		}
		if err := d.await("the borrower runs", 30*time.Second, func() bool { return d.onMachines(borrower.UID) == 1 }); err != nil {
			return "", err
		}
	}
	guaranteed := service(2, "adige", wire.Standard, 1, 11, 2, 50)
	guaranteed.Kind, guaranteed.ExpectedRunS = wire.JobArray, 30
	if err := d.submit(guaranteed); err != nil {
		return "", err
	}
	for began := time.Now(); time.Since(began) < leftWaitingLimit; time.Sleep(200 * time.Millisecond) {
		if d.onMachines(guaranteed.UID) > 0 {
			d.record.logf("%s runs after %.1f s", guaranteed.UID, time.Since(began).Seconds())
			return "", nil
		}
		if err := d.ctx.Err(); err != nil {
			return "", fmt.Errorf("the run has taken too long: %w", err)
		}
	}
	_, view := d.request(0, http.MethodGet, "/work/"+guaranteed.UID, nil, 2*time.Second)
	return fmt.Sprintf("%s, all that its team has and within its guarantee, is %s after %.0f s; the other team uses 4 GPUs, guaranteed are 2",
		guaranteed.UID, view.Status, leftWaitingLimit.Seconds()), nil
}

// lagLimit is how old the state in an answer may be: 3 s by the page.
const lagLimit = 3 * time.Second

// queuedWhileRunning asks the two other controllers about a service that runs all the time, while the leader is killed and
// comes back after 6 s.
func queuedWhileRunning(d *deployment, trouble bool) (violation string, err error) {
	const uid = "run-000001"
	if err := d.submit(ticino(1)); err != nil {
		return "", err
	}
	runs := func() bool { return d.onMachines(uid) == 1 }
	if err := d.await("the service runs", 30*time.Second, runs); err != nil {
		return "", err
	}
	runsSince := time.Now()
	time.Sleep(2 * lagLimit)
	leader := d.leader()
	if trouble {
		if err := d.kill(leader); err != nil {
			return "", err
		}
		time.AfterFunc(6*time.Second, func() { _ = d.start(leader) })
	}
	wrong := 0
	for began := time.Now(); time.Since(began) < 15*time.Second; time.Sleep(250 * time.Millisecond) {
		for i := range controllers {
			if i == leader {
				continue
			}
			status, view := d.request(i, http.MethodGet, "/work/"+uid, nil, 2*time.Second)
			if !runs() {
				return "", errors.New("the service does not run any more")
			}
			if status == http.StatusOK && view.Status != wire.JobRunning {
				wrong++
				violation = fmt.Sprintf("stile-%d calls the service %s, which has run for %.1f s without a break; %d such answers",
					i, view.Status, time.Since(runsSince).Seconds(), wrong)
			}
		}
	}
	return violation, nil
}
