package records

import (
	"errors"
	"fmt"

	"lotusstile.dev/lotusstile/wire"
)

// Defaults of the operators' own settings.
const (
	// cyclesPerHeartbeat is how many scheduling cycles there are in a heartbeat interval. The
	// paper's default interval between cycles is 3 s; the fetch of an image takes most of the time
	// that users wait, so the interval is a third of a heartbeat interval here.
	cyclesPerHeartbeat = 3
	defaultWindow      = 200 // jobs
	defaultHeadroom    = 2   // times the usual headroom
)

// Bounds of the operators' own settings.
const (
	minIntervalS = 0.1
	maxIntervalS = 60
	minWindow    = 1
	maxWindow    = 10000
	maxHeadroom  = 100
)

// DefaultSettings returns the defaults of the operators' own settings for a heartbeat interval in
// seconds.
func DefaultSettings(heartbeatIntervalS float64) wire.Settings {
	return wire.Settings{
		IntervalS: heartbeatIntervalS / cyclesPerHeartbeat,
		Window:    defaultWindow,
		Headroom:  defaultHeadroom,
	}
}

// ValidateSettings returns what is wrong with the operators' own settings, one joined error per
// fault under the setting's published name; nil if they are valid.
func ValidateSettings(settings wire.Settings) error {
	var faults []error
	if !(settings.IntervalS >= minIntervalS && settings.IntervalS <= maxIntervalS) { // NaN is a fault too
		faults = append(faults, fmt.Errorf("setting IntervalS must be from %v to %v", minIntervalS, maxIntervalS))
	}
	if settings.Window < minWindow || settings.Window > maxWindow {
		faults = append(faults, fmt.Errorf("setting Window must be from %v to %v", minWindow, maxWindow))
	}
	if !(settings.Headroom >= 0 && settings.Headroom <= maxHeadroom) {
		faults = append(faults, fmt.Errorf("setting Spare must be from 0 to %v", maxHeadroom))
	}
	return errors.Join(faults...)
}
