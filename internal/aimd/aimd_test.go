package aimd

import (
	"context"
	"errors"
	"math"
	"testing"
	"testing/synctest"
	"time"
)

// Clients that share a service come to ask no more than it takes, each its fair part, however
// unequal they begin, and use what is free again once one of them is quiet.
func TestClientsShareAService(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const capacity, clients = 60, 3
		var taken, refused int
		var second time.Time
		serve := func(l *Limiter) {
			now := time.Now()
			if now.Sub(second) >= time.Second {
				second, taken = now, 0
			}
			if taken++; taken > capacity {
				refused++
				l.OnThrottled(now)
				return
			}
			l.OnAnswered(now)
		}
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
					serve(limiters[i])
				}
			}()
		}
		time.Sleep(30 * time.Second)
		refused = 0
		const seconds = 60
		shares := make([]float64, clients)
		for range seconds {
			time.Sleep(time.Second)
			for i, l := range limiters {
				shares[i] += l.Rate() / seconds
			}
		}
		if refused > seconds*capacity/4 {
			t.Errorf("%d of about %d requests are refused", refused, seconds*capacity)
		}
		for i, share := range shares {
			if fair := float64(capacity) / clients; math.Abs(share-fair) > fair/2 {
				t.Errorf("client %d is allowed %.1f a second, a fair part is %.1f", i, share, fair)
			}
		}
		stop()
		synctest.Wait()
		for range 30 {
			time.Sleep(time.Second)
			limiters[0].OnAnswered(time.Now())
		}
		if got := limiters[0].Rate(); got != capacity {
			t.Errorf("alone it is allowed %.1f a second", got)
		}
	})
}

// Who cannot be served in time learns so at once, and takes nobody's place.
func TestBusyAtOnce(t *testing.T) {
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
				t.Fatalf("%v", err)
			}
			cancel()
		}
		if waited := time.Since(began); waited != 0 {
			t.Errorf("the refusals took %v", waited)
		}
		if err := l.Wait(t.Context()); err != nil || time.Since(began) != 500*time.Millisecond {
			t.Errorf("%v after %v", err, time.Since(began))
		}
	})
}

// A burst of refusals is one sign, and no cut goes below the least rate.
func TestCutsAreBounded(t *testing.T) {
	l, now := New(16), time.Unix(1000, 0)
	for range 50 {
		l.OnThrottled(now)
	}
	if l.Rate() != 8 || l.Cuts() != 1 {
		t.Errorf("%v after %d cuts", l.Rate(), l.Cuts())
	}
	for range 50 {
		now = now.Add(adjustInterval)
		l.OnThrottled(now)
	}
	if l.Rate() != 4 {
		t.Errorf("cut to %v", l.Rate())
	}
}
