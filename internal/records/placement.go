package records

import (
	"encoding/json"
	"fmt"
	"strconv"

	"lotusstile.dev/lotusstile/wire"
)

// Placement is the placement of Per tasks in a row. Next is above every Try that
// was ever used in it, so that no Try is used twice.
type Placement struct {
	NextAttempt uint64          `json:"N"`
	DoneBits    []byte          `json:"D,omitempty"` // bit per task
	Live        []PlacedAttempt `json:"A,omitempty"`
	// DenseAttempts holds the attempts in less room, in place of Live.
	Dense *DenseAttempts `json:"B,omitempty"`
}

// DenseAttempts lists attempts in columns: attempt i is of task Tasks[i] with try Tries[i] on
// machine Machines[i] of Hosts and Sessions. A machine has one entry for each session
// that attempts are known from.
type DenseAttempts struct {
	Tasks        []int    `json:"L"`
	Attempts     []uint64 `json:"T"`
	Machines     []int    `json:"M"`
	Hosts        []string `json:"H"`
	Incarnations []uint64 `json:"S"`
}

// hostIncarnation is a machine in one of its sessions.
type hostIncarnation struct {
	host        string
	incarnation uint64
}

// newDenseAttempts lists attempts densely.
func newDenseAttempts(live []PlacedAttempt) *DenseAttempts {
	dense := &DenseAttempts{}
	index := map[hostIncarnation]int{}
	for _, placed := range live {
		key := hostIncarnation{placed.Host, placed.Incarnation}
		machine, known := index[key]
		if !known {
			machine = len(dense.Hosts)
			index[key] = machine
			dense.Hosts = append(dense.Hosts, placed.Host)
			dense.Incarnations = append(dense.Incarnations, placed.Incarnation)
		}
		dense.Tasks = append(dense.Tasks, placed.Task)
		dense.Attempts = append(dense.Attempts, placed.Attempt)
		dense.Machines = append(dense.Machines, machine)
	}
	return dense
}

// list lists the attempts one by one.
func (d *DenseAttempts) list() ([]PlacedAttempt, error) {
	if len(d.Attempts) != len(d.Tasks) || len(d.Machines) != len(d.Tasks) || len(d.Incarnations) != len(d.Hosts) {
		return nil, fmt.Errorf("columns of different lengths: %d tasks, %d tries, %d machines", len(d.Tasks), len(d.Attempts), len(d.Machines))
	}
	live := make([]PlacedAttempt, 0, len(d.Tasks))
	for i, machine := range d.Machines {
		if machine < 0 || machine >= len(d.Hosts) {
			return nil, fmt.Errorf("machine %d of %d", machine, len(d.Hosts))
		}
		live = append(live, PlacedAttempt{Task: d.Tasks[i], Attempt: d.Attempts[i], Host: d.Hosts[machine], Incarnation: d.Incarnations[machine]})
	}
	return live, nil
}

// EncodePlacement makes the value of a piece's record. If it does not fit into valueBytes
// and dense is allowed, its attempts are listed densely. Releases before cluster
// version 2 cannot read that.
func EncodePlacement(placement Placement, valueBytes int, dense bool) json.RawMessage {
	value := Encode(placement)
	if len(value) <= valueBytes || !dense {
		return value
	}
	placement.Dense, placement.Live = newDenseAttempts(placement.Live), nil
	return Encode(placement)
}

// DecodePlacement reads the record of a piece in either form.
func DecodePlacement(value json.RawMessage) (Placement, error) {
	var placement Placement
	if err := wire.Decode(value, &placement); err != nil {
		return Placement{}, fmt.Errorf("piece: %w", err)
	}
	if placement.Dense == nil {
		return placement, nil
	}
	live, err := placement.Dense.list()
	if err != nil {
		return Placement{}, fmt.Errorf("piece: %w", err)
	}
	placement.Live, placement.Dense = append(placement.Live, live...), nil
	return placement, nil
}

const (
	// placedBytes is the most that one Placed takes in JSON, with a host's name of
	// usual length.
	placedBytes = 96
	// denseBytes is the same for one attempt that is listed densely, alone on its
	// machine.
	denseBytes = 24
	// denseFrameBytes is what the rest of a densely listed piece takes at most.
	denseFrameBytes = 72
)

// TasksPerPlacement is how many tasks go into one piece so that it fits a value: one by one
// under the limit of now, and densely under the lowest that is announced.
func TasksPerPlacement(currentBytes, lowestBytes int) int {
	return max(1, min(currentBytes/placedBytes, lowestBytes/denseBytes))
}

// FitsPlain reports whether a piece of so many tasks fits a value with its attempts
// listed one by one.
func FitsPlain(tasks, valueBytes int) bool { return tasks <= valueBytes/placedBytes }

// DenseAttemptBytes is at most what an attempt adds to a densely listed piece of so many tasks.
func DenseAttemptBytes(placed PlacedAttempt, tasks int) int {
	const separators = 7 // commas and quotes
	return len(strconv.Itoa(placed.Task)) + len(strconv.FormatUint(placed.Attempt, 10)) + len(placed.Host) +
		len(strconv.FormatUint(placed.Incarnation, 10)) + len(strconv.Itoa(tasks)) + separators
}

// DenseAttemptsRoom is how many bytes a densely listed piece of so many tasks has for attempts.
func DenseAttemptsRoom(valueBytes, tasks int) int {
	return valueBytes - denseFrameBytes - (tasks+7)/8*4/3
}

// IsDone reports whether task i of the piece is done.
func (p *Placement) IsDone(i int) bool {
	return i/8 < len(p.DoneBits) && p.DoneBits[i/8]&(1<<(i%8)) != 0
}

// MarkDone marks task i of the piece done.
func (p *Placement) MarkDone(i int) {
	for len(p.DoneBits) <= i/8 {
		p.DoneBits = append(p.DoneBits, 0)
	}
	p.DoneBits[i/8] |= 1 << (i % 8)
}
