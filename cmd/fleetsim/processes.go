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

// newProcesses makes the processes of so many controllers, whose settings files are in dir.
func newProcesses(command, dir string, controllers int) *processes {
	words := strings.Fields(command)
	return &processes{program: words[0], args: words[1:], dir: dir, running: make([]*exec.Cmd, controllers)}
}

// start starts a controller; what it logs goes to a file next to its settings.
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

// kill ends a controller at once.
func (p *processes) kill(i int) error {
	if err := p.running[i].Process.Kill(); err != nil {
		return fmt.Errorf("kill a controller: %w", err)
	}
	_ = p.running[i].Wait() // it was killed: that is its error
	return nil
}

// signal stops a controller or lets it go on.
func (p *processes) signal(i int, s syscall.Signal) error {
	if err := p.running[i].Process.Signal(s); err != nil {
		return fmt.Errorf("signal a controller: %w", err)
	}
	return nil
}

// killAll kills all of them, also those that are stopped.
func (p *processes) killAll() {
	for i, cmd := range p.running {
		if cmd != nil {
			_ = p.signal(i, syscall.SIGCONT)
			_ = p.kill(i)
		}
	}
}

// usage is what a process has used.
type usage struct {
	processor   time.Duration
	residentKiB int
}

// clockTicks is the unit of the times in /proc, as Linux gives it to programs.
const clockTicks = 100

// usage reads what a controller has used since it was started.
func (p *processes) usage(i int) (usage, error) {
	dir := fmt.Sprintf("/proc/%d/", p.running[i].Process.Pid)
	stat, err := os.ReadFile(dir + "stat")
	if err != nil {
		return usage{}, fmt.Errorf("usage: %w", err)
	}
	_, after, _ := strings.Cut(string(stat), ") ")
	fields := strings.Fields(after)
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

// leaderOf is the number of the controller that leads and its term; ok is false if nobody does.
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

// statusTimeout is how long a controller may take to tell its status.
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
