package standby

import (
	"encoding/binary"
	"strings"

	"github.com/cespare/xxhash/v2"
	iradix "github.com/hashicorp/go-immutable-radix/v2"

	"lotusstile.dev/lotusstile/internal/records"
	"lotusstile.dev/lotusstile/wire"
)

// Entry is one record or one view. Its CBOR field names are short because every entry contains them. An entry must
// not be modified after it has been added to contents.
type Entry struct {
	Key         string `cbor:"k"`
	Value       []byte `cbor:"v,omitempty"`
	ModRevision uint64 `cbor:"s,omitempty"` // of a record; 0 for a view
	Dropped     bool   `cbor:"d,omitempty"` // the entry deletes the key; Value is then empty
}

// recordPrefixes are the key prefixes of the followed records: those that only the leader writes and that a new leader
// needs. Jobs are not among them because every node has a watch cache of the jobs.
var recordPrefixes = []string{records.PlacementPrefix, records.MachineReleasePrefix, records.ImagesPrefix}

// isRecord reports whether a key belongs to a followed record.
func isRecord(key string) bool {
	for _, prefix := range recordPrefixes {
		if strings.HasPrefix(key, prefix) {
			return true
		}
	}
	return false
}

// digest returns a hash of the entry. The digest of contents is the sum of the digests of its entries, so that the cost
// of updating it depends only on the number of changed entries.
func (e *Entry) digest() uint64 {
	var hash xxhash.Digest
	hash.Reset()
	_, _ = hash.WriteString(e.Key)
	var modRevision [9]byte // the first byte is zero and terminates the key
	binary.LittleEndian.PutUint64(modRevision[1:], e.ModRevision)
	_, _ = hash.Write(modRevision[:])
	_, _ = hash.Write(e.Value)
	return hash.Sum64()
}

// size returns the length of the key and the value in bytes.
func (e *Entry) size() int { return len(e.Key) + len(e.Value) }

// absentEntry returns the entry of a record that a read did not find. Applied to contents, it drops the key whatever
// mod revision they have for it.
func absentEntry(key string) *Entry { return &Entry{Key: key, Dropped: true, ModRevision: ^uint64(0)} }

// contents is an immutable set of entries with its digest. A transfer can read it without a lock while a contentsEditor
// builds newer contents.
type contents struct {
	tree   *iradix.Tree[*Entry]
	digest uint64 // sum of the digests of all entries
	bytes  int    // total size of all keys and values
}

func emptyContents() contents { return contents{tree: iradix.New[*Entry]()} }

// contentsEditor builds new contents from existing ones, which stay as they are.
type contentsEditor struct {
	txn    *iradix.Txn[*Entry]
	digest uint64
	bytes  int
}

func (c contents) edit() *contentsEditor { return &contentsEditor{c.tree.Txn(), c.digest, c.bytes} }

// apply sets or drops an entry, unless the contents have a record of the same key with a newer mod revision.
func (e *contentsEditor) apply(entry *Entry) {
	key := []byte(entry.Key)
	old, known := e.txn.Get(key)
	if known && old.ModRevision > entry.ModRevision {
		return
	}
	if known {
		e.digest -= old.digest()
		e.bytes -= old.size()
	}
	if entry.Dropped {
		if known {
			e.txn.Delete(key)
		}
		return
	}
	e.txn.Insert(key, entry)
	e.digest += entry.digest()
	e.bytes += entry.size()
}

func (e *contentsEditor) contents() contents { return contents{e.txn.Commit(), e.digest, e.bytes} }

// computeDigest computes the digest from all entries. If the result differs from the digest field, the copy is
// corrupted.
func (c contents) computeDigest() uint64 {
	sum := uint64(0)
	c.tree.Root().Walk(func(_ []byte, entry *Entry) bool {
		sum += entry.digest()
		return false
	})
	return sum
}

// listRecords returns the records whose keys have a prefix, in the form and order of a listing by the state store.
func (c contents) listRecords(prefix string) []wire.KeyValue {
	var rows []wire.KeyValue
	c.tree.Root().WalkPrefix([]byte(prefix), func(_ []byte, entry *Entry) bool {
		rows = append(rows, wire.KeyValue{Key: entry.Key, Value: entry.Value, ModRevision: entry.ModRevision})
		return false
	})
	return rows
}
