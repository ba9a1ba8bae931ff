package main

import (
	"fmt"
	"net/http"
	"time"

	"lotusstile.dev/lotusstile/wire"
)

// hugeArray has the most tasks that a job may have, of rank high. Each takes most of an abete, of which the cloud has none.
func hugeArray(number int) wire.JobSpec {
	spec := service(number, "grande-rete", wire.High, 100_000, 40, 6, 200)
	spec.Kind, spec.ExpectedRunS, spec.MachineTypes = wire.JobArray, 30, []string{"abete"}
	return spec
}

// smallArray is an array of small tasks for the same machines.
func smallArray(number int) wire.JobSpec {
	spec := service(number, "stelvio", wire.High, 10, 1, 0, 4.8)
	spec.Kind, spec.ExpectedRunS, spec.MachineTypes = wire.JobArray, 8, []string{"abete"}
	return spec
}

// secondLeader waits until another controller leads than the given one, and for the time in which it comes to plan, and
// returns the third one.
func secondLeader(d *deployment, first int, limit time.Duration) (third int, err error) {
	changed := func() bool { return d.leader() >= 0 && d.leader() != first }
	if err := d.await("the leader is taken for stalled, another one is elected", limit, changed); err != nil {
		return 0, err
	}
	time.Sleep(5 * time.Second)
	return controllers - first - d.leader(), nil // their numbers are 0, 1 and 2
}

// hugeArrays leaves three machines idle all the time. Users submit two arrays with the most tasks that the page allows and a
// small one, all for machines that the cloud does not have. Then a service is submitted that fits every idle machine.
func hugeArrays(d *deployment, trouble bool) (violation string, err error) {
	jobs := []wire.JobSpec{smallArray(2)}
	if trouble {
		jobs = append(jobs, hugeArray(3), hugeArray(5))
	}
	first := d.leader()
	for _, job := range jobs {
		if err := d.submit(job); err != nil {
			return "", err
		}
	}
	at := first
	if trouble {
		if at, err = secondLeader(d, first, 15*time.Second); err != nil {
			d.record.logf("%v", err) // the first leader goes on
			at = (first + 1) % controllers
		}
	}
	if err := d.submitAt(at, brenta(4, 1)); err != nil {
		return "", err
	}
	violation, err = waitsBesideRoom(d, "run-000004", func() bool { return d.cluster.Checker.StartCount() == 0 })
	if violation != "" {
		for i := range controllers {
			ready, _ := d.request(i, http.MethodGet, "/ready", nil, 2*time.Second)
			asked, _ := d.request(i, http.MethodGet, "/work/run-000002", nil, 2*time.Second)
			violation += fmt.Sprintf("; stile-%d: /ready %d, a question %d", i, ready, asked)
		}
	}
	return violation, err
}
