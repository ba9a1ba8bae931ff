package simcluster

import (
	"encoding/json"
	"net/http"
	"time"

	"lotusstile.dev/lotusstile/internal/simcluster/jsonhttp"
	"lotusstile.dev/lotusstile/wire"
)

// Fetching an image takes minFetchS seconds and up to fetchSpreadS more.
const minFetchS, fetchSpreadS = 1, 4

// serve answers direct commands.
func (w *Worker) serve(rw http.ResponseWriter, r *http.Request) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if r.URL.Path == "/show" {
		jsonhttp.Reply(rw, http.StatusOK, json.RawMessage(w.nextHeartbeat()))
		return
	}
	var direct wire.DirectCommands
	if json.NewDecoder(r.Body).Decode(&direct) != nil || direct.FencingToken == 0 || direct.Incarnation == 0 {
		replyMalformed(rw)
		return
	}
	if direct.FencingToken < w.token || direct.Incarnation != w.incarnation || w.dead {
		jsonhttp.Reply(rw, http.StatusConflict, json.RawMessage(w.nextHeartbeat()))
		return
	}
	w.raiseToken(direct.FencingToken)
	w.execute(direct.Commands)
	jsonhttp.Reply(rw, http.StatusOK, json.RawMessage(w.nextHeartbeat()))
}

// execute executes commands in order. w.mu is held.
func (w *Worker) execute(commands []wire.Command) {
	for _, command := range commands {
		key := taskKey{command.Task, command.Attempt}
		hasEffect := true
		switch command.Verb {
		case wire.Launch:
			hasEffect = w.launch(key)
		case wire.Stop:
			hasEffect = w.stopTask(key, command.GracePeriodS)
		case wire.Acknowledge:
			w.acknowledge(key)
		}
		if hasEffect {
			w.notifyChange()
		}
	}
}

// launch begins an attempt, or refuses it: it then has ended at once. It returns false if the
// worker has the attempt already. w.mu is held.
func (w *Worker) launch(key taskKey) bool {
	if w.tasks[key] != nil {
		return false
	}
	w.cluster.Checker.checkLaunch(key.name, key.attempt, w.Host)
	fetch := time.Duration(minFetchS+w.cluster.Net.RandIntN(fetchSpreadS)) * time.Second
	task := &workerTask{status: wire.TaskFetching, due: time.Now().Add(fetch)}
	for other, otherTask := range w.tasks {
		if other.name == key.name && otherTask.status != wire.TaskEnded {
			task.status, task.cause = wire.TaskEnded, wire.CauseInUse
		}
	}
	if task.status != wire.TaskEnded && !w.hasRoomFor(key.name) {
		task.status, task.cause = wire.TaskEnded, wire.CauseNoRoom
	}
	w.tasks[key] = task
	return true
}

// stopTask stops an attempt: it saves if it can within the grace period, and ends at once if not.
// It returns false if there is nothing to stop. w.mu is held.
func (w *Worker) stopTask(key taskKey, gracePeriodS float64) bool {
	task := w.tasks[key]
	if task == nil || task.status == wire.TaskEnded {
		return false
	}
	uid, _, _ := wire.SplitTaskName(key.name)
	spec := w.cluster.Checker.spec(uid)
	if task.status == wire.TaskRunning && spec.CheckpointIntervalS > 0 && gracePeriodS >= spec.CheckpointOnStopS {
		task.status = wire.TaskSaving
		task.due = time.Now().Add(time.Duration(spec.CheckpointOnStopS * float64(time.Second)))
	} else if task.status != wire.TaskSaving || gracePeriodS == 0 {
		w.endTask(key, task, wire.CauseStopped)
	}
	return true
}

// acknowledge removes an attempt that has ended from the heartbeats. w.mu is held.
func (w *Worker) acknowledge(key taskKey) {
	if task := w.tasks[key]; task != nil && task.status == wire.TaskEnded {
		w.cluster.Checker.checkAcknowledge(key.name, key.attempt, w.Host)
		delete(w.tasks, key)
	}
}

// hasRoomFor reports whether the machine has room for a task beside those that it has, fetching
// ones included. w.mu is held.
func (w *Worker) hasRoomFor(name string) bool {
	uid, _, _ := wire.SplitTaskName(name)
	spec := w.cluster.Checker.spec(uid)
	cores, gpus := spec.Cores, spec.Gpus
	for key, task := range w.tasks {
		if task.status != wire.TaskEnded {
			otherUID, _, _ := wire.SplitTaskName(key.name)
			other := w.cluster.Checker.spec(otherUID)
			cores, gpus = cores+other.Cores, gpus+other.Gpus
		}
	}
	machineType, ok := w.cluster.Cloud.machineTypeOf(w.MachineType)
	return ok && cores <= machineType.Cores && gpus <= machineType.Gpus
}
