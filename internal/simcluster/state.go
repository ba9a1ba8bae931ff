// Package simcluster holds stand-ins of the outside systems, written from their
// published protocol: the state service, the cloud, workers and users, and a
// network between them that cuts, delays and loses. Tests play whole days on
// them, in the time of a synctest bubble, and check the rules.
package simcluster

import (
	"encoding/json"
	"log/slog"
	"net/http"
	"sort"
	"strconv"
	"strings"
	"sync"
	"time"

	"lotusstile.dev/lotusstile/wire"
)

// State is the state service.
type State struct {
	mu       sync.Mutex
	revision uint64
	leaseID  uint64
	items    map[string]wire.KeyValue
	log      []wire.WatchEvent
	leases   map[uint64]*lease
	waiters  map[chan struct{}]bool
	down     bool
	limits   stateLimits
	Writes   int
	Check    func(tx wire.Transaction) // looks at every commit that is applied
}

type lease struct {
	ttl  time.Duration
	ends time.Time
}

// NewState makes an empty store.
func NewState() *State {
	return &State{items: map[string]wire.KeyValue{}, leases: map[uint64]*lease{}, waiters: map[chan struct{}]bool{}}
}

// SetDown begins or ends an outage. Its end gives all holds their full time.
func (s *State) SetDown(down bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.expire()
	s.down = down
	for _, h := range s.leases {
		h.ends = time.Now().Add(h.ttl)
	}
}

// expire ends the holds that were not touched in time. s.mu is held.
func (s *State) expire() {
	if s.down {
		return
	}
	now := time.Now()
	for id, h := range s.leases {
		if now.After(h.ends) {
			s.endLease(id)
		}
	}
}

func (s *State) endLease(id uint64) {
	delete(s.leases, id)
	for key, it := range s.items {
		if it.LeaseID == id {
			s.revision++
			delete(s.items, key)
			s.note(wire.WatchEvent{Drop: key, ModRevision: s.revision})
		}
	}
}

func (s *State) note(n wire.WatchEvent) {
	s.log = append(s.log, n)
	for w := range s.waiters {
		delete(s.waiters, w)
		close(w)
	}
}

func reply(w http.ResponseWriter, status int, body any) {
	data, err := json.Marshal(body)
	if err != nil {
		panic(err)
	}
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	if _, err := w.Write(data); err != nil {
		slog.Debug("answer not written", "err", err)
	}
}

type revisionReply struct {
	Revision uint64 `json:"Epoch"`
}

// ServeHTTP answers the protocol of the state service.
func (s *State) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	throttled := s.tooMany()
	s.mu.Unlock()
	if throttled {
		reply(w, http.StatusTooManyRequests, wire.ErrorResponse{Error: "too many requests"})
		return
	}
	if r.URL.Path == "/changes" {
		s.changes(w, r)
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.expire()
	if s.down {
		reply(w, http.StatusServiceUnavailable, wire.ErrorResponse{Error: "trouble"})
		return
	}
	switch {
	case r.URL.Path == "/kv":
		s.list(w, r)
	case strings.HasPrefix(r.URL.Path, "/kv/"):
		if it, ok := s.items[strings.TrimPrefix(r.URL.Path, "/kv/")]; ok {
			reply(w, http.StatusOK, it)
		} else {
			reply(w, http.StatusNotFound, revisionReply{s.revision})
		}
	case r.URL.Path == "/commit":
		s.commit(w, r)
	case r.URL.Path == "/holds":
		var h wire.LeaseRequest
		if json.NewDecoder(r.Body).Decode(&h) != nil || h.TTLMs < 100 {
			reply(w, http.StatusBadRequest, wire.ErrorResponse{Error: "malformed"})
			return
		}
		s.leaseID++
		ttl := time.Duration(h.TTLMs) * time.Millisecond
		s.leases[s.leaseID] = &lease{ttl, time.Now().Add(ttl)}
		reply(w, http.StatusOK, wire.Lease{LeaseID: s.leaseID})
	case strings.HasPrefix(r.URL.Path, "/holds/"):
		id, _ := strconv.ParseUint(strings.TrimSuffix(strings.TrimPrefix(r.URL.Path, "/holds/"), "/touch"), 10, 64)
		h := s.leases[id]
		switch {
		case h == nil:
			reply(w, http.StatusNotFound, wire.ErrorResponse{Error: "no such lease"})
		case r.Method == http.MethodDelete:
			s.endLease(id)
			reply(w, http.StatusOK, struct{}{})
		default:
			h.ends = time.Now().Add(h.ttl)
			reply(w, http.StatusOK, struct{}{})
		}
	default:
		reply(w, http.StatusBadRequest, wire.ErrorResponse{Error: "malformed"})
	}
}

