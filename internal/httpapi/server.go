// Package httpapi is the HTTP API for users, workers and operators: routes, parsing, status codes
// and Retry-After. The components in Options supply the content of the answers.
package httpapi

import (
	"context"
	"errors"
	"io"
	"log/slog"
	"net"
	"net/http"

	"github.com/labstack/echo/v4"

	"lotusstile.dev/lotusstile/internal/admission"
	"lotusstile.dev/lotusstile/internal/clusterversion"
	"lotusstile.dev/lotusstile/internal/config"
	"lotusstile.dev/lotusstile/internal/jobstatus"
	"lotusstile.dev/lotusstile/internal/peer"
	"lotusstile.dev/lotusstile/internal/relay"
	"lotusstile.dev/lotusstile/internal/store"
	"lotusstile.dev/lotusstile/internal/watchcache"
	"lotusstile.dev/lotusstile/wire"
)

// Heartbeats decides the answers to workers' heartbeats.
type Heartbeats interface {
	// Answer returns the commands for a worker that has sent a heartbeat with this body to this
	// node. Its error is of the kinds that EncodeHeartbeatAnswer maps.
	Answer(ctx context.Context, body []byte, pressure relay.Pressure) (*wire.Commands, error)
}

// Settings reads and changes the operators' settings.
type Settings interface {
	// Current returns the settings in force, which must not be changed.
	Current() *wire.Settings
	// Change commits settings that are based on Current. A *store.ConflictError means that other
	// settings were committed meanwhile.
	Change(ctx context.Context, next wire.Settings) error
}

// Operations provides the state and the metrics of the node that the administration API shows.
type Operations interface {
	// Status returns the state of this node and, if the leader is reachable, of the whole service.
	Status() wire.Status
	// WriteMetrics writes the metrics in the Prometheus text format.
	WriteMetrics(out io.Writer)
	// CountRequest counts an answered request by its kind and the status of its answer.
	CountRequest(kind string, status int)
}

// Options are the components that a Server answers requests with.
type Options struct {
	Config      *config.Config
	Store       *store.Client
	Statuses    *jobstatus.Reader
	JobCache    *watchcache.Cache
	Version     *clusterversion.Tracker
	Load        *admission.LoadMonitor
	Connections *admission.Connections
	Peers       []*peer.Peer
	Heartbeats  Heartbeats
	Settings    Settings
	Operations  Operations
	// Catalog returns the machine types, or nil before they are known.
	Catalog func() *wire.Catalog
	// Serving reports whether this node has read the state store recently.
	Serving func() bool
	// LeaderIsCutOff reports whether another node leads that this node cannot reach.
	LeaderIsCutOff func() bool
	// AnnounceCancelled applies a committed cancellation at this node and announces it to its peers.
	AnnounceCancelled func(peer.Cancellation)
}

// Server answers users, workers, operators and health checks. It is safe for concurrent use.
type Server struct {
	Options
	echo *echo.Echo
}

// New returns a server.
func New(o Options) *Server {
	s := &Server{Options: o, echo: echo.New()}
	s.echo.HideBanner, s.echo.HidePort = true, true
	s.echo.HTTPErrorHandler = handleError
	s.echo.POST("/checkin", s.heartbeat)
	s.echo.POST(submitPath, s.userHandler(s.submit))
	s.echo.GET("/work/:id", s.userHandler(s.poll))
	s.echo.POST("/work/:id/withdraw", s.userHandler(s.cancel))
	s.echo.GET("/ready", s.ready)
	s.echo.GET("/admin/status", s.status)
	s.echo.GET("/admin/metrics", s.metrics)
	s.echo.GET("/admin/pprof/:name", s.profile)
	s.echo.GET("/admin/settings", s.settings)
	s.echo.PUT("/admin/settings", s.changeSettings)
	return s
}

// submitPath is where jobs are submitted.
const submitPath = "/work"

// Handler returns the handler of all routes.
func (s *Server) Handler() http.Handler { return s.echo }

// Serve answers requests on l until l is closed.
func (s *Server) Serve(l net.Listener) error {
	limited := s.Connections.Listen(l)
	srv := &http.Server{
		ConnState:         limited.ConnState,
		ConnContext:       limited.ConnContext,
		Handler:           s.Connections.CloseUnderPressure(s.Handler()),
		ReadHeaderTimeout: s.Config.WorkerLease() / 2,
		ReadTimeout:       s.Config.WorkerLease() / 2,
		WriteTimeout:      s.Config.WorkerLease(),
		IdleTimeout:       3 * s.Config.WorkerLease(),
		MaxHeaderBytes:    8 << 10,
	}
	err := srv.Serve(limited)
	if errors.Is(err, net.ErrClosed) {
		return nil
	}
	return err
}

// handleError answers a request whose handler returned an error, unless an answer has been started.
func handleError(err error, c echo.Context) {
	if c.Response().Committed {
		return
	}
	if err := respondError(c, err); err != nil {
		slog.Debug("failed to write an answer", "err", err)
	}
}
