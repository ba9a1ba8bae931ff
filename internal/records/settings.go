package records

import (
	"errors"

	"lotusstile.dev/lotusstile/wire"
)

// DefaultSettings derives the defaults from the interval of workers' reports.
// The paper's default interval is 3 s; the fetch of an image takes most of the
// time that users wait, so a round is a third of a report's interval here.
func DefaultSettings(reportS float64) wire.Settings {
	return wire.Settings{IntervalS: reportS / 3, Window: 200, Headroom: 2}
}

// ValidateSettings reports what is wrong with the operators' own settings.
func ValidateSettings(s wire.Settings) error {
	var faults []error
	if !(s.IntervalS >= 0.1 && s.IntervalS <= 60) {
		faults = append(faults, errors.New("setting IntervalS must be from 0.1 to 60"))
	}
	if s.Window < 1 || s.Window > 10000 {
		faults = append(faults, errors.New("setting Window must be from 1 to 10000"))
	}
	if !(s.Headroom >= 0 && s.Headroom <= 100) {
		faults = append(faults, errors.New("setting Spare must be from 0 to 100"))
	}
	return errors.Join(faults...)
}
