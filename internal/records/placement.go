package records

import (
	"encoding/json"
	"fmt"
	"math/bits"

	"lotusstile.dev/lotusstile/wire"
)

// Placement is a placement record: the state of Job.TasksPerPlacement consecutive tasks of a job. It is
// stored in one of two forms. The plain form lists the attempts one by one (Live). The dense form lists
// them in columns (Dense) and takes about a quarter of the bytes. EncodePlacement chooses the form, and
// DecodePlacement reads both forms into Live.
type Placement struct {
	// NextAttempt is higher than every attempt number that was ever used in the record, so that no
	// number is used twice.
	NextAttempt uint64          `json:"N"`
	DoneBits    []byte          `json:"D,omitempty"` // one bit per task, from the lowest bit of the first byte; omitted bytes are 0
	Live        []PlacedAttempt `json:"A,omitempty"`
	// Dense replaces Live in the dense form. It is nil in memory.
	Dense *DenseAttempts `json:"B,omitempty"`
}

// PlacedAttempt is an attempt that was placed and whose end is not recorded yet, so it may be running.
type PlacedAttempt struct {
	Task        int    `json:"L"` // number of the task in the job
	Attempt     uint64 `json:"T"`
	Host        string `json:"H"`
	Incarnation uint64 `json:"S"` // of the worker on which the attempt was placed
}

// IsDone reports whether task i of the record is done. The first task of the record is task 0.
func (p *Placement) IsDone(i int) bool {
	return i/8 < len(p.DoneBits) && p.DoneBits[i/8]&(1<<(i%8)) != 0
}

// DoneCount returns how many tasks of the record are done.
func (p *Placement) DoneCount() int {
	count := 0
	for _, b := range p.DoneBits {
		count += bits.OnesCount8(b)
	}
	return count
}

// MarkDone marks task i of the record as done. The first task of the record is task 0.
func (p *Placement) MarkDone(i int) {
	for len(p.DoneBits) <= i/8 {
		p.DoneBits = append(p.DoneBits, 0)
	}
	p.DoneBits[i/8] |= 1 << (i % 8)
}

// DenseAttempts lists attempts in columns. Entry i is attempt number Attempts[i] of task Tasks[i], placed
// on the worker with index Machines[i] in Hosts and Incarnations. These two have one entry for each
// incarnation of a machine's worker that has attempts.
type DenseAttempts struct {
	Tasks        []int    `json:"L"`
	Attempts     []uint64 `json:"T"`
	Machines     []int    `json:"M"`
	Hosts        []string `json:"H"`
	Incarnations []uint64 `json:"S"`
}

// workerIncarnation identifies one incarnation of a machine's worker.
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
		machine, exists := index[worker]
		if !exists {
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

// toList converts the dense form to a list of attempts. Its error says how the columns contradict each
// other.
func (d *DenseAttempts) toList() ([]PlacedAttempt, error) {
	if len(d.Attempts) != len(d.Tasks) || len(d.Machines) != len(d.Tasks) || len(d.Incarnations) != len(d.Hosts) {
		return nil, fmt.Errorf("columns have different lengths: %d tasks, %d attempts, %d machines; %d hosts, %d incarnations",
			len(d.Tasks), len(d.Attempts), len(d.Machines), len(d.Hosts), len(d.Incarnations))
	}
	attempts := make([]PlacedAttempt, 0, len(d.Tasks))
	for i, machine := range d.Machines {
		if machine < 0 || machine >= len(d.Hosts) {
			return nil, fmt.Errorf("machine index %d out of range: %d hosts", machine, len(d.Hosts))
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

// EncodePlacement returns the value of a placement record. It uses the plain form if that fits into
// valueBytes or allowDense is false, and the dense form otherwise. The value may be larger than
// valueBytes in either form. Releases before cluster version 2 cannot read the dense form.
func EncodePlacement(placement Placement, valueBytes int, allowDense bool) json.RawMessage {
	value := Encode(placement)
	if len(value) <= valueBytes || !allowDense {
		return value
	}
	placement.Dense, placement.Live = newDenseAttempts(placement.Live), nil
	return Encode(placement)
}

// DecodePlacement decodes a placement record of either form. The attempts are in Live, and Dense is nil.
func DecodePlacement(value json.RawMessage) (Placement, error) {
	var placement Placement
	if err := wire.Decode(value, &placement); err != nil {
		return Placement{}, fmt.Errorf("decode placement record: %w", err)
	}
	if placement.Dense == nil {
		return placement, nil
	}
	attempts, err := placement.Dense.toList()
	if err != nil {
		return Placement{}, fmt.Errorf("decode placement record: %w", err)
	}
	placement.Live, placement.Dense = append(placement.Live, attempts...), nil
	return placement, nil
}
