// Package records defines the records in the state store: their keys, formats and sizes.
//
// Every record is JSON. The JSON names must not change, since nodes of two releases read each other's
// records; the names of the Go fields may change. The keys, by prefix:
//
//	e/leader            the leader's label, attached to its lease; the key's modification revision
//	                    is the term
//	e/term              written in the same commit as e/leader but never dropped, so that its
//	                    modification revision is always the latest term
//	j/<uid>             an accepted job that is not archived yet
//	p/<uid>/<number>    one of the job's placement records: attempts that may be running, tasks that are done
//	f/<uid>             the final status of an archived job, never dropped
//	r/<term>-<number>   machines that are being released to the cloud: they may be terminated at any time
//	i/<host>            the images that were seen on a machine
//	k/<node>/<number>   machines whose worker leases a node renews while it cannot reach the leader
//	t/last              how the last failover went
//	o/settings          the settings that the operators have set
//	o/version           the cluster version: which formats of records are in use
//	o/release/<node>    the version that a node understands, attached to a lease; the node revokes the
//	                    lease once that version is in force
package records

import (
	"encoding/json"
	"fmt"
)

// Leader is the value of LeaderKey and TermKey.
type Leader struct {
	Node string `json:"Node"` // label of the leader
}

// ClusterVersion is the value of VersionKey and of the keys under ReleasePrefix.
type ClusterVersion struct {
	Version int `json:"Version"`
}

// MachineReleases lists machines that are being released to the cloud. They may be terminated at any time, so they are
// never used again, and the request is repeated until the cloud confirms it.
type MachineReleases struct {
	Hosts []string `json:"Hosts"`
}

// Images lists images that were seen on a machine. The scheduler uses the list only as a hint.
type Images struct {
	Names []string `json:"Names"`
}

// RenewedLeases lists machines whose worker leases a node renews on behalf of the leader while it cannot
// reach the leader by peer RPC. The leader reads the list from the state store.
type RenewedLeases struct {
	Hosts []string `json:"Hosts"`
}

// FitNames returns as many of the first names as fit into a value of valueBytes, for a record that has one
// list of names and no other field; at least one name.
func FitNames(names []string, valueBytes int) []string {
	size := len(`{"Hosts":[]}`)
	for i, name := range names {
		if size += len(Encode(name)) + len(","); size > valueBytes && i > 0 {
			return names[:i]
		}
	}
	return names
}

// Encode returns the value of a record. It panics if the record cannot be encoded; the types of this
// package always can.
func Encode(record any) json.RawMessage {
	value, err := json.Marshal(record)
	if err != nil {
		panic(fmt.Sprintf("records: encode %T: %v", record, err))
	}
	return value
}
