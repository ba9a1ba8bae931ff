package main

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"

	"lotusstile.dev/lotusstile/wire"
)

// runFields submits a job with one more field, whose name the protocol does not have, and asks for the job.
func runFields(ctx context.Context, w *world) (broken []string, err error) {
	array := &wire.JobSpec{
		UID: "run-000412", JobClass: "adige", Team: "sala-nomine", Kind: wire.JobArray, Priority: wire.Standard,
		TaskCount: 2, Cores: 11, Gpus: 2, RAMGb: 50, Image: "img-02", ImageGb: 1, ExpectedRunS: 5,
	}
	w.jobs[array.UID] = array
	body, err := json.Marshal(array)
	if err != nil {
		return nil, fmt.Errorf("%w: %w", errCouldNotRun, err)
	}
	const other = "run-000777" // a job that nobody submits
	if hasTrouble() {
		body = append(body[:len(body)-1], []byte(`,"uid":"`+other+`"}`)...)
	}
	a := w.submitBody(ctx, 0, body)
	w.rec.printf("user: POST %s %s: %d %s", jobsPath, body, a.status, a.body)
	if a.status != http.StatusCreated && a.status != http.StatusOK {
		return []string{fmt.Sprintf("a valid submission was answered %d", a.status)}, nil
	}
	for node := range controllers {
		if p := w.poll(ctx, node, array.UID); p.status == http.StatusNotFound {
			broken = append(broken, fmt.Sprintf("forgotten: %s was answered %d, %s says 404", array.UID, a.status, w.deployment.label(node)))
		}
		if p := w.poll(ctx, node, other); p.status == http.StatusOK {
			broken = append(broken, fmt.Sprintf("invented: nobody submitted %s, %s says 200", other, w.deployment.label(node)))
		}
	}
	return broken, nil
}
