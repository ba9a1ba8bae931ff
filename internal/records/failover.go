package records

// Failover is how a change of leader went: what the new leader has proven, and when.
// Times are milliseconds since the new leader saw that nobody leads.
type Failover struct {
	Term uint64 `json:"Term"`
	Node string `json:"Node"` // label of the new leader
	// Warm: the new leader started from its warm standby's copy. If not, Cause says why, and it
	// has listed all records.
	Warm  bool   `json:"Warm"`
	Cause string `json:"Cause,omitempty"`
	// The warm standby's copy: the followed leader's term, the revision of the state store up to
	// which all records were part of it, its digest and its age, and how many changes the
	// store had made since.
	FollowedTerm uint64 `json:"FollowedTerm,omitempty"`
	Position     uint64 `json:"Position,omitempty"`
	Digest       string `json:"Digest,omitempty"`
	AgeMs        int64  `json:"AgeMs,omitempty"`
	Changes      int    `json:"Changes,omitempty"`
	// The new leader's snapshot: machines that may run tasks, and attempts that may be on them.
	Machines int `json:"Machines"`
	Attempts int `json:"Attempts"`
	// At 0 the state store has shown that the lease of the leader before has ended.
	ElectedMs int64 `json:"ElectedMs"`
	LoadedMs  int64 `json:"LoadedMs"`  // all records are known
	ReadyMs   int64 `json:"ReadyMs"`   // the first machine has sent a heartbeat with the new fencing token
	DecidedMs int64 `json:"DecidedMs"` // the first scheduling cycle that could place tasks has ended
}
