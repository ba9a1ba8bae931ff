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
	"sync/atomic"
	"syscall"
	"time"

	"lotusstile.dev/lotusstile/internal/records"
	"lotusstile.dev/lotusstile/internal/simcluster"
	"lotusstile.dev/lotusstile/wire"
)

// processes runs each controller as a separate process.
type processes struct {
	program string
	args    []string
	dir     string
	running []*process
	// onExit is called, in a goroutine of its own, when a controller exits without having been killed.
	onExit func(error)
}

// process is a controller that was started.
type process struct {
	*os.Process
	killed atomic.Bool
	exited chan struct{} // closed when it has exited
}

// newProcesses prepares the processes of controllers whose settings files are in dir. It starts no
// process.
func newProcesses(command, dir string, controllers int, onExit func(error)) *processes {
	words := strings.Fields(command)
	return &processes{program: words[0], args: words[1:], dir: dir, running: make([]*process, controllers), onExit: onExit}
}

// start starts controller i, which logs to a file next to its settings file. The process is killed when
// ctx ends.
func (p *processes) start(ctx context.Context, i int) error {
	logFile, err := os.OpenFile(filepath.Join(p.dir, nodeName(i)+".log"), os.O_APPEND|os.O_CREATE|os.O_WRONLY, 0o644)
	if err != nil {
		return fmt.Errorf("open the log of a controller: %w", err)
	}
	args := append(append([]string{}, p.args...), "--config", filepath.Join(p.dir, nodeName(i)+".toml"))
	cmd := exec.CommandContext(ctx, p.program, args...)
	cmd.Stderr, cmd.Stdout = logFile, logFile
	if err := cmd.Start(); err != nil {
		return fmt.Errorf("start a controller: %w", errors.Join(err, logFile.Close()))
	}
	started := &process{Process: cmd.Process, exited: make(chan struct{})}
	p.running[i] = started
	go func() {
		err := cmd.Wait()
		close(started.exited)
		if !started.killed.Load() && ctx.Err() == nil {
			p.onExit(fmt.Errorf("%s has exited (%v); its log is %s", nodeName(i), exitText(err), logFile.Name()))
		}
	}()
	if err := logFile.Close(); err != nil { // the process has its own descriptor of the file
		return fmt.Errorf("close the log of a controller: %w", err)
	}
	return nil
}

// exitText returns how a process has exited, by the error of the wait for it.
func exitText(err error) string {
	if err == nil {
		return "exit status 0"
	}
	return err.Error()
}

// kill kills controller i and waits until it has exited.
func (p *processes) kill(i int) error {
	controller := p.running[i]
	controller.killed.Store(true)
	if err := controller.Kill(); err != nil {
		return fmt.Errorf("kill a controller: %w", err)
	}
	<-controller.exited
	return nil
}

// signal sends a signal to controller i, to pause or to resume it.
func (p *processes) signal(i int, s syscall.Signal) error {
	if err := p.running[i].Signal(s); err != nil {
		return fmt.Errorf("signal a controller: %w", err)
	}
	return nil
}

// killAll kills all controllers, including paused ones.
func (p *processes) killAll() {
	for i, controller := range p.running {
		if controller != nil {
			_ = p.signal(i, syscall.SIGCONT)
			_ = p.kill(i)
		}
	}
}

// usage is the processor time and the resident memory of a process.
type usage struct {
	processor   time.Duration
	residentKiB int
}

// clockTicksPerSecond is the number of ticks per second in which Linux counts processor times in /proc.
const clockTicksPerSecond = 100

// usage reads the usage of controller i from /proc.
func (p *processes) usage(i int) (usage, error) {
	dir := fmt.Sprintf("/proc/%d/", p.running[i].Pid)
	stat, err := os.ReadFile(dir + "stat")
	if err != nil {
		return usage{}, fmt.Errorf("read the usage of a controller: %w", err)
	}
	_, afterCommand, _ := strings.Cut(string(stat), ") ")
	fields := strings.Fields(afterCommand)
	// Indexes of fields of /proc/PID/stat, counted from the first field after the command name. The
	// command name itself may contain spaces.
	const user, system, pages = 11, 12, 21
	var values [3]int
	for k, field := range [...]int{user, system, pages} {
		if values[k], err = strconv.Atoi(fields[field]); err != nil {
			return usage{}, fmt.Errorf("parse the usage of a controller: %w", err)
		}
	}
	ticks := time.Duration(values[0] + values[1])
	return usage{processor: ticks * time.Second / clockTicksPerSecond, residentKiB: values[2] * os.Getpagesize() / 1024}, nil
}

// leaderOf returns the number and the term of the controller that leads; ok is false if none leads.
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

// statusTimeout is the timeout of a status request.
const statusTimeout = 3 * time.Second

// fetchStatus requests the status of the controller at an address.
func fetchStatus(ctx context.Context, address string) (status wire.Status, err error) {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+address+"/admin/status", http.NoBody)
	if err != nil {
		return status, fmt.Errorf("create a status request: %w", err)
	}
	client := http.Client{Timeout: statusTimeout}
	resp, err := client.Do(req)
	if err != nil {
		return status, fmt.Errorf("request the status of a controller: %w", err)
	}
	err = errors.Join(json.NewDecoder(resp.Body).Decode(&status), resp.Body.Close())
	if err != nil {
		return wire.Status{}, fmt.Errorf("read the status of a controller: %w", err)
	}
	return status, nil
}
