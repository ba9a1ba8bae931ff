package store

import (
	"context"
	"errors"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"lotusstile.dev/lotusstile/wire"
)

// lossy is a state service that never answers commits, and reads only if it is
// well.
type lossy struct{ well bool }

func (l *lossy) RoundTrip(r *http.Request) (*http.Response, error) {
	if strings.HasSuffix(r.URL.Path, "/commit") || !l.well {
		<-r.Context().Done()
		return nil, r.Context().Err()
	}
	rec := httptest.NewRecorder()
	rec.WriteString("{}")
	return rec.Result(), nil
}

// A commit whose answer is lost is given up once later requests are answered,
// and its outcome is unknown; on a service that answers nothing it waits for its
// time-out, so that a slow one is not asked twice.
func TestOvertakenCommitsAreGivenUp(t *testing.T) {
	for _, well := range []bool{true, false} {
		synctest.Test(t, func(t *testing.T) {
			c := New("state:1", Limits{Rps: 100, WriteRps: 100}, 2*time.Second, &lossy{well})
			ctx, cancel := context.WithCancel(t.Context())
			defer cancel()
			go func() {
				for ctx.Err() == nil {
					rctx, stop := context.WithTimeout(ctx, 100*time.Millisecond)
					_, _, _ = c.Get(rctx, "e/term") // only whether it is answered matters
					stop()
					time.Sleep(100 * time.Millisecond)
				}
			}()
			begun := time.Now()
			_, err := c.Commit(ctx, wire.Commit{Apply: []wire.Change{{Drop: "x"}}})
			took := time.Since(begun)
			if !errors.Is(err, ErrUnknown) {
				t.Errorf("well %v: %v", well, err)
			}
			if well && took > 700*time.Millisecond || !well && took != 2*time.Second {
				t.Errorf("well %v: given up after %s", well, took)
			}
			cancel()
			time.Sleep(time.Second)
		})
	}
}
