package records

import "strconv"

const (
	// placedAttemptBytes is the maximum size of one PlacedAttempt in JSON, if its host name has the
	// usual length.
	placedAttemptBytes = 96
	// denseAttemptBytes is the maximum size of an attempt in the dense form, if no other attempt of
	// the record is on its machine.
	denseAttemptBytes = 24
	// denseFrameBytes is the maximum size of a placement record in the dense form without its attempts
	// and DoneBits.
	denseFrameBytes = 72
)

// TasksPerPlacement returns how many tasks a placement record may cover, at least 1. A record with so many
// tasks fits into a value of currentBytes, the state store's current limit, in the plain form, and into a
// value of lowestBytes, the lowest limit that the settings announce, in the dense form.
func TasksPerPlacement(currentBytes, lowestBytes int) int {
	return max(1, min(currentBytes/placedAttemptBytes, lowestBytes/denseAttemptBytes))
}

// FitsPlain reports whether a placement record that covers so many tasks fits into valueBytes in the plain
// form.
func FitsPlain(tasks, valueBytes int) bool { return tasks <= valueBytes/placedAttemptBytes }

// DenseAttemptBytes returns the maximum number of bytes that an attempt adds to a placement record in the
// dense form. tasks is the number of tasks that the record covers.
func DenseAttemptBytes(attempt PlacedAttempt, tasks int) int {
	const separators = 7 // commas and quotes
	return len(strconv.Itoa(attempt.Task)) + len(strconv.FormatUint(attempt.Attempt, 10)) + len(attempt.Host) +
		len(strconv.FormatUint(attempt.Incarnation, 10)) + len(strconv.Itoa(tasks)) + separators
}

// MaxDenseAttemptsBytes returns how many bytes of a value are left for the attempts of a placement record in
// the dense form: valueBytes minus the size of the other fields. tasks is the number of tasks that the
// record covers: DoneBits has one bit per task and is encoded in base64. The result may be negative.
func MaxDenseAttemptsBytes(valueBytes, tasks int) int {
	return valueBytes - denseFrameBytes - (tasks+7)/8*4/3
}
