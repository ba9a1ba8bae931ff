package peer

// FollowArgs asks the leader for one part of a transfer of its state.
type FollowArgs struct {
	From string // label of the standby
	Term uint64 // term of the leader that it means
	// Transfer and Part name the part. Transfer 0 begins a new transfer, of what has
	// changed since Have; of everything if Have is 0 or too old.
	Transfer uint64
	Part     int
	Have     uint64 // sequence number up to which the standby has all changes of this term
}

// FollowReply is one part.
type FollowReply struct {
	Term    uint64
	Leading bool // leads the term that was asked for, and has something to follow
	// Transfer is 0 if the transfer that was asked for is no longer kept.
	Transfer uint64
	Part     int
	Last     bool   // the transfer ends with this part
	Full     bool   // the transfer holds everything, not changes since Base
	Base     uint64 // sequence number that the changes follow on
	// What holds once the last part is taken: sequence number, position in the state
	// service's history up to which all records are part of it, and digest.
	Sequence, Position, Digest uint64
	Entries                    int // in Body
	Size                       int // of Body, decompressed
	Body                       []byte
}

// FollowState answers a standby.
func (n *Node) FollowState(a FollowArgs, r *FollowReply) error {
	reply, err := n.h.FollowState(a)
	*r = reply
	return err
}

// FollowState asks the peer for a part of its state.
func (p *Peer) FollowState(a FollowArgs) (FollowReply, error) {
	var r FollowReply
	err := p.call(serviceName+".FollowState", a, &r, p.timeout)
	return r, err
}
