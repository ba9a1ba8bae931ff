// Package records holds the durable records of the service and the keys they
// are kept under in the state service.
//
//	e/leader      the leader, on a hold; its Stamp is the term
//	e/term        written with e/leader and never dropped: its Stamp is the last term
//	j/<uid>       an accepted job that is not archived yet
//	p/<uid>/<n>   piece n of a job's placement
//	f/<uid>       the final status of an archived job, kept for ever
//	r/<term>-<n>  machines whose return has been attempted
//	i/<host>      the images a machine has, as far as was seen
//	k/<node>/<n>  machines whose leases a node keeps, cut off from the leader
//	t/last        how the last change of leader went
//	o/settings    the operators' own settings
//	o/version     the cluster version: which formats of records are in use
//	o/release/<node>  the version that a node understands, on a lease, until it is in force
package records

import (
	"encoding/json"
	"fmt"
	"strconv"
	"strings"

	"lotusstile.dev/lotusstile/wire"
)

// Key prefixes and fixed keys.
const (
	ElectionPrefix      = "e/"
	LeaderKey           = "e/leader"
	TermKey             = "e/term"
	JobPrefix           = "j/"
	PlacementPrefix     = "p/"
	FinalPrefix         = "f/"
	ScaleInPrefix       = "r/"
	ImagesPrefix        = "i/"
	RenewedLeasesPrefix = "k/"
	FailoverKey         = "t/last"
	SettingsPrefix      = "o/"
	SettingsKey         = "o/settings"
	VersionKey          = "o/version"
	ReleasePrefix       = "o/release/"
)

// Leader is the value of LeaderKey and TermKey.
type Leader struct {
	Node string `json:"Node"`
}

// Job is an accepted job. Status is queued until it is final.
type Job struct {
	Spec              wire.JobSpec   `json:"Spec"`
	Status            wire.JobStatus `json:"Status"`
	AcceptedAtMs      int64          `json:"AtMs"` // time of day of acceptance
	TasksPerPlacement int            `json:"Per"`  // tasks to a piece of its placement
}

// ClusterVersion is the value of VersionKey.
type ClusterVersion struct {
	Version int `json:"Version"`
}

// SetFinal gives the job its final status. If the record is larger than a value may be,
// it loses what nothing of a job that is over is read for: a record that was written
// under higher limits can then be written all the same.
func (j *Job) SetFinal(status wire.JobStatus, valueBytes int) {
	j.Status = status
	if len(Encode(j)) <= valueBytes {
		return
	}
	j.Spec.MachineTypes, j.Spec.Zone, j.Spec.Image, j.Spec.Dependencies = nil, "", "", nil
}

// Final is the last word on a job.
type Final struct {
	Status wire.JobStatus `json:"Status"`
}

// ScaleIns lists machines that may be gone at any time: they are never used again
// and their return is repeated until the cloud confirms it.
type ScaleIns struct {
	Hosts []string `json:"Hosts"`
}

// Images lists images that were seen on a machine. It only guides placement.
type Images struct {
	Names []string `json:"Names"`
}

// RenewedLeases lists machines that a node answers in the place of a leader that it
// cannot reach. The state service carries the word where the mesh does not.
type RenewedLeases struct {
	Hosts []string `json:"Hosts"`
}

// Failover is how a change of leader went: what the new leader has proven, and when.
// Times are milliseconds since the new leader saw that nobody leads.
type Failover struct {
	Term uint64 `json:"Term"`
	Node string `json:"Node"`
	// Warm: the new leader took over what it had followed. If not, Cause says why, and it
	// has listed all records.
	Warm  bool   `json:"Warm"`
	Cause string `json:"Cause,omitempty"`
	// What it had followed: the leader's term, the revision of the state service up to
	// which all records were part of it, its digest and its age, and how many changes the
	// state service had made since.
	FollowedTerm uint64 `json:"FollowedTerm,omitempty"`
	Position     uint64 `json:"Position,omitempty"`
	Digest       string `json:"Digest,omitempty"`
	AgeMs        int64  `json:"AgeMs,omitempty"`
	Changes      int    `json:"Changes,omitempty"`
	// What is in its picture: machines that may run tasks, and attempts that may be on them.
	Machines int `json:"Machines"`
	Attempts int `json:"Attempts"`
	// The lease of the leader before has ended by the state service's word at 0.
	ElectedMs int64 `json:"ElectedMs"`
	LoadedMs  int64 `json:"LoadedMs"`  // all records are known
	ReadyMs   int64 `json:"ReadyMs"`   // the first machine has reported with the new token
	DecidedMs int64 `json:"DecidedMs"` // the first round that could place tasks has ended
}

// PlacedAttempt is an attempt that was decided and is not yet recorded as ended.
type PlacedAttempt struct {
	Task        int    `json:"L"`
	Attempt     uint64 `json:"T"`
	Host        string `json:"H"`
	Incarnation uint64 `json:"S"`
}

// FitNames is as many of the names as a record with one list of names holds in a value
// of the given size, but at least one.
func FitNames(names []string, valueBytes int) []string {
	size := len(`{"Hosts":[]}`)
	for i, name := range names {
		if size += len(Encode(name)) + 1; size > valueBytes && i > 0 {
			return names[:i]
		}
	}
	return names
}

// JobKey is the key of a job.
func JobKey(uid string) string { return JobPrefix + uid }

// FinalKey is the key of a job's final status.
func FinalKey(uid string) string { return FinalPrefix + uid }

// ReleaseKey is the key of the version that a node understands.
func ReleaseKey(node string) string { return ReleasePrefix + node }

// ImagesKey is the key of a machine's images.
func ImagesKey(host string) string { return ImagesPrefix + host }

// PlacementKey is the key of a piece of a job's placement.
func PlacementKey(uid string, n int) string { return fmt.Sprintf("%s%s/%06d", PlacementPrefix, uid, n) }

// SplitPlacementKey takes a piece's key apart.
func SplitPlacementKey(key string) (uid string, n int, ok bool) {
	rest, found := strings.CutPrefix(key, PlacementPrefix)
	if !found {
		return "", 0, false
	}
	uid, num, found := strings.Cut(rest, "/")
	if !found {
		return "", 0, false
	}
	n, err := strconv.Atoi(num)
	return uid, n, err == nil && n >= 0
}

// Encode makes a value of a record. The records are plain structs, so it
// cannot fail.
func Encode(v any) json.RawMessage {
	data, err := json.Marshal(v)
	if err != nil {
		panic(fmt.Sprintf("ledger: encode %T: %v", v, err))
	}
	return data
}
