package records

import "testing"

// BenchmarkEncodePlacement encodes a placement record of eight tasks in the plain form.
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
