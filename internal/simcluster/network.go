package simcluster

import (
	"bytes"
	"context"
	"errors"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"net/http/httptest"
	"net/rpc"
	"strings"
	"sync"
	"time"
)

// Network carries requests between the parties of a day, by name.
type Network struct {
	mu          sync.Mutex
	rng         *rand.Rand
	hosts       map[string]http.Handler
	peerServers map[string]*rpc.Server
	conns       map[string][]net.Conn
	cut         map[[2]string]bool // requests from, to hang
	mute        map[[2]string]bool // answers to requests from, to are lost
	refuse      map[[2]string]bool // answered 503
	block       map[[2]string]bool // requests from, to are lost
	still       map[string]chan struct{}
	late        float64 // share of lost requests that are carried out later

	slow       time.Duration // what every request and answer takes more, at most
	lateWrites float64       // share of commits that get no answer
	atOnce     bool          // they are carried out at once, else after others
	lateDirect float64       // share of direct commands that are held up and carried out late
	trip       func(from, to, path string, carried bool)
}

// NewNetwork makes a network that is whole.
func NewNetwork(rng *rand.Rand) *Network {
	return &Network{rng: rng, hosts: map[string]http.Handler{}, peerServers: map[string]*rpc.Server{}, conns: map[string][]net.Conn{},
		cut: map[[2]string]bool{}, mute: map[[2]string]bool{}, refuse: map[[2]string]bool{}, block: map[[2]string]bool{}, still: map[string]chan struct{}{}, late: 0.5}
}

// RandIntN draws a number from 0 to n-1.
func (n *Network) RandIntN(limit int) int {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.rng.IntN(limit)
}

// SetLateDeliveryShare sets the share of lost requests that are carried out later.
func (n *Network) SetLateDeliveryShare(share float64) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.late = share
}

// Attach lets a party answer under a name; nil takes it off.
func (n *Network) Attach(name string, h http.Handler, peerServer *rpc.Server) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.hosts[name], n.peerServers[name] = h, peerServer
	if h == nil {
		for _, c := range n.conns[name] {
			c.Close()
		}
		delete(n.conns, name)
	}
}

func set(m map[[2]string]bool, from, to string, on bool) {
	if on {
		m[[2]string{from, to}] = true
	} else {
		delete(m, [2]string{from, to})
	}
}

// Cut parts two parties in both directions, or joins them again.
func (n *Network) Partition(a, b string, on bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	set(n.cut, a, b, on)
	set(n.cut, b, a, on)
	if on {
		for _, x := range []string{a, b} {
			for _, c := range n.conns[x] {
				c.Close()
			}
			delete(n.conns, x)
		}
	}
}

// DropResponses loses the answers to what one party asks another.
func (n *Network) DropResponses(from, to string, on bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	set(n.mute, from, to, on)
}

// RefuseRequests makes one party's requests to another get 503.
func (n *Network) RefuseRequests(from, to string, on bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	set(n.refuse, from, to, on)
}

// DropRequests loses what one party asks another, for good.
func (n *Network) DropRequests(from, to string, on bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	set(n.block, from, to, on)
}

// SetExtraLatency makes every link slower by up to extra each way.
func (n *Network) SetExtraLatency(extra time.Duration) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.slow = extra
}

// DelayCommits lets a share of commits get no answer: they are carried out 2 to
// 12 s later, after newer ones, or at once.
func (n *Network) DelayCommits(share float64, atOnce bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.lateWrites, n.atOnce = share, atOnce
}

// DelayDirectCommands holds up a share of the direct commands: they get no answer and
// are carried out 2 to 16 s later, after those of newer leaders.
func (n *Network) DelayDirectCommands(share float64) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.lateDirect = share
}

