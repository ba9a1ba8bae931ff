package wire

import (
	"slices"
	"strings"
	"testing"
)

const submission = `{"Uid":"run-000412","Berth":"train","Crew":"vision","Shape":"sweep","Rank":"high","Legs":16,
 "Cores":8.0,"Gpus":1.0,"RamGb":64.0,"Rollout":"img-07","ImageGb":6.2,"Together":true,"Scatter":false,"Standby":true,
 "ExpectS":240.0,"MarkS":30.0,"StowS":4.0AWAITS}`

func TestDependenciesOfASubmission(t *testing.T) {
	for field, want := range map[string][]string{
		``:                                      nil,
		`,"Awaits":null`:                        nil,
		`,"Awaits":[]`:                          nil,
		`,"Awaits":["run-000398","run-000405"]`: {"run-000398", "run-000405"},
		`,"Awaits":["run-000405","run-000398","run-000405"]`: {"run-000405", "run-000398"},
	} {
		body := []byte(strings.ReplaceAll(submission, "AWAITS", field))
		spec, err := ParseJobSpec(body)
		if err != nil || !slices.Equal(spec.Dependencies, want) {
			t.Errorf("%s: got dependencies %v, error %v; want %v, no error", field, spec.Dependencies, err, want)
		}
		if HasDependencies(body) != (len(want) > 0) {
			t.Errorf("%s: got HasDependencies %v, want %v", field, HasDependencies(body), len(want) > 0)
		}
	}
	for _, field := range []string{`"run-000398"`, `[398]`, `[null]`, `["job-1"]`, `["run-12"]`, `{}`, `[["run-000398"]]`, `true`} {
		if spec, err := ParseJobSpec([]byte(strings.ReplaceAll(submission, "AWAITS", `,"Awaits":`+field))); err == nil {
			t.Errorf("%s: got dependencies %v, want an error", field, spec.Dependencies)
		}
	}
}
