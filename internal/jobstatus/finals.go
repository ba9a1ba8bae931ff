package jobstatus

import (
	lru "github.com/hashicorp/golang-lru/v2"

	"lotusstile.dev/lotusstile/wire"
)

// finalStatuses keeps final statuses for as long as they fit: they can be read again. Those that
// nobody has asked about for longest go first.
type finalStatuses struct {
	cache *lru.Cache[string, wire.JobStatus]
}

const (
	finalsShare = 1 / 16. // of a node's memory
	finalBytes  = 256     // that one takes
	leastFinals = 1000
)

// newFinalStatuses makes a cache for a node with so much memory, in MiB.
func newFinalStatuses(memoryMb float64) finalStatuses {
	room := int(finalsShare * memoryMb * (1 << 20) / finalBytes)
	cache, err := lru.New[string, wire.JobStatus](max(leastFinals, room))
	if err != nil {
		panic(err) // only a size below 1 is refused
	}
	return finalStatuses{cache}
}

func (f *finalStatuses) get(uid string) (wire.JobStatus, bool) { return f.cache.Get(uid) }

func (f *finalStatuses) add(uid string, status wire.JobStatus) { f.cache.Add(uid, status) }
