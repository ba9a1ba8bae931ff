package jobstatus

import (
	lru "github.com/hashicorp/golang-lru/v2"

	"lotusstile.dev/lotusstile/wire"
)

// finalStatuses is a cache of the final statuses of jobs. It evicts the least recently used entries, which
// can be read from the state store again.
type finalStatuses struct {
	cache *lru.Cache[string, wire.JobStatus]
}

const (
	cacheMemoryShare = 1 / 16. // share of a node's memory that a cache of jobs may take
	bytesPerEntry    = 256     // estimated size of an entry
	minEntries       = 1000    // capacity of a cache if its share of the memory holds fewer entries
)

// cacheEntries returns the capacity of a cache of jobs at a node with memoryMb MiB of memory.
func cacheEntries(memoryMb float64) int {
	return max(minEntries, int(cacheMemoryShare*memoryMb*(1<<20)/bytesPerEntry))
}

// newFinalStatuses returns an empty cache for a node with memoryMb MiB of memory.
func newFinalStatuses(memoryMb float64) finalStatuses {
	cache, err := lru.New[string, wire.JobStatus](cacheEntries(memoryMb))
	if err != nil {
		panic(err) // only a size below 1 is refused
	}
	return finalStatuses{cache}
}

func (f *finalStatuses) get(uid string) (wire.JobStatus, bool) { return f.cache.Get(uid) }

func (f *finalStatuses) add(uid string, status wire.JobStatus) { f.cache.Add(uid, status) }