// PauseProcess lets a party stand still, or go on. To others it is a process that
// gets no processor while its clocks run on: what it has asked for is carried out,
// and it learns so when it goes on, late or as a time-out; what it was about to
// send goes out then, and what others asked of it is answered then, though they
// have given up. Its own timers are not stopped, as they would be: what it decides
// meanwhile on what it has not heard goes out as well, which is the harder trial.
func (n *Network) PauseProcess(name string, on bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.setStill(name, on)
}

func (n *Network) setStill(name string, on bool) {
	switch ch := n.still[name]; {
	case on && ch == nil:
		n.still[name] = make(chan struct{})
	case !on && ch != nil:
		close(ch)
		delete(n.still, name)
	}
}

// waitFor waits while a party stands still. A party's ends all belong to the part of
// their names before the port.
func (n *Network) waitFor(name string) {
	host, _, _ := strings.Cut(name, ":")
	n.mu.Lock()
	ch := n.still[host]
	n.mu.Unlock()
	if ch != nil {
		<-ch
	}
}

// ObserveRequests calls f for every request that reaches a party, just before it is carried
// out and just after, when its answer is not yet on its way: what stands still at
// a moment of the protocol is found so. nil ends it.
func (n *Network) ObserveRequests(f func(from, to, path string, carried bool)) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.trip = f
}

func (n *Network) tripped(from, to, path string, carried bool) {
	n.mu.Lock()
	f := n.trip
	n.mu.Unlock()
	if f != nil {
		f(from, to, path, carried)
	}
}

// Heal ends all cuts.
func (n *Network) Heal() {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.trip, n.lateDirect = nil, 0
	for name := range n.still {
		n.setStill(name, false)
	}
	clear(n.cut)
	clear(n.mute)
	clear(n.refuse)
	clear(n.block)
	n.lateWrites, n.slow = 0, 0
}

var errNoAnswer = errors.New("no answer")

type port struct {
	n    *Network
	from string
}

// Transport is the network as one party sees it.
func (n *Network) Transport(from string) http.RoundTripper { return port{n, from} }

