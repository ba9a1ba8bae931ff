package fleet

import (
	"testing"
	"time"

	"pgregory.net/rapid"

	"lotusstile.dev/lotusstile/wire"
)

// Terms of the model: the leader under test and the deposed one before it.
const (
	modelTerm       = 5
	deposedTerm     = 4
	inheritedNumber = 3
)

// workerModel is a model of one machine whose worker keeps to the protocol, and of the network
// between it and the leader, which loses, delays and repeats.
type workerModel struct {
	fleet *Fleet
	now   time.Time

	incarnation, sequence uint64
	token                 uint64              // the newest that the worker has seen
	on                    map[attemptKey]bool // what the worker has
	copies                []*wire.Heartbeat   // of all that it has sent

	answer            []wire.Command // to the heartbeat in flight
	answerIncarnation uint64         // of that heartbeat
	answerToken       uint64         // 0: no answer is in flight

	attempts     []*Attempt
	inherited    *Attempt // may have been launched by an earlier term
	lateLaunch   bool     // the deposed leader still has to send its launch
	attemptCount uint64
}

// newWorkerModel draws whether the inherited attempt is on its machine, and if not, whether the
// deposed leader still sends its launch.
func newWorkerModel(t *rapid.T) *workerModel {
	w := &workerModel{
		fleet:       New(modelTerm, lease, noObserver{}),
		now:         time.Now(),
		incarnation: 1,
		token:       deposedTerm,
		on:          map[attemptKey]bool{},
		inherited:   &Attempt{JobUID: "run-000009", Number: inheritedNumber, Incarnation: 1, Inherited: true},
	}
	w.fleet.AddAttempt(w.fleet.GetOrAdd("m-1", w.now), w.inherited, w.now)
	w.attempts = append(w.attempts, w.inherited)
	if rapid.Bool().Draw(t, "inheritedIsOn") {
		w.on[w.inherited.key()] = true
	}
	w.lateLaunch = !w.on[w.inherited.key()] && rapid.Bool().Draw(t, "inheritedInFlight")
	return w
}

// sendHeartbeat lets the worker send a heartbeat. It drops the answer to the one before.
func (w *workerModel) sendHeartbeat(t *rapid.T) {
	w.sequence++
	h := heartbeat(w.incarnation, w.sequence, w.token)
	for key := range w.on {
		h.Tasks = append(h.Tasks, running(key.task, key.attempt))
	}
	w.answer, w.answerToken = nil, 0
	if w.lateLaunch && rapid.Bool().Draw(t, "deposedAnswers") {
		// This heartbeat went to the deposed leader.
		if w.token < modelTerm {
			w.on[w.inherited.key()] = true
		}
		w.lateLaunch = false
		w.copies = append(w.copies, h)
		return
	}
	w.copies = append(w.copies, h)
	if rapid.Bool().Draw(t, "lost") {
		return
	}
	if m, fresh := w.fleet.ApplyHeartbeat(h, w.now); fresh {
		w.answer = w.fleet.Commands(m, w.now, true)
	}
	w.answerIncarnation, w.answerToken = w.incarnation, modelTerm
}

// deliverAnswer lets the answer in flight arrive.
func (w *workerModel) deliverAnswer() {
	if w.answerToken == 0 || w.answerIncarnation != w.incarnation {
		return
	}
	w.token = max(w.token, w.answerToken)
	for _, command := range w.answer {
		key := attemptKey{command.Task, command.Attempt}
		switch command.Verb {
		case wire.Launch:
			w.on[key] = true
		case wire.Stop, wire.Acknowledge:
			delete(w.on, key)
		}
	}
	w.answer, w.answerToken = nil, 0
}

// deliverCopy lets a copy of some heartbeat arrive late.
func (w *workerModel) deliverCopy(t *rapid.T) {
	if len(w.copies) > 0 {
		w.fleet.ApplyHeartbeat(w.copies[rapid.IntRange(0, len(w.copies)-1).Draw(t, "copy")], w.now)
	}
}

// endLease lets the worker's lease end: it kills everything and begins a new incarnation.
func (w *workerModel) endLease() {
	w.incarnation++
	clear(w.on)
	w.lateLaunch = false
}

// addAttempt places a task, and commits its record or not.
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

// checkOff fails the test if an attempt is said to be off and the worker has it or may get it.
func (w *workerModel) checkOff(t *rapid.T) {
	t.Helper()
	for _, a := range w.attempts {
		if a.State != Off {
			continue
		}
		if w.on[a.key()] {
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

// With a model of one machine whose worker follows the protocol, an attempt that is said to be off is
// not on the machine and never gets there, whichever heartbeats, answers and commands are lost or
// repeated.
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
