package relay

import (
	"errors"
	"fmt"
	"slices"

	"github.com/klauspost/compress/s2"

	"lotusstile.dev/lotusstile/internal/peer"
	"lotusstile.dev/lotusstile/wire"
)

// maxBatchBytes limits the total size of the bodies in a batch, before compression. Heartbeats that exceed
// it go into the next batch.
const maxBatchBytes = 16 * wire.MaxBody

// batch collects heartbeats until they are sent. It is not safe for concurrent use.
type batch struct {
	heartbeats []peer.RelayedHeartbeat
	bodies     []byte
}

// isFull reports whether the batch may lack space for another heartbeat, whose body can have wire.MaxBody bytes.
func (b *batch) isFull() bool { return len(b.bodies) >= maxBatchBytes-wire.MaxBody }

// addRepetition adds a heartbeat that differs from an earlier one only in its sequence number, as a reference to
// that one.
func (b *batch) addRepetition(heartbeat, earlier *wire.Heartbeat, pressure Pressure) {
	b.heartbeats = append(b.heartbeats, peer.RelayedHeartbeat{
		Host:        heartbeat.Host,
		Incarnation: heartbeat.Incarnation,
		Sequence:    heartbeat.Sequence,
		RepeatOf:    earlier.Sequence,
		Pressure:    uint8(pressure),
	})
}

// addFull adds a heartbeat with its whole body.
func (b *batch) addFull(heartbeat *wire.Heartbeat, body []byte, pressure Pressure) {
	b.heartbeats = append(b.heartbeats, peer.RelayedHeartbeat{
		Host:        heartbeat.Host,
		Incarnation: heartbeat.Incarnation,
		Sequence:    heartbeat.Sequence,
		Size:        len(body),
		Pressure:    uint8(pressure),
	})
	b.bodies = append(b.bodies, body...)
}

// encode returns the batch in the form that the peer RPC sends, with compressed bodies.
func (b *batch) encode(from string, term uint64) peer.HeartbeatBatch {
	encoded := peer.HeartbeatBatch{From: from, Term: term, Heartbeats: b.heartbeats}
	if len(b.bodies) > 0 {
		encoded.Bodies = s2.Encode(nil, b.bodies)
	}
	return encoded
}

// splitBodies returns the body of each heartbeat in a batch, or nil for a heartbeat that repeats an earlier one.
// Its errors wrap ErrMalformedBatch.
func splitBodies(batch *peer.HeartbeatBatch) ([][]byte, error) {
	total := 0
	for i := range batch.Heartbeats {
		size := batch.Heartbeats[i].Size
		if size < 0 || size > wire.MaxBody || (size == 0) != (batch.Heartbeats[i].RepeatOf > 0) {
			return nil, fmt.Errorf("%w: heartbeat %d of %d bytes", ErrMalformedBatch, i, size)
		}
		total += size
	}
	var data []byte
	if total > 0 {
		var err error
		if data, err = decompressBodies(batch.Bodies, total); err != nil {
			return nil, fmt.Errorf("%w: %w", ErrMalformedBatch, err)
		}
	}
	bodies := make([][]byte, len(batch.Heartbeats))
	for i := range batch.Heartbeats {
		if size := batch.Heartbeats[i].Size; size > 0 {
			bodies[i], data = data[:size], data[size:]
		}
	}
	return bodies, nil
}

// errBodySize means that the decompressed bodies of a batch do not have the size that its headers state.
var errBodySize = errors.New("size of the bodies")

// decompressBodies decompresses the bodies of a batch, which must be exactly size bytes long. It checks the size
// and maxBatchBytes before it decompresses, so that a malformed batch cannot exhaust memory.
func decompressBodies(block []byte, size int) ([]byte, error) {
	decodedSize, err := s2.DecodedLen(block)
	if err != nil {
		return nil, err
	}
	if decodedSize != size || decodedSize > maxBatchBytes {
		return nil, fmt.Errorf("%w: %d bytes, want %d", errBodySize, decodedSize, size)
	}
	return s2.Decode(nil, block)
}

// equalExceptSequence reports whether two heartbeats of the same worker incarnation differ only in their sequence
// number.
func equalExceptSequence(a, b *wire.Heartbeat) bool {
	if a.SpotNoticeS != nil || b.SpotNoticeS != nil {
		return false // the time until the machine is reclaimed differs from heartbeat to heartbeat
	}
	return a.Host == b.Host && a.Address == b.Address && a.MachineType == b.MachineType && a.Zone == b.Zone && a.Spot == b.Spot &&
		a.Incarnation == b.Incarnation && a.FencingToken == b.FencingToken && slices.Equal(a.Tasks, b.Tasks)
}
