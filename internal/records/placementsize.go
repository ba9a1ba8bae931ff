package records

import "strconv"

const (
	// placedAttemptBytes is the most that one PlacedAttempt takes in JSON, with a host name of
	// usual length.
	placedAttemptBytes = 96
	// denseAttemptBytes is the most that an attempt takes in the dense form, alone on its
	// machine.
	denseAttemptBytes = 24
	// denseFrameBytes is the most that the rest of a placement record in the dense form takes,
	// without DoneBits.
	denseFrameBytes = 72
)

// TasksPerPlacement returns how many tasks a placement record may cover so that it fits a value: in
// the plain form under the current limit of the state store, and in the dense form under the
// lowest limit that is announced. It is at least 1.
func TasksPerPlacement(currentBytes, lowestBytes int) int {
	return max(1, min(currentBytes/placedAttemptBytes, lowestBytes/denseAttemptBytes))
}

// FitsPlain reports whether a placement record of so many tasks fits a value in the plain form.
func FitsPlain(tasks, valueBytes int) bool { return tasks <= valueBytes/placedAttemptBytes }

// DenseAttemptBytes returns the most bytes that an attempt adds to a placement record of so many
// tasks in the dense form.
func DenseAttemptBytes(attempt PlacedAttempt, tasks int) int {
	const separators = 7 // commas and quotes
	return len(strconv.Itoa(attempt.Task)) + len(strconv.FormatUint(attempt.Attempt, 10)) + len(attempt.Host) +
		len(strconv.FormatUint(attempt.Incarnation, 10)) + len(strconv.Itoa(tasks)) + separators
}

// DenseAttemptsRoom returns how many bytes of a value are left for the attempts of a placement record
// of so many tasks in the dense form, without its frame and DoneBits (a bit a task, in base 64). It
// may be negative.
func DenseAttemptsRoom(valueBytes, tasks int) int {
	return valueBytes - denseFrameBytes - (tasks+7)/8*4/3
}
