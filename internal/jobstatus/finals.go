package jobstatus

import (
	lru "github.com/hashicorp/golang-lru/v2"

	"lotusstile.dev/lotusstile/wire"
)

// finalStatuses is a cache of final statuses. The least recently used are evicted first: they can
// be read from the state store again.
type finalStatuses struct {
	cache *lru.Cache[string, wire.JobStatus]
}

const (
	finalsShare = 1 / 16. // share of a node's memory that the cache may take
	finalBytes  = 256     // estimate of what one entry takes
	leastFinals = 1000    // entries on a node with less memory than that share allows
)

// newFinalStatuses returns an empty cache for a node with memoryMb MiB of memory.
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
