package wire

import "encoding/json"

// KeyValue is a key of the state store with its value.
type KeyValue struct {
	Key         string          `json:"Key"`
	Value       json.RawMessage `json:"Value"`
	ModRevision uint64          `json:"Stamp"`            // the store's revision at its last change
	LeaseID     uint64          `json:"Permit,omitempty"` // lease that it is attached to; 0: none
}

// KeyValueList answers GET /kv?Under=.
type KeyValueList struct {
	KeyValues []KeyValue `json:"Rows"`
	More      bool       `json:"More"`
	Revision  uint64     `json:"Epoch"` // of the store: counts all changes
}

// Compare is a condition of a transaction: the key has this mod revision (0: it does not exist).
type Compare struct {
	Key         string `json:"Key"`
	ModRevision uint64 `json:"Stamp"`
}

// Change is one write of a transaction: a Set with a Value, or a Drop.
type Change struct {
	Set     string          `json:"Set,omitempty"`
	Value   json.RawMessage `json:"Value,omitempty"`
	LeaseID uint64          `json:"Permit,omitempty"`
	Drop    string          `json:"Drop,omitempty"`
}

// Transaction is the body of POST /commit: the changes apply if all conditions hold.
type Transaction struct {
	Compares []Compare `json:"Guards"`
	Changes  []Change  `json:"Apply"`
}

// TransactionResponse answers POST /commit.
type TransactionResponse struct {
	Revision uint64   `json:"Epoch"`
	Failed   []string `json:"failed"` // keys whose conditions did not hold
}

// Lease answers POST /holds: a lease of the state store.
type Lease struct {
	LeaseID uint64 `json:"Permit"`
}

// LeaseRequest is the body of POST /holds.
type LeaseRequest struct {
	TTLMs int64 `json:"TtlMs"`
}

// WatchEvent is one change that a watch sees: Set or Drop is the key.
type WatchEvent struct {
	Set         string          `json:"Set"`
	Drop        string          `json:"Drop"`
	Value       json.RawMessage `json:"Value"`
	ModRevision uint64          `json:"Stamp"`
}

// WatchResponse answers GET /changes.
type WatchResponse struct {
	Revision uint64       `json:"Epoch"`
	Events   []WatchEvent `json:"News"`
}
