package standby

import (
	"fmt"

	"lotusstile.dev/lotusstile/internal/peer"
)

// transfer receives all parts of one transfer and returns the copy that results. It holds no lock
// while it waits for the leader.
func (f *Follower) transfer(leader string, term uint64, base *stateCopy) (*stateCopy, error) {
	args := peer.FollowArgs{From: f.Label, Term: term}
	if base != nil {
		args.Have = base.sequence
	}
	var edit *editor
	for {
		reply, err := f.fetchPart(leader, args, base)
		if err != nil {
			return nil, err
		}
		if edit == nil {
			edit = f.editorFor(&reply, base)
		}
		entries, err := decodePart(&reply)
		if err != nil {
			return nil, err
		}
		for _, entry := range entries {
			edit.apply(entry)
		}
		f.addReceived(len(reply.Body))
		if reply.Last {
			return finishTransfer(edit, &reply, leader)
		}
		args.Transfer, args.Part = reply.Transfer, args.Part+1
	}
}

// fetchPart requests one part and checks that the reply is that part.
func (f *Follower) fetchPart(leader string, args peer.FollowArgs, base *stateCopy) (peer.FollowReply, error) {
	reply, err := f.Fetch(leader, args)
	switch {
	case err != nil:
		return reply, fmt.Errorf("part %d: %w", args.Part, err)
	case !reply.Leading || reply.Transfer == 0:
		return reply, errNotOffered
	case reply.Term != args.Term:
		return reply, fmt.Errorf("%w: %d, not %d", ErrWrongTerm, reply.Term, args.Term)
	}
	return reply, checkPart(args, &reply, base)
}

// checkPart refuses a part that does not follow on the copy or on the part before.
func checkPart(args peer.FollowArgs, reply *peer.FollowReply, base *stateCopy) error {
	switch {
	case reply.Part != args.Part, args.Transfer != 0 && reply.Transfer != args.Transfer:
		return fmt.Errorf("%w: part %d of %d, not %d of %d", ErrOutOfOrder, reply.Part, reply.Transfer, args.Part, args.Transfer)
	case !reply.Full && (base == nil || reply.Base != base.sequence || reply.Sequence < base.sequence):
		return fmt.Errorf("%w: changes from %d to %d", ErrOutOfOrder, reply.Base, reply.Sequence)
	case !reply.Full && reply.Position < base.position:
		return fmt.Errorf("%w: the position goes back from %d to %d", ErrOutOfOrder, base.position, reply.Position)
	}
	return nil
}

// editorFor returns an editor of the contents that a transfer builds on. A follower that has to pull
// everything again is marked as behind.
func (f *Follower) editorFor(reply *peer.FollowReply, base *stateCopy) *editor {
	if !reply.Full {
		return base.edit()
	}
	if base != nil {
		f.mu.Lock()
		f.setState(Behind, "the leader does not keep changes that old")
		f.mu.Unlock()
	}
	return emptyContents().edit()
}

// finishTransfer returns the copy that results from a complete transfer, or ErrDigest if its digest is
// not the leader's.
func finishTransfer(edit *editor, reply *peer.FollowReply, leader string) (*stateCopy, error) {
	next := &stateCopy{
		contents: edit.contents(),
		term:     reply.Term,
		leader:   leader,
		sequence: reply.Sequence,
		position: reply.Position,
	}
	if next.digest != reply.Digest {
		return nil, fmt.Errorf("%w at %d", ErrDigest, reply.Sequence)
	}
	return next, nil
}

func (f *Follower) addReceived(bytes int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.receivedBytes += uint64(bytes)
}
