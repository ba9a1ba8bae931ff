package records

import (
	"flag"
	"slices"
	"testing"

	"pgregory.net/rapid"
)

// The same inputs every run; -rapid.seed draws others.
func init() { _ = flag.Set("rapid.seed", "1") }

// Lists of machines are split so that each part fits a value, and none is lost:
// one list of a thousand machines was over the largest value.
func TestFitNamesSplits(t *testing.T) {
	split := 0
	rapid.Check(t, func(t *rapid.T) {
		const valueBytes = 128
		hosts := rapid.SliceOfN(rapid.StringMatching(`m-[0-9"<]{1,20}`), 1, 200).Draw(t, "hosts")
		var got []string
		for left := hosts; len(left) > 0; {
			part := FitNames(left, valueBytes)
			if len(part) == 0 {
				t.Fatal("an empty part")
			}
			if n := len(Encode(ScaleIns{Hosts: part})); n > valueBytes {
				t.Fatalf("%d names take %d bytes", len(part), n)
			}
			got, left = append(got, part...), left[len(part):]
			if len(left) > 0 {
				split++
			}
		}
		if !slices.Equal(got, hosts) {
			t.Fatalf("%d names of %d", len(got), len(hosts))
		}
	})
	if split == 0 {
		t.Error("nothing was split")
	}
}
