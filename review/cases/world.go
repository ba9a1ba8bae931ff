package main

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"time"

	"lotusstile.dev/lotusstile/internal/simcluster/fakestore"
	"lotusstile.dev/lotusstile/wire"
)

// world is a deployment: the stand-ins and the controllers' processes.
type world struct {
	rec        *recorder
	deployment *deployment
	dir        string
	addresses  addresses
	store      *fakestore.Store
	cloud      *cloud
	processes  [controllers]*exec.Cmd // guarded by mu
	listeners  []net.Listener
	command    string // starts a controller, without the settings file

	mu     sync.Mutex
	closed bool                     // no controller is started any more
	jobs   map[string]*wire.JobSpec // as their users uploaded them
	done   map[string]bool          // tasks whose result is kept
}

// newWorld starts the stand-ins and the controllers, and waits until all controllers are ready and all machines
// have been answered.
func newWorld(ctx context.Context, rec *recorder, d *deployment, command string) (*world, error) {
	dir, err := os.MkdirTemp("", "review-")
	if err != nil {
		return nil, fmt.Errorf("create a folder: %w", err)
	}
	w := &world{
		rec: rec, deployment: d, dir: dir, store: fakestore.New(), command: command,
		jobs: map[string]*wire.JobSpec{}, done: map[string]bool{},
	}
	w.store.SetLimits(fakestore.Limits{ValueBytes: int(d.valueKb * 1024), TxnOps: d.txnOps, WriteRps: d.writeRps, Rps: d.rps})
	w.cloud = newCloud(w)
	if err := w.start(ctx); err != nil {
		w.close()
		return nil, err
	}
	return w, nil
}

func (w *world) start(ctx context.Context) (err error) {
	if w.addresses.state, err = w.serve(ctx, w.store); err != nil {
		return err
	}
	if w.addresses.cloud, err = w.serve(ctx, w.cloud); err != nil {
		return err
	}
	if err := w.choosePorts(ctx); err != nil {
		return err
	}
	for i := range w.deployment.machines {
		if err := w.cloud.addMachine(ctx, w.deployment.zone(i)); err != nil {
			return err
		}
	}
	for i := range controllers {
		if err := w.startController(ctx, i); err != nil {
			return err
		}
	}
	return w.awaitReady(ctx)
}

// serve serves a handler on a free loopback port and returns the address.
func (w *world) serve(ctx context.Context, handler http.Handler) (string, error) {
	listener, err := (&net.ListenConfig{}).Listen(ctx, "tcp", "127.0.0.1:0")
	if err != nil {
		return "", fmt.Errorf("listen: %w", err)
	}
	w.listeners = append(w.listeners, listener)
	server := &http.Server{Handler: handler, ReadHeaderTimeout: time.Minute}
	go func() {
		if err := server.Serve(listener); !errors.Is(err, net.ErrClosed) {
			slog.Debug("stand-in stopped serving", "err", err)
		}
	}()
	return listener.Addr().String(), nil
}

// The ports of the controllers are chosen below those that the system gives to connections, so that none is taken
// between the choice and the start of the controllers.
const firstPort, ports = 20000, 12000

// choosePorts finds free ports for the controllers.
func (w *world) choosePorts(ctx context.Context) error {
	var held []net.Listener
	defer func() {
		for _, l := range held {
			closeQuietly(l)
		}
	}()
	for i := range controllers {
		for _, address := range []*string{&w.addresses.listen[i], &w.addresses.mesh[i]} {
			l, err := listenOnRandomPort(ctx)
			if err != nil {
				return err
			}
			held = append(held, l)
			*address = l.Addr().String()
		}
	}
	return nil
}

// listenOnRandomPort listens on a free port from firstPort on.
func listenOnRandomPort(ctx context.Context) (l net.Listener, err error) {
	const attempts = 100
	for range attempts {
		address := fmt.Sprintf("127.0.0.1:%d", firstPort+rand.IntN(ports))
		if l, err = (&net.ListenConfig{}).Listen(ctx, "tcp", address); err == nil {
			return l, nil
		}
	}
	return nil, fmt.Errorf("find a free port: %w", err)
}

