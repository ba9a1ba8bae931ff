package records

// Failover is how the latest change of leader went: what the new leader has achieved, and when.
// Times are milliseconds since the new leader observed that nobody leads.
type Failover struct {
	Term uint64 `json:"Term"`
	Node string `json:"Node"` // label of the new leader
	// Warm: the new leader started from its warm standby's copy. If not, Cause says why, and it
	// has listed all records.
	Warm  bool   `json:"Warm"`
	Cause string `json:"Cause,omitempty"`
	// The warm standby's copy at the time of the failover.
	FollowedTerm uint64 `json:"FollowedTerm,omitempty"` // the term of the leader that it was copied from
	Position     uint64 `json:"Position,omitempty"`     // revision of the state store up to which it had all records
	Digest       string `json:"Digest,omitempty"`
	AgeMs        int64  `json:"AgeMs,omitempty"`
	Changes      int    `json:"Changes,omitempty"` // of records in the store after Position
	// The new leader's snapshot: machines that may run tasks, and attempts that may be on them.
	Machines int `json:"Machines"`
	Attempts int `json:"Attempts"`
	// At 0 the state store has shown that the lease of the leader before has ended.
	ElectedMs int64 `json:"ElectedMs"`
	LoadedMs  int64 `json:"LoadedMs"`  // all records are known
	ReadyMs   int64 `json:"ReadyMs"`   // the first machine has sent a heartbeat with the new fencing token
	DecidedMs int64 `json:"DecidedMs"` // the first scheduling cycle that could place tasks has ended
}