// RoundTrip carries one request.
func (p port) RoundTrip(req *http.Request) (*http.Response, error) {
	to := req.URL.Host
	var body []byte
	if req.Body != nil {
		var err error
		if body, err = io.ReadAll(req.Body); err != nil {
			return nil, err
		}
	}
	link := [2]string{p.from, to}
	p.n.waitFor(p.from)
	p.n.mu.Lock()
	h, cut, mute, refuse := p.n.hosts[to], p.n.cut[link], p.n.mute[link], p.n.refuse[link]
	block, held := p.n.block[link], p.n.lateWrites > 0 && strings.HasSuffix(req.URL.Path, "/commit") && p.n.rng.Float64() < p.n.lateWrites
	direct := p.n.lateDirect > 0 && req.URL.Path == "/do" && p.n.rng.Float64() < p.n.lateDirect
	atOnce := p.n.atOnce
	late := p.n.rng.Float64() < p.n.late
	lateness := time.Duration(p.n.rng.Int64N(int64(40 * time.Second)))
	delay := time.Duration(500+p.n.rng.IntN(2500)) * time.Microsecond
	if p.n.slow > 0 {
		delay += time.Duration(p.n.rng.Int64N(int64(p.n.slow)))
	}
	p.n.mu.Unlock()
	ctx := req.Context()
	serve := func(ctx context.Context, h http.Handler) *httptest.ResponseRecorder {
		rec := httptest.NewRecorder()
		r := httptest.NewRequestWithContext(ctx, req.Method, req.URL.String(), bytes.NewReader(body))
		h.ServeHTTP(rec, r)
		return rec
	}
	wait := func(d time.Duration) bool {
		t := time.NewTimer(d)
		defer t.Stop()
		select {
		case <-ctx.Done():
			return false
		case <-t.C:
			return true
		}
	}
	later := func(lateness time.Duration) {
		time.Sleep(lateness)
		p.n.mu.Lock()
		h := p.n.hosts[to]
		p.n.mu.Unlock()
		if h != nil {
			lctx, cancel := context.WithTimeout(context.Background(), time.Second)
			defer cancel()
			serve(lctx, h)
		}
	}
	if held && !cut && !refuse && h != nil {
		if atOnce {
			lateness = 0
		} else {
			lateness = 2*time.Second + lateness/4
		}
		go later(lateness)
		cut, late = true, false
	}
	if direct && !cut && h != nil {
		go later(2*time.Second + lateness*14/40)
		cut, late = true, false
	}
	if cut || block {
		if late && !block {
			go later(lateness) // the packets are held back and delivered after all
		}
		<-ctx.Done()
		return nil, ctx.Err()
	}
	if !wait(delay) {
		return nil, ctx.Err()
	}
	if h == nil {
		return nil, errNoAnswer
	}
	if refuse {
		rec := httptest.NewRecorder()
		rec.WriteHeader(http.StatusServiceUnavailable)
		return rec.Result(), nil
	}
	done := make(chan *httptest.ResponseRecorder, 1)
	go func() {
		p.n.waitFor(to)
		p.n.tripped(p.from, to, req.URL.Path, false)
		p.n.waitFor(to)
		p.n.mu.Lock()
		h := p.n.hosts[to]
		p.n.mu.Unlock()
		if h == nil {
			return // it has ended meanwhile
		}
		rec := serve(ctx, h)
		p.n.tripped(p.from, to, req.URL.Path, true)
		p.n.waitFor(to)
		done <- rec
	}()
	select {
	case <-ctx.Done():
		// Whoever stands still sees his time-out only when he goes on: he may then
		// see the answer first.
		p.n.waitFor(p.from)
		select {
		case rec := <-done:
			if p.n.RandIntN(2) == 0 {
				return rec.Result(), nil
			}
		default:
		}
		return nil, ctx.Err()
	case rec := <-done:
		p.n.waitFor(p.from)
		// The open watches of a node that is refused wait as in an outage.
		for req.URL.Path == "/changes" && p.n.refused(link) {
			if !wait(50 * time.Millisecond) {
				return nil, ctx.Err()
			}
		}
		p.n.mu.Lock()
		gone := p.n.hosts[to] == nil
		mute = mute || p.n.cut[link] // the answer meets a cut: the connection is dead, and nobody says so
		p.n.mu.Unlock()
		if mute {
			<-ctx.Done()
			return nil, ctx.Err()
		}
		if gone || !wait(delay) {
			return nil, errNoAnswer
		}
		return rec.Result(), nil
	}
}

func (n *Network) refused(link [2]string) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.refuse[link]
}

// DialPeer dials between controllers as one of them.
func (n *Network) DialPeer(from string) func(addr string, timeout time.Duration) (net.Conn, error) {
	return func(addr string, timeout time.Duration) (net.Conn, error) {
		n.mu.Lock()
		defer n.mu.Unlock()
		srv := n.peerServers[addr]
		if srv == nil || n.cut[[2]string{from, addr}] {
			return nil, errNoAnswer
		}
		a, near := net.Pipe()
		far, b := net.Pipe()
		n.conns[from] = append(n.conns[from], a)
		n.conns[addr] = append(n.conns[addr], b)
		go n.relay(near, far, from, addr)
		go n.relay(far, near, addr, from)
		go srv.ServeConn(b)
		return a, nil
	}
}

// relay carries what is sent on a connection: it leaves when the one party goes on
// and arrives when the other does. Nobody's write waits for that.
func (n *Network) relay(src, dst net.Conn, from, to string) {
	sent := make(chan []byte, 1<<12)
	go func() {
		for data := range sent {
			n.waitFor(from)
			n.waitFor(to)
			if _, err := dst.Write(data); err != nil {
				break
			}
		}
		dst.Close()
		for range sent { // nobody reads any more
		}
	}()
	defer close(sent)
	for {
		data := make([]byte, 1<<12)
		k, err := src.Read(data)
		if err != nil {
			return
		}
		sent <- data[:k]
	}
}
