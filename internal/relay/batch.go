package relay

import (
	"fmt"
	"slices"

	"github.com/klauspost/compress/s2"

	"lotusstile.dev/lotusstile/internal/peer"
	"lotusstile.dev/lotusstile/wire"
)

// maxBatchBytes is how much a batch may hold of reports that are sent in full, before
// compression. What is over it goes with the next batch.
const maxBatchBytes = 16 * wire.MaxBody

// batch collects reports until they are sent.
type batch struct {
	heartbeats []peer.RelayedHeartbeat
	bodies     []byte
}

// isFull reports whether another report has to wait for the next batch.
func (b *batch) isFull() bool { return len(b.bodies) >= maxBatchBytes-wire.MaxBody }

// addRepetition adds a report that differs from an earlier one in nothing but its tick.
func (b *batch) addRepetition(r, earlier *wire.Heartbeat, pressure Pressure) {
	b.heartbeats = append(b.heartbeats, peer.RelayedHeartbeat{Host: r.Host, Incarnation: r.Incarnation, Sequence: r.Sequence, RepeatOf: earlier.Sequence, Pressure: uint8(pressure)})
}

// add adds a report in full.
func (b *batch) addFull(r *wire.Heartbeat, body []byte, pressure Pressure) {
	b.heartbeats = append(b.heartbeats, peer.RelayedHeartbeat{Host: r.Host, Incarnation: r.Incarnation, Sequence: r.Sequence, Size: len(body), Pressure: uint8(pressure)})
	b.bodies = append(b.bodies, body...)
}

// args is the batch as it is sent.
func (b *batch) args(from string, term uint64) peer.HeartbeatBatch {
	args := peer.HeartbeatBatch{From: from, Term: term, Heartbeats: b.heartbeats}
	if len(b.bodies) > 0 {
		args.Bodies = s2.Encode(nil, b.bodies)
	}
	return args
}

// splitBodies takes a received batch apart: one body for each report, nil for those that
// repeat an earlier one.
func splitBodies(args *peer.HeartbeatBatch) ([][]byte, error) {
	want := 0
	for i := range args.Heartbeats {
		size := args.Heartbeats[i].Size
		if size < 0 || size > wire.MaxBody || (size == 0) != (args.Heartbeats[i].RepeatOf > 0) {
			return nil, fmt.Errorf("%w: report %d of %d bytes", ErrMalformedBatch, i, size)
		}
		want += size
	}
	var data []byte
	if want > 0 {
		size, err := s2.DecodedLen(args.Bodies)
		if err != nil || size != want || size > maxBatchBytes {
			return nil, fmt.Errorf("%w: %d bytes of bodies, want %d: %v", ErrMalformedBatch, size, want, err)
		}
		if data, err = s2.Decode(nil, args.Bodies); err != nil {
			return nil, fmt.Errorf("%w: %v", ErrMalformedBatch, err)
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

// equalExceptSequence reports whether two reports of a worker say the same in the same session.
func equalExceptSequence(a, b *wire.Heartbeat) bool {
	if a.SpotNoticeS != nil || b.SpotNoticeS != nil {
		return false // the notice runs down
	}
	return a.Host == b.Host && a.Address == b.Address && a.MachineType == b.MachineType && a.Zone == b.Zone && a.Spot == b.Spot &&
		a.Incarnation == b.Incarnation && a.FencingToken == b.FencingToken && slices.Equal(a.Tasks, b.Tasks)
}
