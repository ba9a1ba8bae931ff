package main

import (
	"bytes"
	"fmt"
	"io"
	"net/http"
	"os"
	"sync"
	"time"

	"lotusstile.dev/lotusstile/wire"
)

// record writes what was sent, answered and run to a file, a line each, with the seconds since the start.
type record struct {
	mu      sync.Mutex
	file    *os.File
	started time.Time
	reports map[string]string // by host: the tasks of its last report, to write changes only
}

func newRecord(path string) (*record, error) {
	file, err := os.Create(path)
	if err != nil {
		return nil, fmt.Errorf("make the record: %w", err)
	}
	return &record{file: file, started: time.Now(), reports: map[string]string{}}, nil
}

// logf writes one line.
func (r *record) logf(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	line := fmt.Sprintf("%8.3f %s\n", time.Since(r.started).Seconds(), fmt.Sprintf(format, args...))
	_, _ = r.file.WriteString(line)
}

// checkIn writes a worker's report if its tasks have changed, and an answer that has orders or is not a 200.
func (r *record) checkIn(node string, body []byte, status int, answer []byte) {
	var report wire.Heartbeat
	if wire.Decode(body, &report) != nil {
		return
	}
	tasks := ""
	for _, task := range report.Tasks {
		tasks += fmt.Sprintf(" %s/try%d=%s%s", task.Task, task.Attempt, task.Status, task.Cause)
	}
	r.mu.Lock()
	changed := r.reports[report.Host] != tasks
	r.reports[report.Host] = tasks
	r.mu.Unlock()
	if changed {
		r.logf("%s -> %s: report shift %d tick %d baton %d, tasks:%s", report.Host, node, report.Incarnation, report.Sequence,
			report.FencingToken, tasks)
	}
	var commands wire.Commands
	if status != http.StatusOK || wire.Decode(answer, &commands) == nil && len(commands.Commands) > 0 {
		r.logf("%s -> %s: answer to tick %d: %d %s", node, report.Host, report.Sequence, status, bytes.TrimSpace(answer))
	}
}

// tee is a ResponseWriter that keeps what is written.
type tee struct {
	http.ResponseWriter
	status int
	body   bytes.Buffer
}

// WriteHeader passes the status on.
func (t *tee) WriteHeader(status int) {
	t.status = status
	t.ResponseWriter.WriteHeader(status)
}

// Write passes a part of the body on.
func (t *tee) Write(part []byte) (int, error) {
	t.body.Write(part)
	return t.ResponseWriter.Write(part)
}

// recorded wraps the way to a controller, so that the record has the workers' reports and their answers.
func (r *record) recorded(node string, next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, req *http.Request) {
		body, err := io.ReadAll(req.Body)
		if err != nil {
			http.Error(w, err.Error(), http.StatusBadGateway)
			return
		}
		req.Body = io.NopCloser(bytes.NewReader(body))
		answer := &tee{ResponseWriter: w, status: http.StatusOK}
		next.ServeHTTP(answer, req)
		r.checkIn(node, body, answer.status, answer.body.Bytes())
	})
}
