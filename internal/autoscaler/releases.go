package autoscaler

import (
	"fmt"
	"slices"
	"time"

	"lotusstile.dev/lotusstile/internal/records"
)

// ReleaseRecord is a stored record that lists machines whose release is attempted.
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

// Releases are the machines that are being released to the cloud. Each is recorded first, then
// the cloud is asked to take it back until it confirms, and in the end its record is dropped.
type Releases struct {
	term       uint64
	lastRecord int // number of the last record of this term
	machines   map[string]*release
	records    []ReleaseRecord // stored, or possibly stored
}

// NewReleases makes the empty set of a term.
func NewReleases(term uint64) *Releases {
	return &Releases{term: term, machines: map[string]*release{}}
}

// Len is how many machines are being released or remembered as gone.
func (r *Releases) Len() int { return len(r.machines) }

// Start adds a machine. It reports whether it was not being released already.
func (r *Releases) Start(host string) bool {
	if r.machines[host] != nil {
		return false
	}
	r.machines[host] = &release{}
	return true
}

// Restore takes over a record of an earlier term, or of an earlier attempt to load it.
func (r *Releases) Restore(record ReleaseRecord) {
	for _, host := range record.Hosts {
		r.machines[host] = &release{recorded: true}
	}
	known := func(other ReleaseRecord) bool { return other.Key == record.Key }
	if !slices.ContainsFunc(r.records, known) {
		r.records = append(r.records, record)
	}
}

// NextRecord makes a record of machines that have none yet, as many as fit a value of so many
// bytes. found is false if there are none. A key is used once: were it written again, a late
// transaction could put an older list in the place of a newer one.
func (r *Releases) NextRecord(valueBytes int) (record ReleaseRecord, found bool) {
	hosts := r.hosts(func(m *release) bool { return !m.recorded })
	if len(hosts) == 0 {
		return ReleaseRecord{}, false
	}
	r.lastRecord++
	return ReleaseRecord{
		Key:   fmt.Sprintf("%s%d-%d", records.ReturnsPrefix, r.term, r.lastRecord),
		Hosts: records.FitNames(hosts, valueBytes),
	}, true
}

// MayBeStored remembers a record whose commit had an unknown outcome, so that it is dropped in
// the end. Its machines count as not recorded.
func (r *Releases) MayBeStored(record ReleaseRecord) { r.records = append(r.records, record) }

// Recorded remembers a record that is stored: its machines may be released.
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

// Confirm remembers that the cloud has confirmed at now that a machine is gone.
func (r *Releases) Confirm(host string, now time.Time) { r.machines[host].goneAt = now }

// StillListed remembers that a list at now shows a machine that is gone: its record is kept for
// longer. It does nothing for a machine that is not being released.
func (r *Releases) StillListed(host string, now time.Time) {
	if m := r.machines[host]; m != nil {
		m.goneAt = now
	}
}

// Expired lists the records all of whose machines have been gone for longer than keep.
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

// Drop forgets records that are not stored any more, with their machines. It returns these.
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
