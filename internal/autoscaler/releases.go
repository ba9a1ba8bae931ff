package autoscaler

import (
	"fmt"
	"slices"
	"time"

	"lotusstile.dev/lotusstile/internal/records"
)

// ReleaseRecord is a stored record that lists machines whose release may be attempted. Hosts must
// not be changed.
type ReleaseRecord struct {
	Key   string
	Hosts []string
}

// release is a machine that is being released, or that is gone.
type release struct {
	recorded bool // in a stored record
	// goneAt is when the cloud confirmed the release, or last listed the machine after that.
	goneAt time.Time
}

// Releases are the machines that are being released to the cloud, or are gone. The steps of a
// release are: Start; a record is committed (NextRecord, Recorded); the cloud is asked until it
// confirms (Unconfirmed, Confirm); once no machine list can show the machine any more the record
// is dropped (Expired, Drop). A request is sent only for a machine that is recorded: a later
// leader must know that it may vanish at any time (docs/safety.md, "No task runs twice").
type Releases struct {
	term       uint64
	lastRecord int // number of the last record of this term
	machines   map[string]*release
	records    []ReleaseRecord // stored, or possibly stored
}

// NewReleases returns the empty set of a term.
func NewReleases(term uint64) *Releases {
	return &Releases{term: term, machines: map[string]*release{}}
}

// Len returns the number of machines that are being released, or are gone and still on record.
func (r *Releases) Len() int { return len(r.machines) }

// Start adds a machine that is to be released. It returns false if the machine was added before.
func (r *Releases) Start(host string) bool {
	if r.machines[host] != nil {
		return false
	}
	r.machines[host] = &release{}
	return true
}

// Restore adds a record that was read from the state store, of an earlier term. It may be called
// again with the same record, when the state is loaded once more after an error.
func (r *Releases) Restore(record ReleaseRecord) {
	for _, host := range record.Hosts {
		r.machines[host] = &release{recorded: true}
	}
	known := func(other ReleaseRecord) bool { return other.Key == record.Key }
	if !slices.ContainsFunc(r.records, known) {
		r.records = append(r.records, record)
	}
}

// NextRecord returns a record of machines that have none yet, as many as fit a value of valueBytes;
// found is false if there are none. The caller commits it, guarded by a compare for the absence of
// its key, and calls Recorded or, if the outcome is unknown, MayBeStored. A key is used once: if it
// were written again, a late transaction could replace a newer list by an older one.
func (r *Releases) NextRecord(valueBytes int) (record ReleaseRecord, found bool) {
	hosts := r.hosts(func(m *release) bool { return !m.recorded })
	if len(hosts) == 0 {
		return ReleaseRecord{}, false
	}
	r.lastRecord++
	return ReleaseRecord{
		Key:   fmt.Sprintf("%s%d-%d", records.ScaleInPrefix, r.term, r.lastRecord),
		Hosts: records.FitNames(hosts, valueBytes),
	}, true
}

// MayBeStored adds a record whose commit had an unknown outcome, so that it is dropped in the end.
// Its machines count as not recorded: another record will list them.
func (r *Releases) MayBeStored(record ReleaseRecord) { r.records = append(r.records, record) }

// Recorded adds a record that is committed: its machines may be released. All must have been added
// by Start.
func (r *Releases) Recorded(record ReleaseRecord) {
	r.records = append(r.records, record)
	for _, host := range record.Hosts {
		r.machines[host].recorded = true
	}
}

// Unconfirmed lists at most limit machines that are recorded and that the cloud has not confirmed
// to be gone, in order of their names.
func (r *Releases) Unconfirmed(limit int) []string {
	hosts := r.hosts(func(m *release) bool { return m.recorded && m.goneAt.IsZero() })
	return hosts[:min(len(hosts), limit)]
}

// Confirm records that the cloud confirmed at now the release of a machine, which must be one that
// Unconfirmed has listed.
func (r *Releases) Confirm(host string, now time.Time) { r.machines[host].goneAt = now }

// StillListed records that a machine list read at now shows a machine that is gone: its record
// stays for longer. It does nothing for a machine that is not being released.
func (r *Releases) StillListed(host string, now time.Time) {
	if m := r.machines[host]; m != nil {
		m.goneAt = now
	}
}

// Expired lists the records all of whose machines have been gone for longer than keep. A record
// may be dropped only then: until then a machine list may show a machine as if it could be used.
func (r *Releases) Expired(now time.Time, keep time.Duration) []ReleaseRecord {
	isKept := func(host string) bool {
		m := r.machines[host]
		return m != nil && (m.goneAt.IsZero() || now.Sub(m.goneAt) <= keep)
	}
	var expired []ReleaseRecord
	for _, record := range r.records {
		if !slices.ContainsFunc(record.Hosts, isKept) {
			expired = append(expired, record)
		}
	}
	return expired
}

// Drop removes the records with these keys, which are no longer stored, and their machines. It
// returns the machines.
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

// hosts lists the machines that match, in order of their names.
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
