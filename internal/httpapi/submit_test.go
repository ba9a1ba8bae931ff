package httpapi

import (
	"testing"

	"lotusstile.dev/lotusstile/wire"
)

// Stages of a pipeline, which have dependencies, are admitted with at least high priority. They are
// submitted within milliseconds of each other, most of them with the lowest priority: when they were
// admitted with that priority, two or three at once were refused with a Retry-After of one second
// although the write budget was sufficient.
func TestStagesOfPipelinesAreAdmittedWithHighPriority(t *testing.T) {
	for _, tc := range []struct {
		priority     wire.Priority
		dependencies []string
		want         wire.Priority
	}{
		{wire.BestEffort, nil, wire.BestEffort},
		{wire.BestEffort, []string{"run-000001"}, wire.High},
		{wire.Standard, []string{"run-000001"}, wire.High},
		{wire.Critical, []string{"run-000001"}, wire.Critical},
	} {
		if got := admissionPriority(&wire.JobSpec{Priority: tc.priority, Dependencies: tc.dependencies}); got != tc.want {
			t.Errorf("%s with Awaits %v is admitted as %s, want %s", tc.priority, tc.dependencies, got, tc.want)
		}
	}
}
