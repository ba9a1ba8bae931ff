package standby

import (
	"encoding/binary"
	"strings"

	"github.com/cespare/xxhash/v2"
	iradix "github.com/hashicorp/go-immutable-radix/v2"

	"lotusstile.dev/lotusstile/internal/records"
	"lotusstile.dev/lotusstile/wire"
)

// Entry is one record or one view. The names of its fields are short in CBOR, since every entry
// carries them. An entry must not be changed once it is part of contents.
type Entry struct {
	Key         string `cbor:"k"`
	Value       []byte `cbor:"v,omitempty"`
	ModRevision uint64 `cbor:"s,omitempty"` // of a record; 0 for a view
	Dropped     bool   `cbor:"d,omitempty"` // the key is dropped; Value is empty then
}

// recordPrefixes are the prefixes of the records that only the leader writes and that a new
// leader needs. Jobs are not among them, since every node has a watch cache of the jobs.
var recordPrefixes = []string{records.PlacementPrefix, records.ScaleInPrefix, records.ImagesPrefix}

// isRecord reports whether a key is that of a followed record.
func isRecord(key string) bool {
	for _, prefix := range recordPrefixes {
		if strings.HasPrefix(key, prefix) {
			return true
		}
	}
	return false
}

// digest returns a hash of the entry. The digest of a set is the sum of the digests of its entries, so
// that an update costs only as much as the change.
func (e *Entry) digest() uint64 {
	var hash xxhash.Digest
	hash.Reset()
	_, _ = hash.WriteString(e.Key)
	var modRevision [9]byte // a zero byte ends the key
	binary.LittleEndian.PutUint64(modRevision[1:], e.ModRevision)
	_, _ = hash.Write(modRevision[:])
	_, _ = hash.Write(e.Value)
	return hash.Sum64()
}

// size returns the bytes of the key and the value.
func (e *Entry) size() int { return len(e.Key) + len(e.Value) }

// absentEntry returns the entry of a record that a read did not find: it drops the record whatever
// mod revision that has.
func absentEntry(key string) *Entry { return &Entry{Key: key, Dropped: true, ModRevision: ^uint64(0)} }

// contents is an immutable set of entries with its digest. A transfer can read it without a lock while
// newer contents are made.
type contents struct {
	tree   *iradix.Tree[*Entry]
	digest uint64 // sum of the digests of all entries
	bytes  int    // of all keys and values
}

func emptyContents() contents { return contents{tree: iradix.New[*Entry]()} }

// editor makes new contents from a copy of others.
type editor struct {
	txn    *iradix.Txn[*Entry]
	digest uint64
	bytes  int
}

func (c contents) edit() *editor { return &editor{c.tree.Txn(), c.digest, c.bytes} }

// apply sets or drops an entry, unless the contents have a newer record of the key.
func (e *editor) apply(entry *Entry) {
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

func (e *editor) contents() contents { return contents{e.txn.Commit(), e.digest, e.bytes} }

// computeDigest computes the digest again from all entries, so that a corrupted copy is detected.
func (c contents) computeDigest() uint64 {
	sum := uint64(0)
	c.tree.Root().Walk(func(_ []byte, entry *Entry) bool {
		sum += entry.digest()
		return false
	})
	return sum
}

// list returns the records under a prefix as the state store would list them.
func (c contents) list(prefix string) []wire.KeyValue {
	var rows []wire.KeyValue
	c.tree.Root().WalkPrefix([]byte(prefix), func(_ []byte, entry *Entry) bool {
		rows = append(rows, wire.KeyValue{Key: entry.Key, Value: entry.Value, ModRevision: entry.ModRevision})
		return false
	})
	return rows
}
