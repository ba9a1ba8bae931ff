package peer

import "lotusstile.dev/lotusstile/wire"

// RelayArgs is a batch of workers' reports that a follower relays to the leader.
type RelayArgs struct {
	From    string // label of the follower
	Term    uint64 // term of the leader that the follower means
	Reports []RelayedReport
	// Bodies holds the JSON bodies of the reports that are sent in full, one after the
	// other in the order of Reports, as one S2 block.
	Bodies []byte
}

// RelayedReport is one report of a batch. It is sent in full, or as a repetition of an
// earlier report of the same session that differs in nothing but Tick.
type RelayedReport struct {
	Host        string
	Shift, Tick uint64
	Repeats     uint64 // Tick of the report that this one repeats; 0: it is sent in full
	Size        int    // bytes of the body if it is sent in full
	Pressure    uint8  // how short of connections the follower is: a relay.Pressure
}

// RelayReply returns the answers that the leader has ready for the follower's workers,
// to reports of this batch and of earlier ones.
type RelayReply struct {
	Term    uint64
	Leading bool // the callee leads the term of the batch; if not, it has taken nothing
	Answers []RelayedAnswer
	Resend  []string // hosts whose reports repeat one that the leader does not have
}

// RelayedAnswer is the leader's answer to one report: what the follower has to answer
// the worker that waits for it.
type RelayedAnswer struct {
	Host        string
	Shift, Tick uint64 // of the report
	Status      int
	Orders      wire.Orders   // with 200
	Redirect    wire.Redirect // with 421
}

// RelayReports answers a batch of relayed reports.
func (n *Node) RelayReports(a RelayArgs, r *RelayReply) error {
	reply, err := n.h.RelayReports(a)
	*r = reply
	return err
}

// RelayReports sends a batch of reports to the peer.
func (p *Peer) RelayReports(a RelayArgs) (RelayReply, error) {
	var r RelayReply
	err := p.call(serviceName+".RelayReports", a, &r, p.timeout)
	return r, err
}
