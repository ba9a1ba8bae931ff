package main

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"syscall"
	"time"

	"lotusstile.dev/lotusstile/internal/records"
	"lotusstile.dev/lotusstile/internal/simcluster"
	"lotusstile.dev/lotusstile/wire"
)

// processes runs the controllers as processes of their own.
type processes struct {
	program string
	args    []string
	dir     string
	running []*exec.Cmd
}

// newProcesses prepares the processes of controllers whose settings files are in dir. It starts none.
func newProcesses(command, dir string, controllers int) *processes {
	words := strings.Fields(command)
	return &processes{program: words[0], args: words[1:], dir: dir, running: make([]*exec.Cmd, controllers)}
}

// start starts a controller, which logs to a file next to its settings. The process is killed when ctx ends.
func (p *processes) start(ctx context.Context, i int) error {
	log, err := os.OpenFile(filepath.Join(p.dir, nodeName(i)+".log"), os.O_APPEND|os.O_CREATE|os.O_WRONLY, 0o644)
	if err != nil {
		return fmt.Errorf("log of a controller: %w", err)
	}
	args := append(append([]string{}, p.args...), "--config", filepath.Join(p.dir, nodeName(i)+".toml"))
	cmd := exec.CommandContext(ctx, p.program, args...)
	cmd.Stderr, cmd.Stdout = log, log
	if err := cmd.Start(); err != nil {
		return fmt.Errorf("start a controller: %w", errors.Join(err, log.Close()))
	}
	p.running[i] = cmd
	if err := log.Close(); err != nil { // the process has a descriptor of its own
		return fmt.Errorf("log of a controller: %w", err)
	}
	return nil
}

// kill kills a controller and waits for its end.
func (p *processes) kill(i int) error {
	if err := p.running[i].Process.Kill(); err != nil {
		return fmt.Errorf("kill a controller: %w", err)
	}
	_ = p.running[i].Wait() // the error only says that it was killed
	return nil
}

// signal sends a signal to a controller, to pause or to resume it.
func (p *processes) signal(i int, s syscall.Signal) error {
	if err := p.running[i].Process.Signal(s); err != nil {
		return fmt.Errorf("signal a controller: %w", err)
	}
	return nil
}

// killAll kills all controllers, also those that are paused.
func (p *processes) killAll() {
	for i, cmd := range p.running {
		if cmd != nil {
			_ = p.signal(i, syscall.SIGCONT)
			_ = p.kill(i)
		}
	}
}

// usage is the processor time that a process has used, and its resident memory.
type usage struct {
	processor   time.Duration
	residentKiB int
}

// clockTicks is the number of ticks a second in which Linux counts the times in /proc.
const clockTicks = 100

// usage reads the usage of a controller from /proc.
func (p *processes) usage(i int) (usage, error) {
	dir := fmt.Sprintf("/proc/%d/", p.running[i].Process.Pid)
	stat, err := os.ReadFile(dir + "stat")
	if err != nil {
		return usage{}, fmt.Errorf("usage: %w", err)
	}
	_, after, _ := strings.Cut(string(stat), ") ")
	fields := strings.Fields(after)
	// Of /proc/PID/stat, counted from the field after the command name, which may contain spaces.
	const user, system, pages = 11, 12, 21
	var numbers [3]int
	for k, field := range [...]int{user, system, pages} {
		if numbers[k], err = strconv.Atoi(fields[field]); err != nil {
			return usage{}, fmt.Errorf("usage: %w", err)
		}
	}
	ticks := time.Duration(numbers[0] + numbers[1])
	return usage{processor: ticks * time.Second / clockTicks, residentKiB: numbers[2] * os.Getpagesize() / 1024}, nil
}

// leaderOf returns the number of the controller that leads and its term; ok is false if none does.
func leaderOf(cluster *simcluster.Cluster) (i int, term uint64, ok bool) {
	item, ok := cluster.Store.Get(records.LeaderKey)
	if !ok {
		return 0, 0, false
	}
	var leader records.Leader
	if err := json.Unmarshal(item.Value, &leader); err != nil {
		return 0, 0, false
	}
	i, err := strconv.Atoi(strings.TrimPrefix(leader.Node, "node-"))
	return i, item.ModRevision, err == nil
}

// statusTimeout bounds a request for the status of a controller.
const statusTimeout = 3 * time.Second

// fetchStatus asks a controller for its status.
func fetchStatus(ctx context.Context, address string) (status wire.Status, err error) {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+address+"/admin/status", http.NoBody)
	if err != nil {
		return status, fmt.Errorf("status: %w", err)
	}
	client := http.Client{Timeout: statusTimeout}
	resp, err := client.Do(req)
	if err != nil {
		return status, fmt.Errorf("status: %w", err)
	}
	err = errors.Join(json.NewDecoder(resp.Body).Decode(&status), resp.Body.Close())
	if err != nil {
		return wire.Status{}, fmt.Errorf("status: %w", err)
	}
	return status, nil
}