func (s *State) list(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	most, _ := strconv.Atoi(q.Get("Most"))
	if most <= 0 || most > 1000 {
		most = 1000
	}
	var keys []string
	for k := range s.items {
		if strings.HasPrefix(k, q.Get("Under")) && k > q.Get("After") {
			keys = append(keys, k)
		}
	}
	sort.Strings(keys)
	out := wire.KeyValueList{Revision: s.revision, More: len(keys) > most, KeyValues: []wire.KeyValue{}}
	for _, k := range keys[:min(most, len(keys))] {
		out.KeyValues = append(out.KeyValues, s.items[k])
	}
	reply(w, http.StatusOK, out)
}

func (s *State) commit(w http.ResponseWriter, r *http.Request) {
	var tx wire.Transaction
	if json.NewDecoder(r.Body).Decode(&tx) != nil {
		reply(w, http.StatusBadRequest, wire.ErrorResponse{Error: "malformed"})
		return
	}
	if s.tooLarge(tx) {
		reply(w, http.StatusBadRequest, wire.ErrorResponse{Error: "over the limits"})
		return
	}
	if s.tooFast(tx) {
		reply(w, http.StatusTooManyRequests, wire.ErrorResponse{Error: "too many changes"})
		return
	}
	for _, c := range tx.Changes {
		if c.LeaseID != 0 && s.leases[c.LeaseID] == nil {
			reply(w, http.StatusBadRequest, wire.ErrorResponse{Error: "no such lease"})
			return
		}
	}
	out := wire.TransactionResponse{Revision: s.revision}
	for _, g := range tx.Compares {
		if s.items[g.Key].ModRevision != g.ModRevision {
			out.Failed = append(out.Failed, g.Key)
		}
	}
	if len(out.Failed) > 0 {
		reply(w, http.StatusConflict, out)
		return
	}
	if s.Check != nil {
		s.Check(tx)
	}
	if len(tx.Changes) > 0 {
		s.revision++
		s.Writes += len(tx.Changes)
	}
	for _, c := range tx.Changes {
		if c.Drop != "" {
			if _, ok := s.items[c.Drop]; ok {
				delete(s.items, c.Drop)
				s.note(wire.WatchEvent{Drop: c.Drop, ModRevision: s.revision})
			}
			continue
		}
		s.items[c.Set] = wire.KeyValue{Key: c.Set, Value: c.Value, ModRevision: s.revision, LeaseID: c.LeaseID}
		s.note(wire.WatchEvent{Set: c.Set, Value: c.Value, ModRevision: s.revision})
	}
	out.Revision = s.revision
	reply(w, http.StatusOK, out)
}

func (s *State) changes(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	after, _ := strconv.ParseUint(q.Get("After"), 10, 64)
	ms, _ := strconv.Atoi(q.Get("HoldMs"))
	until := time.NewTimer(time.Duration(ms) * time.Millisecond)
	defer until.Stop()
	for {
		s.mu.Lock()
		s.expire()
		out := wire.WatchResponse{Revision: s.revision}
		for _, n := range s.log {
			if n.ModRevision > after && (strings.HasPrefix(n.Set, q.Get("Under")) && n.Set != "" || strings.HasPrefix(n.Drop, q.Get("Under")) && n.Drop != "") {
				out.Events = append(out.Events, n)
			}
		}
		down := s.down
		ch := make(chan struct{})
		s.waiters[ch] = true
		// A hold may end while nobody calls: look again when the next one may.
		next := time.NewTimer(100 * time.Millisecond)
		s.mu.Unlock()
		if len(out.Events) > 0 && !down {
			next.Stop()
			reply(w, http.StatusOK, out)
			return
		}
		select {
		case <-ch:
		case <-next.C:
		case <-r.Context().Done():
			return
		case <-until.C:
			if !down {
				reply(w, http.StatusOK, wire.WatchResponse{Revision: after})
				return
			}
			reply(w, http.StatusServiceUnavailable, wire.ErrorResponse{Error: "trouble"})
			return
		}
		next.Stop()
	}
}

// Get reads a key past all faults, for checks.
func (s *State) Get(key string) (wire.KeyValue, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	it, ok := s.items[key]
	return it, ok
}

// Items lists all items under a prefix as they are at one moment, past all faults, for
// checks.
func (s *State) Items(under string) []wire.KeyValue {
	s.mu.Lock()
	defer s.mu.Unlock()
	var items []wire.KeyValue
	for key, item := range s.items {
		if strings.HasPrefix(key, under) {
			items = append(items, item)
		}
	}
	return items
}

// Keys lists all keys under a prefix past all faults, for checks.
func (s *State) Keys(under string) []string {
	s.mu.Lock()
	defer s.mu.Unlock()
	var keys []string
	for k := range s.items {
		if strings.HasPrefix(k, under) {
			keys = append(keys, k)
		}
	}
	sort.Strings(keys)
	return keys
}
