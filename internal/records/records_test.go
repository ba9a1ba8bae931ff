package records

import (
	"flag"
	"slices"
	"testing"

	"pgregory.net/rapid"
)

// init fixes the seed so that every run draws the same inputs; -rapid.seed sets another seed.
func init() { _ = flag.Set("rapid.seed", "1") }

// FitNames splits a list of machines so that each part fits into a value and no machine is lost. Before
// lists were split, a record of a thousand machines exceeded the maximum value size.
func TestFitNamesSplits(t *testing.T) {
	splits := 0
	rapid.Check(t, func(t *rapid.T) {
		const valueBytes = 128
		hosts := rapid.SliceOfN(rapid.StringMatching(`m-[0-9"<]{1,20}`), 1, 200).Draw(t, "hosts")
		var got []string
		for remaining := hosts; len(remaining) > 0; {
			part := FitNames(remaining, valueBytes)
			if len(part) == 0 {
				t.Fatal("FitNames returned no name, want at least one")
			}
			if n := len(Encode(MachineReleases{Hosts: part})); n > valueBytes {
				t.Fatalf("%d names take %d bytes, want at most %d", len(part), n, valueBytes)
			}
			got, remaining = append(got, part...), remaining[len(part):]
			if len(remaining) > 0 {
				splits++
			}
		}
		if !slices.Equal(got, hosts) {
			t.Fatalf("the parts hold %d names %v, want the %d names %v", len(got), got, len(hosts), hosts)
		}
	})
	if splits == 0 {
		t.Error("no list was split, want at least one")
	}
}
