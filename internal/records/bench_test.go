package records

import "testing"

// The record of a placement of eight tasks is encoded.
func BenchmarkEncodePlacement(b *testing.B) {
	placement := Placement{NextAttempt: 2, DoneBits: []byte{0}}
	for task := range 8 {
		placement.Live = append(placement.Live, PlacedAttempt{Task: task, Attempt: 1, Host: "m-000001", Incarnation: 1})
	}
	b.ReportAllocs()
	for range b.N {
		Encode(placement)
	}
}
