package wire

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"strings"
)

// JobSpec is the body of POST /work.
type JobSpec struct {
	UID                 string   `json:"Uid"`
	JobClass            string   `json:"Berth"`
	Team                string   `json:"Crew"`
	Kind                JobKind  `json:"Shape"`
	Priority            Priority `json:"Rank"`
	TaskCount           int      `json:"Legs"`
	Cores               float64  `json:"Cores"`
	Gpus                float64  `json:"Gpus"`
	RAMGb               float64  `json:"RamGb"`
	Image               string   `json:"Rollout"`
	ImageGb             float64  `json:"ImageGb"`
	MachineTypes        []string `json:"Rigs,omitempty"`
	Zone                string   `json:"Yard,omitempty"`
	SingleZone          bool     `json:"Together"`
	SpreadZones         bool     `json:"Scatter"`
	AllowSpot           bool     `json:"Standby"`
	ExpectedRunS        float64  `json:"ExpectS"`
	CheckpointIntervalS float64  `json:"MarkS"`
	CheckpointOnStopS   float64  `json:"StowS"`
	DeadlineS           *float64 `json:"DueS,omitempty"`
	// Awaits names the jobs that have to be done before a task of this one starts.
	Dependencies []string `json:"Awaits,omitempty"`
}

// jobSpecBody tells fields that are missing from fields that are zero.
type jobSpecBody struct {
	UID                 *string   `json:"Uid"`
	JobClass            *string   `json:"Berth"`
	Team                *string   `json:"Crew"`
	Kind                *string   `json:"Shape"`
	Priority            *string   `json:"Rank"`
	Image               *string   `json:"Rollout"`
	RAMGb               *float64  `json:"RamGb"`
	TaskCount           *float64  `json:"Legs"`
	Cores               *float64  `json:"Cores"`
	Gpus                *float64  `json:"Gpus"`
	ImageGb             *float64  `json:"ImageGb"`
	MachineTypes        *[]string `json:"Rigs"`
	Zone                *string   `json:"Yard"`
	SingleZone          *bool     `json:"Together"`
	SpreadZones         *bool     `json:"Scatter"`
	AllowSpot           *bool     `json:"Standby"`
	ExpectedRunS        *float64  `json:"ExpectS"`
	CheckpointIntervalS *float64  `json:"MarkS"`
	CheckpointOnStopS   *float64  `json:"StowS"`
	DeadlineS           *float64  `json:"DueS"`
	Dependencies        []string  `json:"Awaits"`
}

// ValidUID reports whether id has the form of a job id: "run-" and six digits
// or more.
func ValidUID(id string) bool {
	digits, ok := strings.CutPrefix(id, "run-")
	if !ok || len(digits) < 6 || len(digits) > 18 {
		return false
	}
	for _, c := range digits {
		if c < '0' || c > '9' {
			return false
		}
	}
	return true
}

const (
	maxAmount = 1e9
	maxName   = 200 // bytes of a name, as the state service allows for keys
)

// ParseJobSpec decodes and validates a submission. Every error it returns means
// that the body is malformed (400). Only what may be null may be left out: Rigs,
// Yard, DeadlineS and Awaits.
func ParseJobSpec(body []byte) (JobSpec, error) {
	var in jobSpecBody
	if t := bytes.TrimLeft(body, " \t\r\n"); len(t) == 0 || t[0] != '{' {
		return JobSpec{}, errors.New("body is not a JSON object")
	}
	if err := json.Unmarshal(body, &in); err != nil {
		return JobSpec{}, fmt.Errorf("body is not valid: %w", err)
	}
	var w JobSpec
	for _, take := range []func(*JobSpec) error{in.takeNames, in.takeAmounts, in.takeTasks, in.takeFlags, in.takeOptional} {
		if err := take(&w); err != nil {
			return JobSpec{}, err
		}
	}
	return w, nil
}

// field is a field of a submission and where it goes to.
type field[T any] struct {
	name string
	in   *T
	out  *T
}

// take copies fields that must be there, if each is valid.
func take[T any](fields []field[T], check func(value T) error) error {
	for _, f := range fields {
		if f.in == nil {
			return fmt.Errorf("field %s is missing", f.name)
		}
		if err := check(*f.in); err != nil {
			return fmt.Errorf("field %s %w", f.name, err)
		}
		*f.out = *f.in
	}
	return nil
}

