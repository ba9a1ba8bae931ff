package main

import (
	"bufio"
	"fmt"
	"os"
	"sync"
	"time"
)

// recorder writes record.txt: one line for each event, with the seconds since the start.
type recorder struct {
	mu      sync.Mutex
	file    *os.File
	out     *bufio.Writer
	started time.Time
}

func newRecorder(path string) (*recorder, error) {
	file, err := os.Create(path)
	if err != nil {
		return nil, fmt.Errorf("create the record: %w", err)
	}
	return &recorder{file: file, out: bufio.NewWriter(file), started: time.Now()}, nil
}

// printf adds a line.
func (r *recorder) printf(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	line := fmt.Sprintf("%8.3f "+format+"\n", append([]any{time.Since(r.started).Seconds()}, args...)...)
	if _, err := r.out.WriteString(line); err != nil {
		fmt.Fprintln(os.Stderr, "cases: write the record:", err)
	}
}

// close writes what is buffered.
func (r *recorder) close() {
	r.mu.Lock()
	defer r.mu.Unlock()
	if err := r.out.Flush(); err != nil {
		fmt.Fprintln(os.Stderr, "cases: write the record:", err)
	}
	if err := r.file.Close(); err != nil {
		fmt.Fprintln(os.Stderr, "cases: close the record:", err)
	}
}
