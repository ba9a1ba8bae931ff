package main

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"time"

	"lotusstile.dev/lotusstile/wire"
)

const (
	// jobsPath is where jobs are submitted and, with a job's id behind it, asked for.
	jobsPath = "/work"
	// submitTimeout and pollTimeout are how long users wait for an answer.
	submitTimeout, pollTimeout = 5 * time.Second, 2 * time.Second
	// retryFor is how long users repeat a submission in total, and maxRetryAfter the longest wait between two.
	retryFor, maxRetryAfter = time.Minute, 30 * time.Second
)

// answer is the answer to a user's request. status is 0 if there is none.
type answer struct {
	status     int
	retryAfter time.Duration
	view       wire.JobView
	body       string
}

// request sends one request of a user to a controller.
func (w *world) request(ctx context.Context, node int, method, path string, body []byte, timeout time.Duration) answer {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, method, "http://"+w.addresses.listen[node]+path, bytes.NewReader(body))
	if err != nil {
		return answer{}
	}
	req.Header.Set("Content-Type", "application/json")
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return answer{}
	}
	data, err := io.ReadAll(resp.Body)
	if errors.Join(err, resp.Body.Close()) != nil {
		return answer{}
	}
	a := answer{status: resp.StatusCode, body: string(bytes.TrimSpace(data))}
	if seconds, err := strconv.Atoi(resp.Header.Get("Retry-After")); err == nil {
		a.retryAfter = min(maxRetryAfter, time.Duration(seconds)*time.Second)
	}
	if a.status < http.StatusMultipleChoices && json.Unmarshal(data, &a.view) != nil {
		return answer{}
	}
	return a
}

// submitBody submits a body as users do: refusals for now are retried for up to a minute in total.
func (w *world) submitBody(ctx context.Context, node int, body []byte) answer {
	began := time.Now()
	for {
		a := w.request(ctx, node, http.MethodPost, jobsPath, body, submitTimeout)
		switch a.status {
		case http.StatusOK, http.StatusCreated, http.StatusBadRequest, http.StatusUnprocessableEntity:
			return a
		}
		if time.Since(began) > retryFor || !sleep(ctx, max(time.Second, a.retryAfter)) {
			return a
		}
		node = (node + 1) % controllers
	}
}

// submit uploads a job's description, submits the job and reports whether it was accepted.
func (w *world) submit(ctx context.Context, node int, spec *wire.JobSpec) bool {
	w.mu.Lock()
	w.jobs[spec.UID] = spec
	w.mu.Unlock()
	body, err := json.Marshal(spec)
	if err != nil {
		panic(err) // a job's description can always be encoded
	}
	a := w.submitBody(ctx, node, body)
	w.rec.printf("user: POST %s %s: %d %s", jobsPath, body, a.status, a.body)
	return a.status == http.StatusOK || a.status == http.StatusCreated
}

// poll asks a controller for a job.
func (w *world) poll(ctx context.Context, node int, uid string) answer {
	a := w.request(ctx, node, http.MethodGet, jobsPath+"/"+uid, nil, pollTimeout)
	w.rec.printf("user: GET %s/%s at %s: %d %s", jobsPath, uid, w.deployment.label(node), a.status, a.body)
	return a
}

// running returns how many tasks of a job run, and the machines that they run on.
func (w *world) running(uid string) (count int, on []*machine) {
	for _, m := range w.cloud.all() {
		if n := m.runningOf(uid); n > 0 {
			count += n
			on = append(on, m)
		}
	}
	return count, on
}

// awaitRunning waits until tasks of a job run.
func (w *world) awaitRunning(ctx context.Context, uid string, tasks int, limit time.Duration) error {
	if waitUntil(ctx, limit, func() bool { count, _ := w.running(uid); return count >= tasks }) {
		return nil
	}
	count, _ := w.running(uid)
	return fmt.Errorf("%w: %d of %d tasks of %s run after %s", errCouldNotRun, count, tasks, uid, limit)
}
