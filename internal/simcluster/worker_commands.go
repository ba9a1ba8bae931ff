package simcluster

import (
	"encoding/json"
	"net/http"
	"time"

	"lotusstile.dev/lotusstile/internal/simcluster/jsonhttp"
	"lotusstile.dev/lotusstile/wire"
)

// Fetching an image takes at least minFetchS seconds and less than fetchSpreadS more.
const minFetchS, fetchSpreadS = 1, 4

// serve executes direct commands, and answers requests for the worker's state.
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
	if direct.FencingToken < w.fencingToken || direct.Incarnation != w.incarnation || w.terminated {
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

// launch begins an attempt. An attempt that the worker refuses ends at once. launch returns false if the
// worker has the attempt already. w.mu is held.
func (w *Worker) launch(key taskKey) bool {
	if w.tasks[key] != nil {
		return false
	}
	w.cluster.Checker.checkLaunch(key.name, key.attempt, w.Host)
	fetchTime := time.Duration(minFetchS+w.cluster.Net.RandIntN(fetchSpreadS)) * time.Second
	task := &workerTask{status: wire.TaskFetching, nextChangeAt: time.Now().Add(fetchTime)}
	for other, otherTask := range w.tasks {
		if other.name == key.name && otherTask.status != wire.TaskEnded {
			task.status, task.cause = wire.TaskEnded, wire.CauseInUse
		}
	}
	if task.status != wire.TaskEnded && !w.hasCapacityFor(key.name) {
		task.status, task.cause = wire.TaskEnded, wire.CauseNoRoom
	}
	w.tasks[key] = task
	return true
}

// stopTask stops an attempt: the attempt saves a checkpoint first if it can within the grace period, and
// ends at once if not. stopTask returns false if there is nothing to stop. w.mu is held.
func (w *Worker) stopTask(key taskKey, gracePeriodS float64) bool {
	task := w.tasks[key]
	if task == nil || task.status == wire.TaskEnded {
		return false
	}
	uid, _, _ := wire.SplitTaskName(key.name)
	spec := w.cluster.Checker.spec(uid)
	if task.status == wire.TaskRunning && spec.CheckpointIntervalS > 0 && gracePeriodS >= spec.CheckpointOnStopS {
		task.status = wire.TaskSaving
		task.nextChangeAt = time.Now().Add(time.Duration(spec.CheckpointOnStopS * float64(time.Second)))
	} else if task.status != wire.TaskSaving || gracePeriodS == 0 {
		w.endTask(key, task, wire.CauseStopped)
	}
	return true
}

// acknowledge removes an attempt that has ended: heartbeats no longer report it. w.mu is held.
func (w *Worker) acknowledge(key taskKey) {
	if task := w.tasks[key]; task != nil && task.status == wire.TaskEnded {
		w.cluster.Checker.checkAcknowledge(key.name, key.attempt, w.Host)
		delete(w.tasks, key)
	}
}

// hasCapacityFor reports whether the machine has free capacity for a task. Tasks that fetch their images
// use capacity too. w.mu is held.
func (w *Worker) hasCapacityFor(name string) bool {
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
