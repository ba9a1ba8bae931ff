package records

import (
	"encoding/json"
	"fmt"

	"lotusstile.dev/lotusstile/wire"
)

// Placement is a placement record: the placement of Job.TasksPerPlacement consecutive tasks of a
// job. It has two forms. The plain one lists the attempts one by one (Live); the dense one lists
// them in columns (Dense) and takes about a quarter of the bytes. EncodePlacement chooses the form,
// and DecodePlacement reads both into Live.
type Placement struct {
	// NextAttempt is above every attempt number that was ever used in the record, so that no
	// number is used twice.
	NextAttempt uint64          `json:"N"`
	DoneBits    []byte          `json:"D,omitempty"` // a bit per task from the lowest of the first byte; bytes left out are 0
	Live        []PlacedAttempt `json:"A,omitempty"`
	// Dense is the dense form of Live, in its place; nil in memory.
	Dense *DenseAttempts `json:"B,omitempty"`
}

// PlacedAttempt is an attempt that was decided and whose end is not recorded yet: it may run.
type PlacedAttempt struct {
	Task        int    `json:"L"` // number of the task in the job
	Attempt     uint64 `json:"T"`
	Host        string `json:"H"`
	Incarnation uint64 `json:"S"` // of the worker that the attempt was decided for
}

// IsDone reports whether task i of the record, counted from 0 in the record, is done.
func (p *Placement) IsDone(i int) bool {
	return i/8 < len(p.DoneBits) && p.DoneBits[i/8]&(1<<(i%8)) != 0
}

// MarkDone marks task i of the record done.
func (p *Placement) MarkDone(i int) {
	for len(p.DoneBits) <= i/8 {
		p.DoneBits = append(p.DoneBits, 0)
	}
	p.DoneBits[i/8] |= 1 << (i % 8)
}

// DenseAttempts lists attempts in columns: attempt i is of task Tasks[i] with number Attempts[i], on
// the worker Machines[i], an index into Hosts and Incarnations. A machine has one entry for each
// incarnation that attempts are known from.
type DenseAttempts struct {
	Tasks        []int    `json:"L"`
	Attempts     []uint64 `json:"T"`
	Machines     []int    `json:"M"`
	Hosts        []string `json:"H"`
	Incarnations []uint64 `json:"S"`
}

// workerIncarnation is a machine's worker in one of its incarnations.
type workerIncarnation struct {
	host        string
	incarnation uint64
}

// newDenseAttempts converts attempts to the dense form.
func newDenseAttempts(attempts []PlacedAttempt) *DenseAttempts {
	dense := &DenseAttempts{}
	index := map[workerIncarnation]int{}
	for _, attempt := range attempts {
		worker := workerIncarnation{attempt.Host, attempt.Incarnation}
		machine, known := index[worker]
		if !known {
			machine = len(dense.Hosts)
			index[worker] = machine
			dense.Hosts = append(dense.Hosts, attempt.Host)
			dense.Incarnations = append(dense.Incarnations, attempt.Incarnation)
		}
		dense.Tasks = append(dense.Tasks, attempt.Task)
		dense.Attempts = append(dense.Attempts, attempt.Attempt)
		dense.Machines = append(dense.Machines, machine)
	}
	return dense
}

// list converts the dense form to a list of attempts. Its error says how the columns contradict
// each other.
func (d *DenseAttempts) list() ([]PlacedAttempt, error) {
	if len(d.Attempts) != len(d.Tasks) || len(d.Machines) != len(d.Tasks) || len(d.Incarnations) != len(d.Hosts) {
		return nil, fmt.Errorf("columns of different lengths: %d tasks, %d attempts, %d machines",
			len(d.Tasks), len(d.Attempts), len(d.Machines))
	}
	attempts := make([]PlacedAttempt, 0, len(d.Tasks))
	for i, machine := range d.Machines {
		if machine < 0 || machine >= len(d.Hosts) {
			return nil, fmt.Errorf("machine %d of %d", machine, len(d.Hosts))
		}
		attempts = append(attempts, PlacedAttempt{
			Task:        d.Tasks[i],
			Attempt:     d.Attempts[i],
			Host:        d.Hosts[machine],
			Incarnation: d.Incarnations[machine],
		})
	}
	return attempts, nil
}

// EncodePlacement returns the value of a placement record. It has the plain form if that fits into
// valueBytes or allowDense is false, and the dense form otherwise; either may be over valueBytes.
// Releases before cluster version 2 cannot read the dense form.
func EncodePlacement(placement Placement, valueBytes int, allowDense bool) json.RawMessage {
	value := Encode(placement)
	if len(value) <= valueBytes || !allowDense {
		return value
	}
	placement.Dense, placement.Live = newDenseAttempts(placement.Live), nil
	return Encode(placement)
}

// DecodePlacement reads a placement record in either form. The attempts are in Live.
func DecodePlacement(value json.RawMessage) (Placement, error) {
	var placement Placement
	if err := wire.Decode(value, &placement); err != nil {
		return Placement{}, fmt.Errorf("placement record: %w", err)
	}
	if placement.Dense == nil {
		return placement, nil
	}
	attempts, err := placement.Dense.list()
	if err != nil {
		return Placement{}, fmt.Errorf("placement record: %w", err)
	}
	placement.Live, placement.Dense = append(placement.Live, attempts...), nil
	return placement, nil
}
