// Package records holds the records that the state store keeps: their keys, formats and sizes.
//
// Every record is JSON. The JSON names are fixed, since nodes of two releases read each other's
// records; the names of the Go fields are free. Keys, by prefix:
//
//	e/leader            the leader's label, attached to its lease; the key's modification revision
//	                    is the term
//	e/term              written in one commit with e/leader but never dropped: its modification
//	                    revision is the latest term
//	j/<uid>             an accepted job that is not archived yet
//	p/<uid>/<number>    one of the job's placement records: attempts that may run, tasks that are done
//	f/<uid>             the final status of an archived job, never dropped
//	r/<term>-<number>   machines whose scale-in was requested: they may be gone at any time
//	i/<host>            the images that were seen on a machine
//	k/<node>/<number>   machines whose worker leases a node renews while it cannot reach the leader
//	t/last              how the last failover went
//	o/settings          the operators' own settings
//	o/version           the cluster version: which formats of records are in use
//	o/release/<node>    the version that a node understands, attached to a lease, until it is in force
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

// ScaleIns lists machines whose scale-in was requested. They may be gone at any time: they are
// never used again, and the request is repeated until the cloud confirms it.
type ScaleIns struct {
	Hosts []string `json:"Hosts"`
}

// Images lists images that were seen on a machine. It only guides placement.
type Images struct {
	Names []string `json:"Names"`
}

// RenewedLeases lists machines whose worker leases a node renews on behalf of a leader that it
// cannot reach. The leader reads the list from the state store where peer RPC does not arrive.
type RenewedLeases struct {
	Hosts []string `json:"Hosts"`
}

// FitNames returns the longest prefix of names that a record with one list of names holds in a value
// of valueBytes, but at least one name.
func FitNames(names []string, valueBytes int) []string {
	size := len(`{"Hosts":[]}`)
	for i, name := range names {
		if size += len(Encode(name)) + len(","); size > valueBytes && i > 0 {
			return names[:i]
		}
	}
	return names
}

// Encode returns the value of a record. The records are plain structs, which can always be encoded;
// it panics for anything that cannot.
func Encode(record any) json.RawMessage {
	value, err := json.Marshal(record)
	if err != nil {
		panic(fmt.Sprintf("records: encode %T: %v", record, err))
	}
	return value
}
