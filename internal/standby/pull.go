package standby

import (
	"fmt"

	"lotusstile.dev/lotusstile/internal/peer"
)

// receiveTransfer receives all parts of one transfer and returns the resulting copy. It does not hold f.mu
// while it waits for the leader.
func (f *Follower) receiveTransfer(leader string, term uint64, base *stateCopy) (*stateCopy, error) {
	args := peer.FollowArgs{From: f.Label, Term: term}
	if base != nil {
		args.Have = base.sequence
	}
	var edit *contentsEditor
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
		f.addReceivedBytes(len(reply.Body))
		if reply.Last {
			return finishTransfer(edit, &reply, leader)
		}
		args.Transfer, args.Part = reply.Transfer, args.Part+1
	}
}

// fetchPart requests one part and checks that the reply contains that part.
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

// checkPart returns an error if a part is not the next one of its transfer, or if the transfer does not build on base.
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

// editorFor returns an editor of the contents that a transfer builds on. If the leader sends everything again although
// there is a copy, the state changes to Behind.
func (f *Follower) editorFor(reply *peer.FollowReply, base *stateCopy) *contentsEditor {
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

// finishTransfer returns the copy that results from a complete transfer. If the copy's digest differs from the
// leader's, it returns an error that wraps ErrDigest.
func finishTransfer(edit *contentsEditor, reply *peer.FollowReply, leader string) (*stateCopy, error) {
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

func (f *Follower) addReceivedBytes(bytes int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.receivedBytes += uint64(bytes)
}
