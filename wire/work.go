package wire

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"strings"
)

// Work is the body of POST /work.
type Work struct {
	UID      string   `json:"Uid"`
	Berth    string   `json:"Berth"`
	Crew     string   `json:"Crew"`
	Shape    Shape    `json:"Shape"`
	Rank     Rank     `json:"Rank"`
	Legs     int      `json:"Legs"`
	Cores    float64  `json:"Cores"`
	Gpus     float64  `json:"Gpus"`
	RAMGb    float64  `json:"RamGb"`
	Rollout  string   `json:"Rollout"`
	ImageGb  float64  `json:"ImageGb"`
	Rigs     []string `json:"Rigs,omitempty"`
	Yard     string   `json:"Yard,omitempty"`
	Together bool     `json:"Together"`
	Scatter  bool     `json:"Scatter"`
	Standby  bool     `json:"Standby"`
	ExpectS  float64  `json:"ExpectS"`
	MarkS    float64  `json:"MarkS"`
	StowS    float64  `json:"StowS"`
	DueS     *float64 `json:"DueS,omitempty"`
	// Awaits names the jobs that have to be done before a task of this one starts.
	Awaits []string `json:"Awaits,omitempty"`
}

// workIn tells fields that are missing from fields that are zero.
type workIn struct {
	UID      *string   `json:"Uid"`
	Berth    *string   `json:"Berth"`
	Crew     *string   `json:"Crew"`
	Shape    *string   `json:"Shape"`
	Rank     *string   `json:"Rank"`
	Rollout  *string   `json:"Rollout"`
	RAMGb    *float64  `json:"RamGb"`
	Legs     *float64  `json:"Legs"`
	Cores    *float64  `json:"Cores"`
	Gpus     *float64  `json:"Gpus"`
	ImageGb  *float64  `json:"ImageGb"`
	Rigs     *[]string `json:"Rigs"`
	Yard     *string   `json:"Yard"`
	Together *bool     `json:"Together"`
	Scatter  *bool     `json:"Scatter"`
	Standby  *bool     `json:"Standby"`
	ExpectS  *float64  `json:"ExpectS"`
	MarkS    *float64  `json:"MarkS"`
	StowS    *float64  `json:"StowS"`
	DueS     *float64  `json:"DueS"`
	Awaits   []string  `json:"Awaits"`
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

// ParseWork decodes and validates a submission. Every error it returns means
// that the body is malformed (400). Only what may be null may be left out: Rigs,
// Yard, DueS and Awaits.
func ParseWork(body []byte) (Work, error) {
	var in workIn
	if t := bytes.TrimLeft(body, " \t\r\n"); len(t) == 0 || t[0] != '{' {
		return Work{}, errors.New("body is not a JSON object")
	}
	if err := json.Unmarshal(body, &in); err != nil {
		return Work{}, fmt.Errorf("body is not valid: %w", err)
	}
	var w Work
	for _, take := range []func(*Work) error{in.takeNames, in.takeAmounts, in.takeTasks, in.takeFlags, in.takeOptional} {
		if err := take(&w); err != nil {
			return Work{}, err
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
func (in *workIn) takeNames(w *Work) error {
	err := take([]field[string]{
		{"Uid", in.UID, &w.UID}, {"Berth", in.Berth, &w.Berth}, {"Crew", in.Crew, &w.Crew},
		{"Shape", in.Shape, (*string)(&w.Shape)}, {"Rank", in.Rank, (*string)(&w.Rank)}, {"Rollout", in.Rollout, &w.Rollout},
	}, checkName)
	switch {
	case err != nil:
		return err
	case !ValidUID(w.UID):
		return errors.New("field Uid has not the form run-000000")
	case w.Shape != Sweep && w.Shape != Standing && w.Shape != Group:
		return errors.New("field Shape must be sweep, standing or group")
	case w.Rank.Level() == 0:
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
func (in *workIn) takeAmounts(w *Work) error {
	err := take([]field[float64]{
		{"Cores", in.Cores, &w.Cores}, {"Gpus", in.Gpus, &w.Gpus}, {"RamGb", in.RAMGb, &w.RAMGb}, {"ImageGb", in.ImageGb, &w.ImageGb},
		{"ExpectS", in.ExpectS, &w.ExpectS}, {"MarkS", in.MarkS, &w.MarkS}, {"StowS", in.StowS, &w.StowS},
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
func (in *workIn) takeTasks(w *Work) error {
	var tasks float64
	err := take([]field[float64]{{"Legs", in.Legs, &tasks}}, func(n float64) error {
		if n < 1 || n > MaxTasks || n != float64(int(n)) {
			return fmt.Errorf("must be a whole number from 1 to %d", MaxTasks)
		}
		return nil
	})
	w.Legs = int(tasks)
	return err
}

// takeFlags takes what is true or false.
func (in *workIn) takeFlags(w *Work) error {
	return take([]field[bool]{{"Together", in.Together, &w.Together}, {"Scatter", in.Scatter, &w.Scatter}, {"Standby", in.Standby, &w.Standby}},
		func(bool) error { return nil })
}

// takeOptional takes what may be null or left out.
func (in *workIn) takeOptional(w *Work) (err error) {
	if in.DueS != nil {
		due := *in.DueS
		if checkAmount(due) != nil {
			return errors.New("field DueS is out of range")
		}
		w.DueS = &due
	}
	if in.Rigs != nil {
		if len(*in.Rigs) == 0 {
			return errors.New("field Rigs must be null or name a machine type")
		}
		w.Rigs = *in.Rigs
	}
	if in.Yard != nil {
		if *in.Yard == "" {
			return errors.New("field Yard must be null or name a zone")
		}
		w.Yard = *in.Yard
	}
	w.Awaits, err = parseAwaits(in.Awaits)
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
