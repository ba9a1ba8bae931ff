package relay

import (
	"errors"
	"fmt"
	"slices"

	"github.com/klauspost/compress/s2"

	"lotusstile.dev/lotusstile/internal/peer"
	"lotusstile.dev/lotusstile/wire"
)

// maxBatchBytes is the most that the bodies of a batch may take before compression. Heartbeats beyond
// it go with the next batch.
const maxBatchBytes = 16 * wire.MaxBody

// batch collects heartbeats until they are sent. The Sender uses each in one goroutine.
type batch struct {
	heartbeats []peer.RelayedHeartbeat
	bodies     []byte
}

// isFull reports whether another heartbeat has to wait for the next batch.
func (b *batch) isFull() bool { return len(b.bodies) >= maxBatchBytes-wire.MaxBody }

// addRepetition adds a heartbeat that differs from an earlier one in nothing but its sequence.
func (b *batch) addRepetition(heartbeat, earlier *wire.Heartbeat, pressure Pressure) {
	b.heartbeats = append(b.heartbeats, peer.RelayedHeartbeat{
		Host:        heartbeat.Host,
		Incarnation: heartbeat.Incarnation,
		Sequence:    heartbeat.Sequence,
		RepeatOf:    earlier.Sequence,
		Pressure:    uint8(pressure),
	})
}

// addFull adds a heartbeat in full.
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

// args returns the batch as the peer RPC sends it, with the bodies compressed.
func (b *batch) args(from string, term uint64) peer.HeartbeatBatch {
	args := peer.HeartbeatBatch{From: from, Term: term, Heartbeats: b.heartbeats}
	if len(b.bodies) > 0 {
		args.Bodies = s2.Encode(nil, b.bodies)
	}
	return args
}

// splitBodies returns the body of each heartbeat of a batch, nil for those that repeat an earlier one.
// An error wraps ErrMalformedBatch.
func splitBodies(args *peer.HeartbeatBatch) ([][]byte, error) {
	total := 0
	for i := range args.Heartbeats {
		size := args.Heartbeats[i].Size
		if size < 0 || size > wire.MaxBody || (size == 0) != (args.Heartbeats[i].RepeatOf > 0) {
			return nil, fmt.Errorf("%w: heartbeat %d of %d bytes", ErrMalformedBatch, i, size)
		}
		total += size
	}
	var data []byte
	if total > 0 {
		var err error
		if data, err = decompressBodies(args.Bodies, total); err != nil {
			return nil, fmt.Errorf("%w: %w", ErrMalformedBatch, err)
		}
	}
	bodies := make([][]byte, len(args.Heartbeats))
	for i := range args.Heartbeats {
		if size := args.Heartbeats[i].Size; size > 0 {
			bodies[i], data = data[:size], data[size:]
		}
	}
	return bodies, nil
}

// errBodySize means that the bodies of a batch do not have the size that the batch says.
var errBodySize = errors.New("size of the bodies")

// decompressBodies decompresses the bodies of a batch, which must take exactly size bytes. It checks
// that, and the limit of a batch, before it decompresses: a malformed batch must not exhaust memory.
func decompressBodies(block []byte, size int) ([]byte, error) {
	decoded, err := s2.DecodedLen(block)
	if err != nil {
		return nil, err
	}
	if decoded != size || decoded > maxBatchBytes {
		return nil, fmt.Errorf("%w: %d bytes, want %d", errBodySize, decoded, size)
	}
	return s2.Decode(nil, block)
}

// equalExceptSequence reports whether two heartbeats of a worker's incarnation differ in nothing but
// their sequence.
func equalExceptSequence(a, b *wire.Heartbeat) bool {
	if a.SpotNoticeS != nil || b.SpotNoticeS != nil {
		return false // the time until the machine is reclaimed differs in each heartbeat
	}
	return a.Host == b.Host && a.Address == b.Address && a.MachineType == b.MachineType && a.Zone == b.Zone && a.Spot == b.Spot &&
		a.Incarnation == b.Incarnation && a.FencingToken == b.FencingToken && slices.Equal(a.Tasks, b.Tasks)
}
