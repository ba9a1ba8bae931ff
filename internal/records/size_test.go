package records

import (
	"fmt"
	"testing"
)

// FitNames splits the names of 4,096 and 6,000 machines into records of 1 KiB and 8 KiB without losing one.
func TestNamesOfALargeFleetFitRecords(t *testing.T) {
	for _, machines := range []int{4096, 6000} {
		for _, valueBytes := range []int{1 << 10, 8 << 10} {
			var names []string
			for i := range machines {
				names = append(names, fmt.Sprintf("m-%06d", i))
			}
			listed := 0
			for len(names) > 0 {
				part := FitNames(names, valueBytes)
				if size := len(Encode(MachineReleases{Hosts: part})); size > valueBytes {
					t.Fatalf("a record has %d bytes, want at most %d", size, valueBytes)
				}
				if want := fmt.Sprintf("m-%06d", listed); part[0] != want {
					t.Fatalf("the next part starts with %s, want %s", part[0], want)
				}
				listed += len(part)
				names = names[len(part):]
			}
			if listed != machines {
				t.Errorf("%d machines are listed, want %d", listed, machines)
			}
		}
	}
}
