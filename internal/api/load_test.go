package api

import (
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/labstack/echo/v4"

	"lotusstile.dev/lotusstile/internal/config"
	"lotusstile.dev/lotusstile/internal/store"
)

// Under overload submissions are refused at once with word when to come back,
// while workers' reports are still taken.
func TestOverloadShedsUsersFirst(t *testing.T) {
	n := &Node{}
	n.load.limit, n.load.most = time.Second, 2
	n.measure()
	e := echo.New()
	block, entered := make(chan struct{}), make(chan struct{}, 8)
	e.POST("/work", n.user(func(c echo.Context) error {
		entered <- struct{}{}
		<-block
		return c.NoContent(http.StatusCreated)
	}))
	ask := func() *httptest.ResponseRecorder {
		rec := httptest.NewRecorder()
		e.ServeHTTP(rec, httptest.NewRequest(http.MethodPost, "/work", nil))
		return rec
	}
	n.cfg = &config.Config{}
	n.store = store.New("state:1", 1, 1, time.Second, nil)
	answers := make(chan int, 2)
	for range 2 {
		go func() { answers <- ask().Code }()
		<-entered
	}
	if rec := ask(); rec.Code != http.StatusServiceUnavailable || rec.Header().Get(echo.HeaderRetryAfter) == "" {
		t.Errorf("a third request is answered %d, Retry-After %q", rec.Code, rec.Header().Get(echo.HeaderRetryAfter))
	}
	close(block)
	for range 2 {
		if code := <-answers; code != http.StatusCreated {
			t.Errorf("answered %d", code)
		}
	}
	if code := ask().Code; code != http.StatusCreated {
		t.Errorf("after the rush: %d", code)
	}
	n.load.behind.Store(true)
	if code := ask().Code; code != http.StatusServiceUnavailable {
		t.Errorf("a node that is behind answers %d", code)
	}
}
