package main

import (
	"errors"
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

// answers reports whether a controller answers a question about a job within a user's patience.
func (d *deployment) answers(i int, uid string) bool {
	status, _ := d.request(i, http.MethodGet, "/work/"+uid, nil, 2*time.Second)
	return status != 0
}

// leadersSilent waits until two controllers have led and not answered a question twice in a row meanwhile, and returns one
// that answers. The first gives its term up after a while; the second then leads.
func leadersSilent(d *deployment, uid string, limit time.Duration) (answering int, err error) {
	silent := map[int]int{} // by controller: questions without an answer
	for deadline := time.Now().Add(limit); time.Now().Before(deadline); time.Sleep(200 * time.Millisecond) {
		leader := d.leader()
		if leader < 0 || silent[leader] > 1 {
			continue
		}
		if d.answers(leader, uid) {
			silent[leader] = 0
			continue
		}
		if silent[leader]++; silent[leader] < 2 {
			continue
		}
		d.record.logf("stile-%d leads and answers nothing", leader)
		for i := range controllers {
			if len(silent) > 1 && silent[i] == 0 && d.answers(i, uid) {
				return i, nil
			}
		}
	}
	return 0, errors.New("not two controllers have led and answered nothing")
}

// hugeArrays leaves three machines idle all the time. Users submit two arrays with the most tasks that the page allows and a
// small one, all for machines that the cloud does not have. Then a service is submitted that fits every idle machine.
func hugeArrays(d *deployment, trouble bool) (violation string, err error) {
	jobs := []wire.JobSpec{smallArray(2)}
	if trouble {
		jobs = append(jobs, hugeArray(3), hugeArray(5))
	}
	for _, job := range jobs {
		if err := d.submit(job); err != nil {
			return "", err
		}
	}
	at := 0
	if trouble {
		if at, err = leadersSilent(d, "run-000002", 20*time.Second); err != nil {
			d.record.logf("%v", err)
		}
	}
	if err := d.submitAt(at, brenta(4, 1)); err != nil {
		return "", err
	}
	violation, err = waitsBesideRoom(d, "run-000004", func() bool { return d.cluster.Checker.StartCount() == 0 })
	if violation != "" {
		for i := range controllers {
			violation += fmt.Sprintf("; stile-%d answers: %v", i, d.answers(i, "run-000002"))
		}
	}
	return violation, err
}
