package wire

import "encoding/json"

// KeyValue is a key of the state store with its value.
type KeyValue struct {
	Key         string          `json:"Key"`
	Value       json.RawMessage `json:"Value"`
	ModRevision uint64          `json:"Stamp"`            // the store's revision at the last change of the key
	LeaseID     uint64          `json:"Permit,omitempty"` // lease that the key is attached to; 0: none
}

// KeyValueList is the response to GET /kv?Under=: one page of the keys with a prefix.
type KeyValueList struct {
	KeyValues []KeyValue `json:"Rows"`
	More      bool       `json:"More"`  // another page follows
	Revision  uint64     `json:"Epoch"` // of the store: the number of all its changes
}

// Compare is a condition of a transaction: the key has this mod revision. Mod revision 0 requires that
// the key does not exist.
type Compare struct {
	Key         string `json:"Key"`
	ModRevision uint64 `json:"Stamp"`
}

// Change is one write of a transaction. It either sets the key Set to Value or deletes the key Drop.
type Change struct {
	Set     string          `json:"Set,omitempty"`
	Value   json.RawMessage `json:"Value,omitempty"`
	LeaseID uint64          `json:"Permit,omitempty"`
	Drop    string          `json:"Drop,omitempty"`
}

// Transaction is the body of POST /commit: all changes apply if all conditions hold, otherwise none.
type Transaction struct {
	Compares []Compare `json:"Guards"`
	Changes  []Change  `json:"Apply"`
}

// TransactionResponse is the response to POST /commit.
type TransactionResponse struct {
	Revision uint64   `json:"Epoch"`
	Failed   []string `json:"failed"` // keys whose conditions did not hold; empty: committed
}

// Lease is the response to POST /holds: a lease of the state store.
type Lease struct {
	LeaseID uint64 `json:"Permit"`
}

// LeaseRequest is the body of POST /holds.
type LeaseRequest struct {
	TTLMs int64 `json:"TtlMs"`
}

// WatchEvent is one change in a watch: Set is the key that was set, or Drop the key that was deleted.
type WatchEvent struct {
	Set         string          `json:"Set"`
	Drop        string          `json:"Drop"`
	Value       json.RawMessage `json:"Value"`
	ModRevision uint64          `json:"Stamp"`
}

// WatchResponse is the response to GET /changes.
type WatchResponse struct {
	Revision uint64       `json:"Epoch"`
	Events   []WatchEvent `json:"News"`
}
