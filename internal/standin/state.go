// Package standin holds stand-ins of the outside systems, written from their
// published protocol: the state service, the cloud, workers and users, and a
// network between them that cuts, delays and loses. Tests play whole days on
// them, in the time of a synctest bubble, and check the rules.
package standin

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
	mu      sync.Mutex
	epoch   uint64
	permit  uint64
	items   map[string]wire.Item
	log     []wire.News
	holds   map[uint64]*hold
	waiters map[chan struct{}]bool
	down    bool
	limits  stateLimits
	Writes  int
	Judge   func(tx wire.Commit) // looks at every commit that is applied
}

type hold struct {
	ttl  time.Duration
	ends time.Time
}

// NewState makes an empty store.
func NewState() *State {
	return &State{items: map[string]wire.Item{}, holds: map[uint64]*hold{}, waiters: map[chan struct{}]bool{}}
}

// SetDown begins or ends an outage. Its end gives all holds their full time.
func (s *State) SetDown(down bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.expire()
	s.down = down
	for _, h := range s.holds {
		h.ends = time.Now().Add(h.ttl)
	}
}

// expire ends the holds that were not touched in time. s.mu is held.
func (s *State) expire() {
	if s.down {
		return
	}
	now := time.Now()
	for id, h := range s.holds {
		if now.After(h.ends) {
			s.endHold(id)
		}
	}
}

func (s *State) endHold(id uint64) {
	delete(s.holds, id)
	for key, it := range s.items {
		if it.Permit == id {
			s.epoch++
			delete(s.items, key)
			s.note(wire.News{Drop: key, Stamp: s.epoch})
		}
	}
}

func (s *State) note(n wire.News) {
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

type epochReply struct{ Epoch uint64 }

// ServeHTTP answers the protocol of the state service.
func (s *State) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	throttled := s.tooMany()
	s.mu.Unlock()
	if throttled {
		reply(w, http.StatusTooManyRequests, wire.Fault{Error: "too many requests"})
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
		reply(w, http.StatusServiceUnavailable, wire.Fault{Error: "trouble"})
		return
	}
	switch {
	case r.URL.Path == "/kv":
		s.list(w, r)
	case strings.HasPrefix(r.URL.Path, "/kv/"):
		if it, ok := s.items[strings.TrimPrefix(r.URL.Path, "/kv/")]; ok {
			reply(w, http.StatusOK, it)
		} else {
			reply(w, http.StatusNotFound, epochReply{s.epoch})
		}
	case r.URL.Path == "/commit":
		s.commit(w, r)
	case r.URL.Path == "/holds":
		var h wire.HoldRequest
		if json.NewDecoder(r.Body).Decode(&h) != nil || h.TTLMs < 100 {
			reply(w, http.StatusBadRequest, wire.Fault{Error: "malformed"})
			return
		}
		s.permit++
		ttl := time.Duration(h.TTLMs) * time.Millisecond
		s.holds[s.permit] = &hold{ttl, time.Now().Add(ttl)}
		reply(w, http.StatusOK, wire.Hold{Permit: s.permit})
	case strings.HasPrefix(r.URL.Path, "/holds/"):
		id, _ := strconv.ParseUint(strings.TrimSuffix(strings.TrimPrefix(r.URL.Path, "/holds/"), "/touch"), 10, 64)
		h := s.holds[id]
		switch {
		case h == nil:
			reply(w, http.StatusNotFound, wire.Fault{Error: "no such lease"})
		case r.Method == http.MethodDelete:
			s.endHold(id)
			reply(w, http.StatusOK, struct{}{})
		default:
			h.ends = time.Now().Add(h.ttl)
			reply(w, http.StatusOK, struct{}{})
		}
	default:
		reply(w, http.StatusBadRequest, wire.Fault{Error: "malformed"})
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
	out := wire.Items{Epoch: s.epoch, More: len(keys) > most, Rows: []wire.Item{}}
	for _, k := range keys[:min(most, len(keys))] {
		out.Rows = append(out.Rows, s.items[k])
	}
	reply(w, http.StatusOK, out)
}

func (s *State) commit(w http.ResponseWriter, r *http.Request) {
	var tx wire.Commit
	if json.NewDecoder(r.Body).Decode(&tx) != nil {
		reply(w, http.StatusBadRequest, wire.Fault{Error: "malformed"})
		return
	}
	if s.tooLarge(tx) {
		reply(w, http.StatusBadRequest, wire.Fault{Error: "over the limits"})
		return
	}
	if s.tooFast(tx) {
		reply(w, http.StatusTooManyRequests, wire.Fault{Error: "too many changes"})
		return
	}
	for _, c := range tx.Apply {
		if c.Permit != 0 && s.holds[c.Permit] == nil {
			reply(w, http.StatusBadRequest, wire.Fault{Error: "no such lease"})
			return
		}
	}
	out := wire.CommitReply{Epoch: s.epoch}
	for _, g := range tx.Guards {
		if s.items[g.Key].Stamp != g.Stamp {
			out.Failed = append(out.Failed, g.Key)
		}
	}
	if len(out.Failed) > 0 {
		reply(w, http.StatusConflict, out)
		return
	}
	if s.Judge != nil {
		s.Judge(tx)
	}
	if len(tx.Apply) > 0 {
		s.epoch++
		s.Writes += len(tx.Apply)
	}
	for _, c := range tx.Apply {
		if c.Drop != "" {
			if _, ok := s.items[c.Drop]; ok {
				delete(s.items, c.Drop)
				s.note(wire.News{Drop: c.Drop, Stamp: s.epoch})
			}
			continue
		}
		s.items[c.Set] = wire.Item{Key: c.Set, Value: c.Value, Stamp: s.epoch, Permit: c.Permit}
		s.note(wire.News{Set: c.Set, Value: c.Value, Stamp: s.epoch})
	}
	out.Epoch = s.epoch
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
		out := wire.Changes{Epoch: s.epoch}
		for _, n := range s.log {
			if n.Stamp > after && (strings.HasPrefix(n.Set, q.Get("Under")) && n.Set != "" || strings.HasPrefix(n.Drop, q.Get("Under")) && n.Drop != "") {
				out.News = append(out.News, n)
			}
		}
		down := s.down
		ch := make(chan struct{})
		s.waiters[ch] = true
		// A hold may end while nobody calls: look again when the next one may.
		next := time.NewTimer(100 * time.Millisecond)
		s.mu.Unlock()
		if len(out.News) > 0 && !down {
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
				reply(w, http.StatusOK, wire.Changes{Epoch: after})
				return
			}
			reply(w, http.StatusServiceUnavailable, wire.Fault{Error: "trouble"})
			return
		}
		next.Stop()
	}
}

// Get reads a key past all faults, for checks.
func (s *State) Get(key string) (wire.Item, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	it, ok := s.items[key]
	return it, ok
}

// Items lists all items under a prefix as they are at one moment, past all faults, for
// checks.
func (s *State) Items(under string) []wire.Item {
	s.mu.Lock()
	defer s.mu.Unlock()
	var items []wire.Item
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
