package records

// Failover reports how the latest change of leader went: which steps the new leader has completed, and
// when. ElectedMs and the times after it are in milliseconds since the new leader observed that there
// was no leader.
type Failover struct {
	Term uint64 `json:"Term"`
	Node string `json:"Node"` // label of the new leader
	// Warm means that the new leader started from its warm standby's copy of the records. If it did
	// not, it listed all records instead, and Cause says why.
	Warm  bool   `json:"Warm"`
	Cause string `json:"Cause,omitempty"`
	// State of the warm standby's copy at the time of the failover.
	FollowedTerm uint64 `json:"FollowedTerm,omitempty"` // term of the leader from which the records were copied
	Position     uint64 `json:"Position,omitempty"`     // revision of the state store up to which the copy was complete
	Digest       string `json:"Digest,omitempty"`
	AgeMs        int64  `json:"AgeMs,omitempty"`
	Changes      int    `json:"Changes,omitempty"` // changes of records in the store after Position
	// Numbers in the new leader's snapshot: machines that may run tasks, and attempts that may run on them.
	Machines int `json:"Machines"`
	Attempts int `json:"Attempts"`
	// The new leader observes that there is no leader when the state store shows that the previous
	// leader's lease has ended.
	ElectedMs int64 `json:"ElectedMs"` // the new leader was elected
	LoadedMs  int64 `json:"LoadedMs"`  // the new leader had all records
	ReadyMs   int64 `json:"ReadyMs"`   // a machine sent the first heartbeat with the new fencing token
	DecidedMs int64 `json:"DecidedMs"` // the first scheduling cycle that could place tasks ended
}
