package main

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"math/rand/v2"
	"net"
	"net/http"
	"slices"
	"sync"
	"time"

	"lotusstile.dev/lotusstile/internal/simcluster/jsonhttp"
	"lotusstile.dev/lotusstile/wire"
)

const (
	// answerTimeout is how long a worker waits for the answer to a report.
	answerTimeout = 4 * time.Second
	// retryDelay is how long a worker waits before it tries the next node.
	retryDelay = time.Second
	// minReportInterval is the least time between two reports.
	minReportInterval = 500 * time.Millisecond
	// taskInterval is how often a worker looks at its lease and its tasks.
	taskInterval = 50 * time.Millisecond
)

// attempt identifies an attempt of a task.
type attempt struct {
	leg string
	try uint64
}

// task is the state of an attempt on its machine.
type task struct {
	spec    *wire.JobSpec
	status  wire.TaskStatus
	cause   wire.Cause
	changes time.Time // when it changes by itself; zero: it does not
}

// machine is a stand-in of a machine with its worker.
type machine struct {
	world   *world
	host    string
	zone    string
	address string
	direct  net.Listener
	client  *http.Client
	stop    chan struct{}
	changed chan struct{}

	mu         sync.Mutex
	diedAt     time.Time
	returnedAt time.Time
	shift      uint64
	tick       uint64
	baton      uint64
	leaseFrom  time.Time // when the last answered report was sent
	node       int
	images     map[string]bool
	tasks      map[attempt]*task
}

// newMachine makes a machine that is up. run runs its worker.
func newMachine(ctx context.Context, w *world, host, zone string) (*machine, error) {
	listener, err := (&net.ListenConfig{}).Listen(ctx, "tcp", "127.0.0.1:0")
	if err != nil {
		return nil, fmt.Errorf("listen: %w", err)
	}
	m := &machine{
		world: w, host: host, zone: zone, address: listener.Addr().String(), direct: listener,
		client: &http.Client{Timeout: answerTimeout, Transport: &http.Transport{MaxIdleConnsPerHost: 1}},
		stop:   make(chan struct{}), changed: make(chan struct{}, 1),
		shift: 1, leaseFrom: time.Now(), node: rand.IntN(controllers), images: map[string]bool{}, tasks: map[attempt]*task{},
	}
	server := &http.Server{Handler: m, ReadHeaderTimeout: time.Minute}
	go func() {
		if err := server.Serve(listener); !errors.Is(err, net.ErrClosed) {
			slog.Debug("worker stopped serving", "err", err)
		}
	}()
	return m, nil
}

// end ends the machine with all that is on it and sets at, which is diedAt or returnedAt, to now. It returns false
// if at was set before.
func (m *machine) end(at *time.Time) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	if !at.IsZero() {
		return false
	}
	if m.diedAt.IsZero() && m.returnedAt.IsZero() {
		close(m.stop)
		closeQuietly(m.direct)
		m.client.CloseIdleConnections()
	}
	*at = time.Now()
	clear(m.tasks)
	return true
}

// die stops the machine with all that is on it.
func (m *machine) die() {
	m.world.rec.printf("%s stops with all that is on it", m.host)
	m.end(&m.diedAt)
}

func (m *machine) ends() (diedAt, returnedAt time.Time) {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.diedAt, m.returnedAt
}

func (m *machine) highestToken() uint64 {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.baton
}

// freeFor reports whether the machine is up, holds its lease and has room for a task of a job.
func (m *machine) freeFor(spec *wire.JobSpec) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	lease := time.Duration(m.world.deployment.leaseS * float64(time.Second))
	return m.diedAt.IsZero() && m.returnedAt.IsZero() && time.Since(m.leaseFrom) < lease && m.hasRoom(spec)
}

// legsOf lists the tasks of a job that are on the machine and have not ended.
func (m *machine) legsOf(uid string) (legs []string) {
	m.mu.Lock()
	defer m.mu.Unlock()
	for key, t := range m.tasks {
		if t.spec.UID == uid && t.status != wire.TaskEnded {
			legs = append(legs, key.leg)
		}
	}
	slices.Sort(legs)
	return legs
}

// runningOf returns how many tasks of a job run on the machine.
func (m *machine) runningOf(uid string) int {
	m.mu.Lock()
	defer m.mu.Unlock()
	count := 0
	for _, t := range m.tasks {
		if t.spec.UID == uid && t.status == wire.TaskRunning {
			count++
		}
	}
	return count
}

// gpusOf returns how many GPUs the running tasks of a team use on the machine.
func (m *machine) gpusOf(team string) (gpus float64) {
	m.mu.Lock()
	defer m.mu.Unlock()
	for _, t := range m.tasks {
		if t.spec.Team == team && t.status == wire.TaskRunning {
			gpus += t.spec.Gpus
		}
	}
	return gpus
}

