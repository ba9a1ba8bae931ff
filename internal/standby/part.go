package standby

import (
	"fmt"

	"github.com/fxamacker/cbor/v2"
	"github.com/klauspost/compress/s2"

	"lotusstile.dev/lotusstile/internal/peer"
	"lotusstile.dev/lotusstile/wire"
)

// Limits of a part.
const (
	// partBytes is the size of keys and values after which a part ends.
	partBytes = 256 << 10
	// runningTaskBytes is the most that a running task takes in the view of its job.
	runningTaskBytes = 16
	// maxPartBytes is the most that a part may take decompressed: twice partBytes, for the encoding,
	// and one more entry, the largest of which is the view of a job all of whose tasks run.
	maxPartBytes = 2*partBytes + wire.MaxTasks*runningTaskBytes
)

// encodePart returns the body of a part, and its size before compression.
func encodePart(entries []*Entry) (body []byte, size int, err error) {
	plain, err := cbor.Marshal(entries)
	if err != nil {
		return nil, 0, fmt.Errorf("encode part: %w", err)
	}
	return s2.Encode(nil, plain), len(plain), nil
}

// decodePart returns the entries of a part. It checks the size before it decompresses: a wrong part
// must not exhaust memory. An error wraps ErrUndecodable, ErrOversized or ErrTruncated.
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
