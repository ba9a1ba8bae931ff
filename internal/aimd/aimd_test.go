package aimd

import (
	"context"
	"errors"
	"math"
	"sync"
	"testing"
	"testing/synctest"
	"time"
)

// sharedService executes at most capacity requests a second and refuses the rest.
type sharedService struct {
	capacity int

	mu          sync.Mutex
	secondStart time.Time // when the current second began
	received    int       // requests in the current second, refused ones included
	refused     int
}

// serve executes or refuses a request of a client.
func (s *sharedService) serve(client *Limiter) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := time.Now()
	if now.Sub(s.secondStart) >= time.Second {
		s.secondStart, s.received = now, 0
	}
	if s.received++; s.received > s.capacity {
		s.refused++
		client.OnThrottled(now)
		return
	}
	client.OnAnswered(now)
}

// resetRefused returns how many requests were refused since the last call.
func (s *sharedService) resetRefused() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	refused := s.refused
	s.refused = 0
	return refused
}

// meanRates returns the mean rates of clients over some seconds.
func meanRates(clients []*Limiter, seconds int) []float64 {
	rates := make([]float64, len(clients))
	for range seconds {
		time.Sleep(time.Second)
		for i, client := range clients {
			rates[i] += client.Rate() / float64(seconds)
		}
	}
	return rates
}

// Clients that share a service converge to fair shares of its capacity, however unequal their rates
// are at the start. Once the others are idle, a client's rate grows back to the full capacity.
func TestClientsShareAService(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const capacity, clients = 60, 3
		service := &sharedService{capacity: capacity}
		ctx, stop := context.WithCancel(t.Context())
		limiters := make([]*Limiter, clients)
		for i := range limiters {
			limiters[i] = New(capacity)
			for range 3 * i { // some have been cut before
				limiters[i].OnThrottled(time.Now())
				time.Sleep(adjustInterval)
			}
			go func() {
				for limiters[i].Wait(ctx) == nil {
					service.serve(limiters[i])
				}
			}()
		}
		time.Sleep(30 * time.Second)
		service.resetRefused()
		const seconds = 60
		shares := meanRates(limiters, seconds)
		if refused := service.resetRefused(); refused > seconds*capacity/4 {
			t.Errorf("%d of about %d requests were refused, want at most a quarter", refused, seconds*capacity)
		}
		for i, share := range shares {
			if fair := float64(capacity) / clients; math.Abs(share-fair) > fair/2 {
				t.Errorf("client %d: got a mean rate of %.1f requests a second, want within half of the fair share %.1f", i, share, fair)
			}
		}
		stop()
		synctest.Wait()
		for range 30 {
			time.Sleep(time.Second)
			limiters[0].OnAnswered(time.Now())
		}
		if got := limiters[0].Rate(); got != capacity {
			t.Errorf("got a rate of %.1f requests a second with the other clients idle, want %d", got, capacity)
		}
	})
}

// A request that cannot be sent before its deadline is refused at once, and takes no token from others.
func TestWaitRefusesAtOnceBeyondTheDeadline(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		l := New(2)
		if err := l.Wait(t.Context()); err != nil {
			t.Fatal(err)
		}
		began := time.Now()
		for range 100 {
			ctx, cancel := context.WithTimeout(t.Context(), 400*time.Millisecond)
			var busy *BusyError
			if err := l.Wait(ctx); !errors.As(err, &busy) || busy.RetryAfter != 500*time.Millisecond {
				t.Fatalf("Wait with a deadline in 400 ms returned %v, want a *BusyError with RetryAfter 500ms", err)
			}
			cancel()
		}
		if waited := time.Since(began); waited != 0 {
			t.Errorf("the refusals took %v, want 0s", waited)
		}
		if err := l.Wait(t.Context()); err != nil || time.Since(began) != 500*time.Millisecond {
			t.Errorf("Wait without a deadline returned %v after %v, want no error after 500ms", err, time.Since(began))
		}
	})
}

// A burst of refusals causes a single cut, and no cut goes below the lowest rate.
func TestCutsAreBounded(t *testing.T) {
	l, now := New(16), time.Unix(1000, 0)
	for range 50 {
		l.OnThrottled(now)
	}
	if l.Rate() != 8 || l.Cuts() != 1 {
		t.Errorf("got rate %v after %d cuts, want rate 8 after 1 cut", l.Rate(), l.Cuts())
	}
	for range 50 {
		now = now.Add(adjustInterval)
		l.OnThrottled(now)
	}
	if l.Rate() != 4 {
		t.Errorf("got rate %v after many cuts, want 4", l.Rate())
	}
}