// hasRoom reports whether a task of a job fits beside the tasks that have not ended. m.mu is held.
func (m *machine) hasRoom(spec *wire.JobSpec) bool {
	capacity := &m.world.deployment.machineType
	cores, gpus, ram := spec.Cores, spec.Gpus, spec.RAMGb
	for _, t := range m.tasks {
		if t.status != wire.TaskEnded {
			cores, gpus, ram = cores+t.spec.Cores, gpus+t.spec.Gpus, ram+t.spec.RAMGb
		}
	}
	return cores <= capacity.Cores && gpus <= capacity.Gpus && ram <= capacity.RAMGb
}

// run reports and runs tasks until the machine ends.
func (m *machine) run(ctx context.Context) {
	go func() {
		for m.pause(taskInterval) {
			m.advance()
		}
	}()
	for {
		sent := time.Now()
		if stays := m.report(ctx, sent); !stays {
			if !m.pause(retryDelay) {
				return
			}
			continue
		}
		interval := m.world.deployment.reportS * (0.75 + rand.Float64()/2)
		timer := time.NewTimer(time.Until(sent.Add(time.Duration(interval * float64(time.Second)))))
		select {
		case <-m.stop:
			timer.Stop()
			return
		case <-timer.C:
		case <-m.changed:
			timer.Stop()
			if !m.pause(time.Until(sent.Add(minReportInterval))) {
				return
			}
		}
	}
}

// pause waits for d; it returns false if the machine has ended.
func (m *machine) pause(d time.Duration) bool {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-m.stop:
		return false
	case <-timer.C:
		return true
	}
}

// notifyChange makes a report due.
func (m *machine) notifyChange() {
	select {
	case m.changed <- struct{}{}:
	default:
	}
}

// advance ends the session if its lease has run out, and lets tasks begin and end.
func (m *machine) advance() {
	m.mu.Lock()
	defer m.mu.Unlock()
	now := time.Now()
	if now.Sub(m.leaseFrom) > time.Duration(m.world.deployment.leaseS*float64(time.Second)) {
		m.world.rec.printf("%s: the lease of session %d has run out", m.host, m.shift)
		clear(m.tasks)
		m.shift++
		m.leaseFrom = now
		m.notifyChange()
	}
	for key, t := range m.tasks {
		if t.status == wire.TaskEnded || t.changes.IsZero() || now.Before(t.changes) {
			continue
		}
		if t.status == wire.TaskFetching {
			m.begin(key, t, now)
		} else {
			m.world.keepResult(key.leg)
			m.finish(key, t, wire.CauseDone)
		}
	}
}

// begin lets a task run that has its image. m.mu is held.
func (m *machine) begin(key attempt, t *task, now time.Time) {
	m.images[t.spec.Image] = true
	if m.world.hasResult(key.leg) {
		m.finish(key, t, wire.CauseDone)
		return
	}
	t.status, t.changes = wire.TaskRunning, time.Time{}
	if t.spec.Kind == wire.JobArray {
		t.changes = now.Add(time.Duration(t.spec.ExpectedRunS * float64(time.Second)))
	}
	m.world.rec.printf("%s: %s try %d runs", m.host, key.leg, key.try)
	m.notifyChange()
}

// finish ends a task. m.mu is held.
func (m *machine) finish(key attempt, t *task, cause wire.Cause) {
	t.status, t.cause = wire.TaskEnded, cause
	m.world.rec.printf("%s: %s try %d ended: %s", m.host, key.leg, key.try, cause)
	m.notifyChange()
}

// body returns the next report. m.mu is held.
func (m *machine) body() []byte {
	m.tick++
	report := wire.Heartbeat{
		Host: m.host, Address: m.address, MachineType: m.world.deployment.machineType.Name, Zone: m.zone,
		Incarnation: m.shift, Sequence: m.tick, FencingToken: m.baton, Tasks: []wire.TaskReport{},
	}
	for key, t := range m.tasks {
		report.Tasks = append(report.Tasks, wire.TaskReport{Task: key.leg, Attempt: key.try, Status: t.status, Cause: t.cause})
	}
	data, err := json.Marshal(report)
	if err != nil {
		panic(err) // the types of a report can always be encoded
	}
	return data
}