// startController starts a controller with the command of the deploy file.
func (w *world) startController(ctx context.Context, i int) error {
	path := filepath.Join(w.dir, w.deployment.label(i)+".toml")
	if err := os.WriteFile(path, []byte(w.deployment.settings(i, &w.addresses)), 0o600); err != nil {
		return fmt.Errorf("write settings: %w", err)
	}
	logPath := filepath.Join(w.dir, w.deployment.label(i)+".log")
	logFile, err := os.OpenFile(logPath, os.O_APPEND|os.O_CREATE|os.O_WRONLY, 0o600)
	if err != nil {
		return fmt.Errorf("create a log: %w", err)
	}
	defer closeQuietly(logFile) // the process has its own descriptor
	words := append(strings.Fields(w.command), path)
	cmd := exec.CommandContext(context.WithoutCancel(ctx), words[0], words[1:]...)
	cmd.Stdout, cmd.Stderr = logFile, logFile
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.closed {
		return errCouldNotRun
	}
	if err := cmd.Start(); err != nil {
		return fmt.Errorf("start a controller: %w", err)
	}
	w.processes[i] = cmd
	w.rec.printf("%s started", w.deployment.label(i))
	return nil
}

// awaitReady waits until all controllers are ready and each machine has had an answer with a token.
func (w *world) awaitReady(ctx context.Context) error {
	client := http.Client{Timeout: time.Second}
	isReady := func() bool {
		for i := range controllers {
			req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+w.addresses.listen[i]+"/ready", http.NoBody)
			if err != nil {
				return false
			}
			resp, err := client.Do(req)
			if err != nil {
				return false
			}
			if err := resp.Body.Close(); err != nil || resp.StatusCode != http.StatusOK {
				return false
			}
		}
		return w.cloud.allAnswered()
	}
	if !waitUntil(ctx, 30*time.Second, isReady) {
		return fmt.Errorf("%w: the controllers were not ready in time", errCouldNotRun)
	}
	w.rec.printf("all controllers ready, all machines answered")
	return nil
}

// close ends all processes and stand-ins.
func (w *world) close() {
	w.mu.Lock()
	w.closed = true
	w.mu.Unlock()
	for i := range controllers {
		w.killController(i)
	}
	w.cloud.stopAll()
	for _, l := range w.listeners {
		closeQuietly(l)
	}
	if os.Getenv("KEEP") != "" {
		fmt.Println("kept:", w.dir)
		return
	}
	if err := os.RemoveAll(w.dir); err != nil {
		slog.Warn("folder could not be removed", "err", err)
	}
}

// killController kills a controller's process if it runs.
func (w *world) killController(i int) {
	w.mu.Lock()
	cmd := w.processes[i]
	w.processes[i] = nil
	w.mu.Unlock()
	if cmd == nil {
		return
	}
	if err := cmd.Process.Kill(); err != nil && !errors.Is(err, os.ErrProcessDone) {
		slog.Warn("controller could not be killed", "err", err)
	}
	_ = cmd.Wait() // the error only says that the process was killed
	w.rec.printf("%s ended", w.deployment.label(i))
}

// job returns the description of a job that a user has uploaded, or nil.
func (w *world) job(uid string) *wire.JobSpec {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.jobs[uid]
}

// waitUntil waits until a condition holds, for up to limit, and reports whether it held.
func waitUntil(ctx context.Context, limit time.Duration, condition func() bool) bool {
	deadline := time.Now().Add(limit)
	for !condition() {
		if time.Now().After(deadline) || !sleep(ctx, 50*time.Millisecond) {
			return false
		}
	}
	return true
}

// sleep waits for d; it returns false if ctx ends first.
func sleep(ctx context.Context, d time.Duration) bool {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-timer.C:
		return true
	}
}

// closeQuietly closes what is not used any more: an error would change nothing.
func closeQuietly(c interface{ Close() error }) { _ = c.Close() }
