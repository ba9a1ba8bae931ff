package autoscaler

import (
	"fmt"
	"slices"
	"time"

	"lotusstile.dev/lotusstile/internal/records"
)

// ReleaseRecord is a records.ScaleIns in the state store, with its key. It lists machines that the
// leader may release. Hosts must not be modified.
type ReleaseRecord struct {
	Key   string
	Hosts []string
}

// release is the progress of releasing one machine.
type release struct {
	recorded bool // a stored record lists the machine
	// goneSince is when the cloud confirmed the release or, if later, when the machine last appeared
	// in a machine list. It is zero until the cloud confirms.
	goneSince time.Time
}

// Releases holds the machines that are being released to the cloud, and those that are gone but
// still on record. Idle machines are released to scale in the fleet, dead ones so that the cloud
// terminates them. The steps of a release are:
//
//  1. Start adds the machine.
//  2. The caller commits a record that lists the machine (NextRecord, AddRecorded).
//  3. The caller requests the release from the cloud until the cloud confirms it (Unconfirmed,
//     Confirm).
//  4. Once no machine list can show the machine any more, the caller drops the record (Expired, Drop).
//
// The request is sent only for a recorded machine: a later leader must know that the machine may
// disappear at any time (docs/safety.md, "No task runs twice").
type Releases struct {
	term       uint64
	lastRecord int // number of the last record of this term
	machines   map[string]*release
	records    []ReleaseRecord // records that are, or may be, in the state store
}

// NewReleases returns a Releases for a term, without any machine.
func NewReleases(term uint64) *Releases {
	return &Releases{term: term, machines: map[string]*release{}}
}

// Len returns the number of machines that are being released, or that are gone but still on record.
func (r *Releases) Len() int { return len(r.machines) }

// Start adds a machine to release. It returns false if the machine was added before: it is being released, or
// it is gone but still on record.
func (r *Releases) Start(host string) bool {
	if r.machines[host] != nil {
		return false
	}
	r.machines[host] = &release{}
	return true
}

// Restore adds a record of an earlier term, read from the state store. It may be called again with
// the same record: the state is loaded again after an error.
func (r *Releases) Restore(record ReleaseRecord) {
	for _, host := range record.Hosts {
		r.machines[host] = &release{recorded: true}
	}
	hasSameKey := func(other ReleaseRecord) bool { return other.Key == record.Key }
	if !slices.ContainsFunc(r.records, hasSameKey) {
		r.records = append(r.records, record)
	}
}

// NextRecord returns a record of machines that no stored record lists yet, as many as fit into a
// value of valueBytes; found is false if there are none. The caller commits the record in a
// transaction that requires its key to be absent. It then calls AddRecorded or, if the outcome of the
// commit is unknown, AddUncertain. Each key is used once: if a key were written twice, a delayed
// transaction could replace a newer list with an older one.
func (r *Releases) NextRecord(valueBytes int) (record ReleaseRecord, found bool) {
	hosts := r.hosts(func(m *release) bool { return !m.recorded })
	if len(hosts) == 0 {
		return ReleaseRecord{}, false
	}
	r.lastRecord++
	return ReleaseRecord{
		Key:   fmt.Sprintf("%s%d-%d", records.MachineReleasePrefix, r.term, r.lastRecord),
		Hosts: records.FitNames(hosts, valueBytes),
	}, true
}

// AddUncertain adds a record whose commit had an unknown outcome, so that the record is dropped once it
// has expired. Its machines still count as not recorded: another record will list them.
func (r *Releases) AddUncertain(record ReleaseRecord) { r.records = append(r.records, record) }

// AddRecorded adds a committed record: its machines may now be released. All of them must have been
// added by Start.
func (r *Releases) AddRecorded(record ReleaseRecord) {
	r.records = append(r.records, record)
	for _, host := range record.Hosts {
		r.machines[host].recorded = true
	}
}

// Unconfirmed lists at most limit recorded machines whose release the cloud has not confirmed,
// sorted by name.
func (r *Releases) Unconfirmed(limit int) []string {
	hosts := r.hosts(func(m *release) bool { return m.recorded && m.goneSince.IsZero() })
	return hosts[:min(len(hosts), limit)]
}

// Confirm records that the cloud confirmed the release of a machine at now. Unconfirmed must have
// listed the machine.
func (r *Releases) Confirm(host string, now time.Time) { r.machines[host].goneSince = now }

// StillListed records that a machine list read at now still shows a machine that is gone: the
// machine's record is kept for longer. It does nothing for a machine that Releases does not hold.
func (r *Releases) StillListed(host string, now time.Time) {
	if m := r.machines[host]; m != nil {
		m.goneSince = now
	}
}

// Expired lists the records whose machines have all been gone for longer than retention. A record
// must not be dropped earlier: until then, a machine list may still show one of its machines as
// usable.
func (r *Releases) Expired(now time.Time, retention time.Duration) []ReleaseRecord {
	needsRecord := func(host string) bool {
		m := r.machines[host]
		return m != nil && (m.goneSince.IsZero() || now.Sub(m.goneSince) <= retention)
	}
	var expired []ReleaseRecord
	for _, record := range r.records {
		if !slices.ContainsFunc(record.Hosts, needsRecord) {
			expired = append(expired, record)
		}
	}
	return expired
}

// Drop removes the records with the given keys, which the caller has deleted from the state store,
// and the machines that they list. It returns these machines.
func (r *Releases) Drop(keys []string) []string {
	var hosts []string
	r.records = slices.DeleteFunc(r.records, func(record ReleaseRecord) bool {
		if !slices.Contains(keys, record.Key) {
			return false
		}
		for _, host := range record.Hosts {
			delete(r.machines, host)
			hosts = append(hosts, host)
		}
		return true
	})
	return hosts
}

// hosts lists the machines for which match returns true, sorted by name.
func (r *Releases) hosts(match func(*release) bool) []string {
	var hosts []string
	for host, m := range r.machines {
		if match(m) {
			hosts = append(hosts, host)
		}
	}
	slices.Sort(hosts)
	return hosts
}
