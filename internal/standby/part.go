package standby

import (
	"fmt"

	"github.com/fxamacker/cbor/v2"
	"github.com/klauspost/compress/s2"

	"lotusstile.dev/lotusstile/internal/peer"
	"lotusstile.dev/lotusstile/wire"
)

// Size limits of a part, which is one message of a transfer.
const (
	// targetPartBytes is the total size of keys and values at which a part is complete.
	targetPartBytes = 256 << 10
	// maxRunningTaskBytes is the most bytes that one running task takes in the view of its job.
	maxRunningTaskBytes = 16
	// maxPartBytes is the largest allowed size of a part before compression: twice targetPartBytes, to allow for the
	// encoding, plus the last entry, which may exceed targetPartBytes. The largest entry is the view of a job with
	// wire.MaxTasks running tasks.
	maxPartBytes = 2*targetPartBytes + wire.MaxTasks*maxRunningTaskBytes
)

// encodePart returns the compressed body of a part, and its size before compression.
func encodePart(entries []*Entry) (body []byte, size int, err error) {
	plain, err := cbor.Marshal(entries)
	if err != nil {
		return nil, 0, fmt.Errorf("encode part: %w", err)
	}
	return s2.Encode(nil, plain), len(plain), nil
}

// decodePart returns the entries of a part. It checks the size before it decompresses the body, so that a corrupted
// part cannot exhaust memory. Every error wraps ErrUndecodable, ErrOversized or ErrTruncated.
func decodePart(reply *peer.FollowReply) ([]*Entry, error) {
	size, err := s2.DecodedLen(reply.Body)
	switch {
	case err != nil:
		return nil, fmt.Errorf("%w: %w", ErrUndecodable, err)
	case size > maxPartBytes || reply.Size > maxPartBytes:
		return nil, fmt.Errorf("%w: %d bytes", ErrOversized, max(size, reply.Size))
	case size != reply.Size:
		return nil, fmt.Errorf("%w: %d bytes of %d", ErrTruncated, size, reply.Size)
	}
	plain, err := s2.Decode(nil, reply.Body)
	if err != nil {
		return nil, fmt.Errorf("%w: %w", ErrUndecodable, err)
	}
	var entries []*Entry
	if err := cbor.Unmarshal(plain, &entries); err != nil {
		return nil, fmt.Errorf("%w: %w", ErrUndecodable, err)
	}
	if len(entries) != reply.Entries {
		return nil, fmt.Errorf("%w: %d entries of %d", ErrTruncated, len(entries), reply.Entries)
	}
	for _, entry := range entries {
		if entry == nil || entry.Key == "" {
			return nil, fmt.Errorf("%w: an entry without a key", ErrUndecodable)
		}
	}
	return entries, nil
}
