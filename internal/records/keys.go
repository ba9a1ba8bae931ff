package records

import (
	"fmt"
	"strconv"
	"strings"
)

// Fixed keys and key prefixes. The package comment says what each of them holds.
const (
	ElectionPrefix       = "e/"
	LeaderKey            = "e/leader"
	TermKey              = "e/term"
	JobPrefix            = "j/"
	PlacementPrefix      = "p/"
	FinalPrefix          = "f/"
	MachineReleasePrefix = "r/"
	ImagesPrefix         = "i/"
	RenewedLeasesPrefix  = "k/"
	FailoverKey          = "t/last"
	SettingsPrefix       = "o/"
	SettingsKey          = "o/settings"
	VersionKey           = "o/version"
	ReleasePrefix        = "o/release/"
)

// JobKey returns the key of a job.
func JobKey(uid string) string { return JobPrefix + uid }

// FinalKey returns the key of a job's final status.
func FinalKey(uid string) string { return FinalPrefix + uid }

// ReleaseKey returns the key of the record in which a node announces the cluster version that it understands.
func ReleaseKey(node string) string { return ReleasePrefix + node }

// ImagesKey returns the key of the list of images that were seen on a machine.
func ImagesKey(host string) string { return ImagesPrefix + host }

// PlacementKey returns the key of one of a job's placement records, which are numbered from 0.
func PlacementKey(uid string, number int) string {
	return fmt.Sprintf("%s%06d", PlacementPrefixOf(uid), number)
}

// PlacementPrefixOf returns the prefix of the keys of a job's placement records.
func PlacementPrefixOf(uid string) string { return PlacementPrefix + uid + "/" }

// SplitPlacementKey returns the job and the number that a placement record's key contains; ok is false
// for other keys.
func SplitPlacementKey(key string) (uid string, number int, ok bool) {
	rest, found := strings.CutPrefix(key, PlacementPrefix)
	if !found {
		return "", 0, false
	}
	uid, digits, found := strings.Cut(rest, "/")
	if !found {
		return "", 0, false
	}
	number, err := strconv.Atoi(digits)
	return uid, number, err == nil && number >= 0
}
