package wire

import (
	"bytes"
	"errors"
	"fmt"
)

// jobSpecBody is a submission as users send it. Its fields can be nil, so that a field that is missing or
// null differs from one that was sent with its zero value.
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

// ParseJobSpec decodes and validates a submission. Every error that it returns means that the body is
// malformed (400). Only the fields Rigs, Yard, DueS and Awaits are optional: they may be null or missing.
func ParseJobSpec(body []byte) (JobSpec, error) {
	var in jobSpecBody
	if trimmed := bytes.TrimLeft(body, " \t\r\n"); len(trimmed) == 0 || trimmed[0] != '{' {
		return JobSpec{}, errors.New("body is not a JSON object")
	}
	if err := Decode(body, &in); err != nil {
		return JobSpec{}, fmt.Errorf("body is not valid: %w", err)
	}
	var spec JobSpec
	for _, copyFields := range []func(*JobSpec) error{in.copyNames, in.copyAmounts, in.copyTaskCount, in.copyBools, in.copyOptional} {
		if err := copyFields(&spec); err != nil {
			return JobSpec{}, err
		}
	}
	return spec, nil
}

// field is a required field of a submission, with its value and the target that it is copied to.
type field[T any] struct {
	name   string
	value  *T
	target *T
}

// copyRequired copies required fields to their targets, up to the first that is missing or not valid.
func copyRequired[T any](fields []field[T], check func(value T) error) error {
	for _, f := range fields {
		if f.value == nil {
			return fmt.Errorf("field %s is missing", f.name)
		}
		if err := check(*f.value); err != nil {
			return fmt.Errorf("field %s %w", f.name, err)
		}
		*f.target = *f.value
	}
	return nil
}

// copyNames copies the required fields that are strings.
func (in *jobSpecBody) copyNames(spec *JobSpec) error {
	err := copyRequired([]field[string]{
		{"Uid", in.UID, &spec.UID},
		{"Berth", in.JobClass, &spec.JobClass},
		{"Crew", in.Team, &spec.Team},
		{"Shape", in.Kind, (*string)(&spec.Kind)},
		{"Rank", in.Priority, (*string)(&spec.Priority)},
		{"Rollout", in.Image, &spec.Image},
	}, checkName)
	switch {
	case err != nil:
		return err
	case !ValidUID(spec.UID):
		return errors.New("field Uid has not the form run-000000")
	case spec.Kind != JobArray && spec.Kind != Service && spec.Kind != Gang:
		return errors.New("field Shape must be sweep, standing or group")
	case spec.Priority.Level() == 0:
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

// copyAmounts copies the resources and durations of a task.
func (in *jobSpecBody) copyAmounts(spec *JobSpec) error {
	err := copyRequired([]field[float64]{
		{"Cores", in.Cores, &spec.Cores},
		{"Gpus", in.Gpus, &spec.Gpus},
		{"RamGb", in.RAMGb, &spec.RAMGb},
		{"ImageGb", in.ImageGb, &spec.ImageGb},
		{"ExpectS", in.ExpectedRunS, &spec.ExpectedRunS},
		{"MarkS", in.CheckpointIntervalS, &spec.CheckpointIntervalS},
		{"StowS", in.CheckpointOnStopS, &spec.CheckpointOnStopS},
	}, checkAmount)
	if err == nil && spec.Cores == 0 && spec.Gpus == 0 {
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

func (in *jobSpecBody) copyTaskCount(spec *JobSpec) error {
	var tasks float64
	err := copyRequired([]field[float64]{{"Legs", in.TaskCount, &tasks}}, func(n float64) error {
		if n < 1 || n > MaxTasks || n != float64(int(n)) {
			return fmt.Errorf("must be a whole number from 1 to %d", MaxTasks)
		}
		return nil
	})
	spec.TaskCount = int(tasks)
	return err
}

// copyBools copies the boolean fields.
func (in *jobSpecBody) copyBools(spec *JobSpec) error {
	return copyRequired([]field[bool]{
		{"Together", in.SingleZone, &spec.SingleZone},
		{"Scatter", in.SpreadZones, &spec.SpreadZones},
		{"Standby", in.AllowSpot, &spec.AllowSpot},
	}, func(bool) error { return nil })
}

// copyOptional copies the fields that may be null or missing.
func (in *jobSpecBody) copyOptional(spec *JobSpec) (err error) {
	if in.DeadlineS != nil {
		deadline := *in.DeadlineS
		if checkAmount(deadline) != nil {
			return errors.New("field DueS is out of range")
		}
		spec.DeadlineS = &deadline
	}
	if in.MachineTypes != nil {
		if len(*in.MachineTypes) == 0 {
			return errors.New("field Rigs must be null or name a machine type")
		}
		spec.MachineTypes = *in.MachineTypes
	}
	if in.Zone != nil {
		if *in.Zone == "" {
			return errors.New("field Yard must be null or name a zone")
		}
		spec.Zone = *in.Zone
	}
	spec.Dependencies, err = parseDependencies(in.Dependencies)
	return err
}

// UIDOf returns the job's id in a submission, and whether that id is valid. The body must be a JSON object;
// its other fields need not be valid.
func UIDOf(body []byte) (string, bool) {
	var in struct {
		UID string `json:"Uid"`
	}
	if err := Decode(body, &in); err != nil {
		return "", false
	}
	return in.UID, ValidUID(in.UID)
}