// takeNames takes the fields that are names.
func (in *jobSpecBody) takeNames(w *JobSpec) error {
	err := take([]field[string]{
		{"Uid", in.UID, &w.UID}, {"Berth", in.JobClass, &w.JobClass}, {"Crew", in.Team, &w.Team},
		{"Shape", in.Kind, (*string)(&w.Kind)}, {"Rank", in.Priority, (*string)(&w.Priority)}, {"Rollout", in.Image, &w.Image},
	}, checkName)
	switch {
	case err != nil:
		return err
	case !ValidUID(w.UID):
		return errors.New("field Uid has not the form run-000000")
	case w.Kind != JobArray && w.Kind != Service && w.Kind != Gang:
		return errors.New("field Shape must be sweep, standing or group")
	case w.Priority.Level() == 0:
		return errors.New("field Rank must be critical, high, standard or best_effort")
	}
	return nil
}

func checkName(name string) error {
	switch {
	case name == "":
		return errors.New("is missing")
	case len(name) > maxName:
		return errors.New("is too long")
	}
	return nil
}

// takeAmounts takes what a task needs and how long it takes.
func (in *jobSpecBody) takeAmounts(w *JobSpec) error {
	err := take([]field[float64]{
		{"Cores", in.Cores, &w.Cores}, {"Gpus", in.Gpus, &w.Gpus}, {"RamGb", in.RAMGb, &w.RAMGb}, {"ImageGb", in.ImageGb, &w.ImageGb},
		{"ExpectS", in.ExpectedRunS, &w.ExpectedRunS}, {"MarkS", in.CheckpointIntervalS, &w.CheckpointIntervalS}, {"StowS", in.CheckpointOnStopS, &w.CheckpointOnStopS},
	}, checkAmount)
	if err == nil && w.Cores == 0 && w.Gpus == 0 {
		return errors.New("a task must ask for Cores or Gpus")
	}
	return err
}

func checkAmount(amount float64) error {
	if amount < 0 || amount > maxAmount {
		return errors.New("is out of range")
	}
	return nil
}

// takeTasks takes the number of tasks.
func (in *jobSpecBody) takeTasks(w *JobSpec) error {
	var tasks float64
	err := take([]field[float64]{{"Legs", in.TaskCount, &tasks}}, func(n float64) error {
		if n < 1 || n > MaxTasks || n != float64(int(n)) {
			return fmt.Errorf("must be a whole number from 1 to %d", MaxTasks)
		}
		return nil
	})
	w.TaskCount = int(tasks)
	return err
}

// takeFlags takes what is true or false.
func (in *jobSpecBody) takeFlags(w *JobSpec) error {
	return take([]field[bool]{{"Together", in.SingleZone, &w.SingleZone}, {"Scatter", in.SpreadZones, &w.SpreadZones}, {"Standby", in.AllowSpot, &w.AllowSpot}},
		func(bool) error { return nil })
}

// takeOptional takes what may be null or left out.
func (in *jobSpecBody) takeOptional(w *JobSpec) (err error) {
	if in.DeadlineS != nil {
		due := *in.DeadlineS
		if checkAmount(due) != nil {
			return errors.New("field DueS is out of range")
		}
		w.DeadlineS = &due
	}
	if in.MachineTypes != nil {
		if len(*in.MachineTypes) == 0 {
			return errors.New("field Rigs must be null or name a machine type")
		}
		w.MachineTypes = *in.MachineTypes
	}
	if in.Zone != nil {
		if *in.Zone == "" {
			return errors.New("field Yard must be null or name a zone")
		}
		w.Zone = *in.Zone
	}
	w.Dependencies, err = parseDependencies(in.Dependencies)
	return err
}

// UIDOf finds the job's id in a submission that may be malformed otherwise.
func UIDOf(body []byte) (string, bool) {
	var in struct {
		UID string `json:"Uid"`
	}
	if err := json.Unmarshal(body, &in); err != nil && in.UID == "" {
		return "", false
	}
	return in.UID, ValidUID(in.UID)
}
