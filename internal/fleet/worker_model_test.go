package fleet

import (
	"testing"
	"time"

	"pgregory.net/rapid"

	"lotusstile.dev/lotusstile/wire"
)

// The terms of the leader under test and of the deposed leader before it, and the attempt number of the
// inherited attempt.
const (
	modelTerm       = 5
	deposedTerm     = 4
	inheritedNumber = 3
)

// workerModel is a model of one machine whose worker follows the protocol, and of the network between it
// and the leader, which loses, delays and repeats messages.
type workerModel struct {
	fleet *Fleet
	now   time.Time

	incarnation, sequence uint64
	token                 uint64              // newest fencing token that the worker has seen
	attemptsOnMachine     map[attemptKey]bool // attempts that the worker has
	sentHeartbeats        []*wire.Heartbeat   // all heartbeats that the worker has sent

	answer            []wire.Command // commands in the answer in flight
	answerIncarnation uint64         // of the heartbeat that it answers
	answerToken       uint64         // fencing token in the answer; 0 if no answer is in flight

	attempts      []*Attempt
	inherited     *Attempt // attempt that an earlier term may have launched
	launchPending bool     // the deposed leader may still send the launch of the inherited attempt
	attemptCount  uint64
}

// newWorkerModel draws whether the inherited attempt is on its machine, and if not, whether the deposed
// leader may still send its launch.
func newWorkerModel(t *rapid.T) *workerModel {
	w := &workerModel{
		fleet:             New(modelTerm, lease, noObserver{}),
		now:               time.Now(),
		incarnation:       1,
		token:             deposedTerm,
		attemptsOnMachine: map[attemptKey]bool{},
		inherited:         &Attempt{JobUID: "run-000009", Number: inheritedNumber, Incarnation: 1, Inherited: true},
	}
	w.fleet.AddAttempt(w.fleet.GetOrAdd("m-1", w.now), w.inherited, w.now)
	w.attempts = append(w.attempts, w.inherited)
	if rapid.Bool().Draw(t, "inheritedIsOn") {
		w.attemptsOnMachine[w.inherited.key()] = true
	}
	w.launchPending = !w.attemptsOnMachine[w.inherited.key()] && rapid.Bool().Draw(t, "inheritedInFlight")
	return w
}

// sendHeartbeat lets the worker send a heartbeat. The worker drops the answer to its previous one.
func (w *workerModel) sendHeartbeat(t *rapid.T) {
	w.sequence++
	h := heartbeat(w.incarnation, w.sequence, w.token)
	for key := range w.attemptsOnMachine {
		h.Tasks = append(h.Tasks, running(key.task, key.attempt))
	}
	w.answer, w.answerToken = nil, 0
	if w.launchPending && rapid.Bool().Draw(t, "deposedAnswers") {
		// This heartbeat went to the deposed leader, whose answer carries the launch.
		if w.token < modelTerm {
			w.attemptsOnMachine[w.inherited.key()] = true
		}
		w.launchPending = false
		w.sentHeartbeats = append(w.sentHeartbeats, h)
		return
	}
	w.sentHeartbeats = append(w.sentHeartbeats, h)
	if rapid.Bool().Draw(t, "lost") {
		return
	}
	if m, fresh := w.fleet.ApplyHeartbeat(h, w.now); fresh {
		w.answer = w.fleet.Commands(m, w.now, true)
	}
	w.answerIncarnation, w.answerToken = w.incarnation, modelTerm
}

// deliverAnswer lets the answer in flight arrive at the worker.
func (w *workerModel) deliverAnswer() {
	if w.answerToken == 0 || w.answerIncarnation != w.incarnation {
		return
	}
	w.token = max(w.token, w.answerToken)
	for _, command := range w.answer {
		key := attemptKey{command.Task, command.Attempt}
		switch command.Verb {
		case wire.Launch:
			w.attemptsOnMachine[key] = true
		case wire.Stop, wire.Acknowledge:
			delete(w.attemptsOnMachine, key)
		}
	}
	w.answer, w.answerToken = nil, 0
}

// deliverCopy lets a copy of an earlier heartbeat arrive at the leader.
func (w *workerModel) deliverCopy(t *rapid.T) {
	if len(w.sentHeartbeats) > 0 {
		w.fleet.ApplyHeartbeat(w.sentHeartbeats[rapid.IntRange(0, len(w.sentHeartbeats)-1).Draw(t, "copy")], w.now)
	}
}

// endLease lets the worker's lease end: the worker kills all its tasks and begins a new incarnation.
func (w *workerModel) endLease() {
	w.incarnation++
	clear(w.attemptsOnMachine)
	w.launchPending = false
}

// addAttempt adds an attempt of a new task, and draws whether its record is committed.
func (w *workerModel) addAttempt(t *rapid.T) {
	m := w.fleet.Get("m-1")
	if m.State != Ready {
		return
	}
	w.attemptCount++
	a := &Attempt{JobUID: "run-000001", TaskIndex: int(w.attemptCount), Number: w.attemptCount}
	w.fleet.AddAttempt(m, a, w.now)
	if rapid.Bool().Draw(t, "recorded") {
		w.fleet.MarkCommitted(a, w.now)
	}
	w.attempts = append(w.attempts, a)
}

func (w *workerModel) stopAttempt(t *rapid.T) {
	a := w.attempts[rapid.IntRange(0, len(w.attempts)-1).Draw(t, "which")]
	w.fleet.StopAttempt(a, 0, w.now, "test")
}

// checkOff fails the test if an attempt is Off although the worker has it or its launch is in flight.
func (w *workerModel) checkOff(t *rapid.T) {
	t.Helper()
	for _, a := range w.attempts {
		if a.State != Off {
			continue
		}
		if w.attemptsOnMachine[a.key()] {
			t.Fatalf("%s is off, but the worker has it", a.TaskName())
		}
		for _, command := range w.answer {
			launched := command.Verb == wire.Launch && command.Task == a.TaskName() && command.Attempt == a.Number
			if launched && w.answerToken != 0 {
				t.Fatalf("%s is off, but its launch is in flight", a.TaskName())
			}
		}
	}
}

// An attempt whose state is Off is not on its machine and never gets there, whichever heartbeats and
// answers are lost, delayed or repeated. The machine is a model whose worker follows the protocol.
func TestOffIsProof(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := newWorkerModel(t)
		for range rapid.IntRange(5, 60).Draw(t, "steps") {
			switch rapid.IntRange(0, 6).Draw(t, "step") {
			case 0, 1:
				w.sendHeartbeat(t)
			case 2:
				w.deliverAnswer()
			case 3:
				w.deliverCopy(t)
			case 4:
				w.endLease()
			case 5:
				w.addAttempt(t)
			case 6:
				w.stopAttempt(t)
			}
			w.checkOff(t)
		}
	})
}
