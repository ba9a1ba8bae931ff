package simcluster

import (
	"bytes"
	"encoding/json"
	"io"
	"net/http"
	"slices"
	"time"

	"lotusstile.dev/lotusstile/wire"
)

const (
	// changeDelay is how long after a change a worker sends its heartbeat.
	changeDelay = 200 * time.Millisecond
	// heartbeatTimeout is how long a worker waits for the response to a heartbeat.
	heartbeatTimeout = 4 * time.Second
	// A heartbeat whose sequence number is a multiple of copyEvery is sent a second time, at least
	// minCopyDelayS seconds and less than copyDelaySpreadS more after the first.
	copyEvery                       = 7
	minCopyDelayS, copyDelaySpreadS = 2, 25
)

// waitForHeartbeat waits until a heartbeat is due. It returns false if the machine is terminated.
func (w *Worker) waitForHeartbeat() bool {
	interval := w.cluster.Config.HeartbeatInterval()
	delay := interval*3/4 + time.Duration(w.cluster.Net.RandIntN(int(interval/2)))
	select {
	case <-w.stop:
		return false
	case <-time.After(delay):
		return true
	case <-w.heartbeatDue:
		return w.sleep(changeDelay)
	}
}

// nextHeartbeat encodes a heartbeat with the worker's current state and the next sequence number. w.mu is
// held.
func (w *Worker) nextHeartbeat() []byte {
	w.sequence++
	heartbeat := wire.Heartbeat{
		Host:         w.Host,
		Address:      w.Address,
		MachineType:  w.MachineType,
		Zone:         w.Zone,
		Spot:         w.Spot,
		Incarnation:  w.incarnation,
		Sequence:     w.sequence,
		FencingToken: w.fencingToken,
		Tasks:        []wire.TaskReport{},
	}
	for key, task := range w.tasks {
		heartbeat.Tasks = append(heartbeat.Tasks, wire.TaskReport{
			Task:         key.name,
			Attempt:      key.attempt,
			Status:       task.status,
			Cause:        task.cause,
			Checkpointed: task.checkpointed,
		})
	}
	data, err := json.Marshal(heartbeat)
	if err != nil {
		panic(err)
	}
	return data
}

// sendHeartbeat sends one heartbeat. It returns false if the worker must try the next node.
func (w *Worker) sendHeartbeat() bool {
	w.mu.Lock()
	sent := time.Now()
	w.expireLease(sent)
	incarnation := w.incarnation
	data := w.nextHeartbeat()
	running := w.runningTasks()
	node := w.cluster.Nodes[w.nodeIndex]
	if w.sequence%copyEvery == 0 {
		go w.sendLateCopy(data)
	}
	w.mu.Unlock()
	w.cluster.copies.add(data)
	status, body := w.cluster.postHeartbeat(w.Host, node, data)
	w.mu.Lock()
	defer w.mu.Unlock()
	switch status {
	case http.StatusOK:
		for _, task := range running {
			w.cluster.Checker.TaskReported(task, w.Host)
		}
		w.acceptResponse(body, incarnation, sent)
		return true
	case http.StatusMisdirectedRequest:
		if w.followRedirect(body) {
			return true
		}
	}
	w.nodeIndex = (w.nodeIndex + 1) % len(w.cluster.Nodes)
	return false
}

// runningTasks returns the names of the tasks that a heartbeat lists as running now. w.mu is held.
func (w *Worker) runningTasks() (names []string) {
	for key, task := range w.tasks {
		if task.status == wire.TaskRunning {
			names = append(names, key.name)
		}
	}
	return names
}

// sendLateCopy sends a copy of a heartbeat much later, to any node.
func (w *Worker) sendLateCopy(data []byte) {
	if w.sleep(time.Duration(minCopyDelayS+w.cluster.Net.RandIntN(copyDelaySpreadS)) * time.Second) {
		node := w.cluster.Nodes[w.cluster.Net.RandIntN(len(w.cluster.Nodes))]
		w.cluster.postHeartbeat(w.Host, node, data)
	}
}

// acceptResponse renews the lease and executes the commands. It ignores a response with a lower fencing
// token, and one to a heartbeat of an earlier incarnation. w.mu is held.
func (w *Worker) acceptResponse(body []byte, incarnation uint64, sent time.Time) {
	var response wire.Commands
	if json.Unmarshal(body, &response) != nil || response.FencingToken < w.fencingToken || w.incarnation != incarnation {
		return
	}
	w.raiseToken(response.FencingToken)
	w.leaseStart = sent
	w.execute(response.Commands)
}

// raiseToken records a fencing token if it is the highest that the worker has seen. w.mu is held.
func (w *Worker) raiseToken(token uint64) {
	if token > w.fencingToken {
		w.fencingToken = token
		w.notifyChange()
	}
}

// followRedirect sends further heartbeats to the node that the body of a 421 response names. It returns
// false if the body names no node, the same one or an unknown one. w.mu is held.
func (w *Worker) followRedirect(body []byte) bool {
	var redirect wire.Redirect
	if json.Unmarshal(body, &redirect) != nil {
		return false
	}
	leader := slices.Index(w.cluster.Nodes, redirect.Leader)
	if leader < 0 || leader == w.nodeIndex {
		return false
	}
	w.nodeIndex = leader
	w.notifyChange()
	return true
}

// postHeartbeat sends a heartbeat to a node. It returns status 0 if no response comes in time.
func (c *Cluster) postHeartbeat(from, node string, data []byte) (status int, body []byte) {
	req, err := http.NewRequestWithContext(c.ctx, http.MethodPost, "http://"+node+"/checkin", bytes.NewReader(data))
	if err != nil {
		panic(err)
	}
	req.Header.Set("Content-Type", "application/json")
	client := http.Client{Transport: c.Net.Transport(from), Timeout: heartbeatTimeout}
	resp, err := client.Do(req)
	if err != nil {
		return 0, nil
	}
	defer closeBody(resp)
	body, err = io.ReadAll(resp.Body)
	if err != nil {
		return 0, nil
	}
	return resp.StatusCode, body
}