// report sends one report. It returns false if the worker has to try the next node, after a second.
func (m *machine) report(ctx context.Context, sent time.Time) (stays bool) {
	m.mu.Lock()
	data, shift, node := m.body(), m.shift, m.node
	m.mu.Unlock()
	status, answer := m.post(ctx, "http://"+m.world.addresses.listen[node]+"/checkin", data)
	m.mu.Lock()
	defer m.mu.Unlock()
	switch status {
	case http.StatusOK:
		var commands wire.Commands
		if json.Unmarshal(answer, &commands) == nil && commands.FencingToken >= max(m.baton, 1) && shift == m.shift {
			m.raise(commands.FencingToken)
			m.leaseFrom = sent
			m.execute(commands.Commands)
		}
		return true
	case http.StatusMisdirectedRequest:
		var redirect wire.Redirect
		if json.Unmarshal(answer, &redirect) == nil {
			for i := range controllers {
				if i != node && m.world.deployment.label(i) == redirect.Leader {
					m.client.CloseIdleConnections()
					m.node = i
					m.notifyChange()
					return true
				}
			}
		}
	}
	m.world.rec.printf("%s: %s answers a report with %d (0: not within 4 s)", m.host, m.world.deployment.label(node), status)
	m.node = (node + 1) % controllers
	return false
}

// post sends a report and returns the answer; status is 0 if there is none.
func (m *machine) post(ctx context.Context, url string, data []byte) (status int, answer []byte) {
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, url, bytes.NewReader(data))
	if err != nil {
		return 0, nil
	}
	req.Header.Set("Content-Type", "application/json")
	resp, err := m.client.Do(req)
	if err != nil {
		return 0, nil
	}
	answer, err = io.ReadAll(resp.Body)
	if errors.Join(err, resp.Body.Close()) != nil {
		return 0, nil
	}
	return resp.StatusCode, answer
}

// raise stores a token that is higher than the highest one seen. m.mu is held.
func (m *machine) raise(token uint64) {
	if token > m.baton {
		m.baton = token
		m.notifyChange()
	}
}

// execute executes commands in order. m.mu is held.
func (m *machine) execute(commands []wire.Command) {
	for _, command := range commands {
		key := attempt{command.Task, command.Attempt}
		t := m.tasks[key]
		switch {
		case command.Verb == wire.Launch && t == nil:
			m.launch(key)
		case command.Verb == wire.Stop && t != nil && t.status != wire.TaskEnded:
			m.finish(key, t, wire.CauseStopped) // no job of the cases saves
		case command.Verb == wire.Acknowledge && t != nil && t.status == wire.TaskEnded:
			delete(m.tasks, key)
		}
	}
}

// launch begins an attempt, or refuses it. m.mu is held.
func (m *machine) launch(key attempt) {
	m.world.rec.printf("%s: launch of %s try %d", m.host, key.leg, key.try)
	uid, number, ok := wire.SplitTaskName(key.leg)
	spec := m.world.job(uid)
	if !ok || spec == nil || number >= spec.TaskCount {
		m.tasks[key] = &task{spec: &wire.JobSpec{UID: uid}}
		m.finish(key, m.tasks[key], wire.CauseNoSuch)
		return
	}
	t := &task{spec: spec, status: wire.TaskFetching, changes: time.Now()}
	for other, otherTask := range m.tasks {
		if other.leg == key.leg && otherTask.status != wire.TaskEnded {
			m.tasks[key] = t
			m.finish(key, t, wire.CauseInUse)
			return
		}
	}
	hasRoom := m.hasRoom(spec)
	m.tasks[key] = t
	if !hasRoom {
		m.finish(key, t, wire.CauseNoRoom)
		return
	}
	if !m.images[spec.Image] {
		t.changes = t.changes.Add(time.Duration(spec.ImageGb / m.world.deployment.machineType.FetchGbPerS * float64(time.Second)))
	}
	m.notifyChange()
}

// ServeHTTP answers direct commands.
func (m *machine) ServeHTTP(rw http.ResponseWriter, r *http.Request) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if r.URL.Path == "/show" {
		jsonhttp.Reply(rw, http.StatusOK, json.RawMessage(m.body()))
		return
	}
	var direct wire.DirectCommands
	switch {
	case json.NewDecoder(r.Body).Decode(&direct) != nil || direct.FencingToken == 0 || direct.Incarnation == 0:
		jsonhttp.Reply(rw, http.StatusBadRequest, wire.ErrorResponse{Error: "malformed"})
	case direct.FencingToken < m.baton || direct.Incarnation != m.shift:
		jsonhttp.Reply(rw, http.StatusConflict, json.RawMessage(m.body()))
	default:
		m.raise(direct.FencingToken)
		m.execute(direct.Commands)
		jsonhttp.Reply(rw, http.StatusOK, json.RawMessage(m.body()))
	}
}

// keepResult keeps the result of a task that has completed.
func (w *world) keepResult(leg string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.done[leg] = true
}

// hasResult reports whether a task has completed before.
func (w *world) hasResult(leg string) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.done[leg]
}
