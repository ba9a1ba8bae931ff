// Package review_test runs the cases of the review when REVIEW_CASES is set. KNOWN-RED.txt names its tests.
package review_test

import (
	"context"
	"os"
	"os/exec"
	"path/filepath"
	"testing"
	"time"
)

// caseTimeout is longer than a case may take.
const caseTimeout = 3 * time.Minute

// runCase runs the script of a case. It fails if the rule of the case was broken or the case could not run.
func runCase(t *testing.T, folder string) {
	t.Helper()
	if os.Getenv("REVIEW_CASES") == "" {
		t.Skip("set REVIEW_CASES to run the cases of the review, after the builds that review/REPORT.md names")
	}
	ctx, cancel := context.WithTimeout(context.Background(), caseTimeout)
	defer cancel()
	output, err := exec.CommandContext(ctx, filepath.Join(folder, "run.sh")).CombinedOutput()
	if err != nil {
		t.Errorf("%v: %s", err, output)
	}
}

// A pipeline whose jobs name all earlier ones must not keep other work from starting.
func TestReviewPipelineOfManyJobsStopsNoOtherWork(t *testing.T) { runCase(t, "1") }

// An array bound to one zone must go on where there is room for some of its tasks.
func TestReviewArrayInOneZoneGoesOnAfterLostMachines(t *testing.T) { runCase(t, "2") }

// A field that the protocol does not have must not change what is submitted.
func TestReviewUnknownFieldOfASubmissionIsIgnored(t *testing.T) { runCase(t, "3") }
