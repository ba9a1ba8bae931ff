package records

import (
	"reflect"
	"testing"
)

// A placement record that is accepted encodes in both forms to a record with the same content.
func FuzzDecodePlacement(f *testing.F) {
	placement := Placement{NextAttempt: 3, DoneBits: []byte{5}, Live: []PlacedAttempt{
		{Task: 1, Attempt: 2, Host: "m-000001", Incarnation: 4},
		{Task: 2, Attempt: 2, Host: "m-000001", Incarnation: 4},
		{Task: 7, Attempt: 1, Host: "m-000010", Incarnation: 1},
	}}
	for _, allowDense := range []bool{false, true} {
		f.Add([]byte(EncodePlacement(placement, 1, allowDense)))
	}
	f.Fuzz(func(t *testing.T, value []byte) {
		decoded, err := DecodePlacement(value)
		if err != nil {
			return
		}
		plain, err := DecodePlacement(EncodePlacement(decoded, 1, false))
		if err != nil {
			t.Fatalf("%q: the plain form of %+v is refused: %v", value, decoded, err)
		}
		dense, err := DecodePlacement(EncodePlacement(plain, 1, true))
		if err != nil || !reflect.DeepEqual(dense, plain) {
			t.Errorf("%q: in the dense form %+v, error %v; in the plain form %+v", value, dense, err, plain)
		}
	})
}
