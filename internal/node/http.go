package node

import (
	"bytes"
	"errors"
	"io"
	"log/slog"
	"math"
	"net"
	"net/http"
	"strconv"
	"time"

	"github.com/labstack/echo/v4"
	"lotusstile.dev/lotusstile/internal/connlimit"
	"lotusstile.dev/lotusstile/internal/records"
	"lotusstile.dev/lotusstile/wire"
)

// Handler answers users, workers and health checks.
func (n *Node) Handler() http.Handler { return n.echo }

// submitPath is where jobs are submitted.
const submitPath = "/work"

func (n *Node) routes() *echo.Echo {
	e := echo.New()
	e.HideBanner, e.HidePort = true, true
	e.HTTPErrorHandler = func(err error, c echo.Context) {
		if c.Response().Committed {
			return
		}
		status, text := http.StatusInternalServerError, "internal error"
		var he *echo.HTTPError
		if errors.As(err, &he) {
			status, text = he.Code, http.StatusText(he.Code)
			if s, ok := he.Message.(string); ok {
				text = s
			}
		} else {
			slog.Error("request failed", "path", c.Path(), "err", err)
		}
		if err := c.JSON(status, wire.ErrorResponse{Error: text}); err != nil {
			slog.Debug("answer not written", "err", err)
		}
	}
	e.POST("/checkin", n.heartbeat)
	e.POST(submitPath, n.user(n.submit))
	e.GET("/work/:id", n.user(n.poll))
	e.POST("/work/:id/withdraw", n.user(n.cancel))
	e.GET("/ready", n.ready)
	e.GET("/admin/status", n.adminStatus)
	e.GET("/admin/metrics", n.adminMetrics)
	e.GET("/admin/pprof/:name", n.adminProfile)
	e.GET("/admin/settings", n.adminSettings)
	e.PUT("/admin/settings", n.adminChange)
	return e
}

// serve answers on l until it closes.
func (n *Node) serve(l net.Listener) error {
	limited := connlimit.New(l, n.limits())
	n.connections.Store(limited)
	srv := &http.Server{
		ConnState:         limited.ConnState,
		ConnContext:       limited.ConnContext,
		Handler:           n.inTurn(n.Handler()),
		ReadHeaderTimeout: n.cfg.WorkerLease() / 2,
		ReadTimeout:       n.cfg.WorkerLease() / 2,
		WriteTimeout:      n.cfg.WorkerLease(),
		IdleTimeout:       3 * n.cfg.WorkerLease(),
		MaxHeaderBytes:    8 << 10,
	}
	err := srv.Serve(limited)
	if errors.Is(err, net.ErrClosed) {
		return nil
	}
	return err
}

// errElsewhere means that this node cannot serve a request now, but another
// one may.
var errElsewhere = errors.New("cannot be served from here now")

func readBody(c echo.Context) ([]byte, error) {
	if body, ok := c.Get("body").([]byte); ok {
		return body, nil
	}
	limited := http.MaxBytesReader(c.Response(), c.Request().Body, wire.MaxBody)
	data, err := readAll(limited, c.Request().ContentLength)
	var tooLarge *http.MaxBytesError
	if errors.As(err, &tooLarge) {
		return nil, echo.NewHTTPError(http.StatusRequestEntityTooLarge, "body is over 64 KiB")
	}
	if err != nil {
		return nil, echo.NewHTTPError(http.StatusBadRequest, "body cannot be read")
	}
	return data, nil
}

// readAll reads a body whose length is known as a rule: 0 or below if it is not. A
// body that is not of that length is read all the same.
func readAll(body io.Reader, length int64) ([]byte, error) {
	var buffer bytes.Buffer
	if length > 0 && length <= wire.MaxBody {
		buffer.Grow(int(length) + bytes.MinRead) // room to see the end without growing again
	}
	_, err := buffer.ReadFrom(body)
	return buffer.Bytes(), err
}

// retryLater answers a request that cannot be decided now.
func retryLater(c echo.Context, why string) error { return retryAfter(c, time.Second, why) }

func retryAfter(c echo.Context, wait time.Duration, why string) error {
	c.Response().Header().Set(echo.HeaderRetryAfter, strconv.Itoa(max(1, int(math.Ceil(wait.Seconds())))))
	return c.JSON(http.StatusServiceUnavailable, wire.ErrorResponse{Error: why})
}

// ready answers health checks. A node is out only while it cannot serve and
// another can: in an outage that all share, leaving would help nobody.
func (n *Node) ready(c echo.Context) error {
	if !n.jobCache.Synced() || n.catalog.Load() == nil {
		return retryLater(c, "still catching up")
	}
	if n.store.ProofAge() > n.cfg.LeaderLeaseTTL()*3/2 && (n.elsewhere() || n.isolated()) {
		return retryLater(c, errElsewhere.Error())
	}
	return c.NoContent(http.StatusOK)
}

// isolated reports whether no peer has answered lately. With the state service not
// reached either, it is this node that is cut off: in an outage that all share, peers
// answer.
func (n *Node) isolated() bool {
	for _, p := range n.peers {
		if _, ok := p.LastPing(n.cfg.LeaderLeaseTTL() * 3 / 2); ok {
			return false
		}
	}
	return len(n.peers) > 0
}

func encode(v any) []byte { return records.Encode(v) }
