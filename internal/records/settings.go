package records

import (
	"errors"
	"fmt"

	"lotusstile.dev/lotusstile/wire"
)

// Defaults of the settings that operators can change.
const (
	// cyclesPerHeartbeat is the number of scheduling cycles in a heartbeat interval. In the paper that
	// docs/design.md names, the default interval between cycles is 3 s. Here it is shorter, a third of
	// a heartbeat interval, since fetching an image already takes most of the time that users wait.
	cyclesPerHeartbeat = 3
	defaultWindow      = 200 // jobs
	defaultHeadroom    = 2   // factor by which the computed headroom is scaled
)

// Bounds of the settings that operators can change.
const (
	minIntervalS = 0.1
	maxIntervalS = 60
	minWindow    = 1
	maxWindow    = 10000
	maxHeadroom  = 100
)

// DefaultSettings returns the defaults of the settings that operators can change, for a heartbeat interval
// in seconds.
func DefaultSettings(heartbeatIntervalS float64) wire.Settings {
	return wire.Settings{
		IntervalS: heartbeatIntervalS / cyclesPerHeartbeat,
		Window:    defaultWindow,
		Headroom:  defaultHeadroom,
	}
}

// ValidateSettings returns a joined error with one error for each setting that is out of bounds, or nil
// if all settings are valid. The errors use the names of the settings in the API.
func ValidateSettings(settings wire.Settings) error {
	var errs []error
	if !(settings.IntervalS >= minIntervalS && settings.IntervalS <= maxIntervalS) { // written so that NaN is invalid
		errs = append(errs, fmt.Errorf("setting IntervalS must be from %v to %v", minIntervalS, maxIntervalS))
	}
	if settings.Window < minWindow || settings.Window > maxWindow {
		errs = append(errs, fmt.Errorf("setting Window must be from %v to %v", minWindow, maxWindow))
	}
	if !(settings.Headroom >= 0 && settings.Headroom <= maxHeadroom) {
		errs = append(errs, fmt.Errorf("setting Spare must be from 0 to %v", maxHeadroom))
	}
	return errors.Join(errs...)
}
