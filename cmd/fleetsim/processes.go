package main

import (
	"encoding/json"
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
func (p *processes) start(i int) error {
	log, err := os.OpenFile(filepath.Join(p.dir, fmt.Sprintf("node-%d.log", i)), os.O_APPEND|os.O_CREATE|os.O_WRONLY, 0o644)
	if err != nil {
		return fmt.Errorf("log of a controller: %w", err)
	}
	defer log.Close()
	args := append(append([]string{}, p.args...), "--config", filepath.Join(p.dir, fmt.Sprintf("node-%d.toml", i)))
	cmd := exec.Command(p.program, args...)
	cmd.Stderr, cmd.Stdout = log, log
	if err := cmd.Start(); err != nil {
		return fmt.Errorf("start a controller: %w", err)
	}
	p.running[i] = cmd
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

// end kills all of them.
func (p *processes) end() {
	for i, cmd := range p.running {
		if cmd != nil {
			_ = p.signal(i, syscall.SIGCONT)
			_ = p.kill(i)
		}
	}
}

// usage is what a process has used.
type usage struct {
	cpu time.Duration
	rss int // KiB
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
	return usage{ticks * time.Second / clockTicks, numbers[2] * os.Getpagesize() / 1024}, nil
}

// leaderOf is the number of the controller that leads and its term.
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

// status asks a controller how it stands.
func status(address string) (wire.Status, error) {
	client := http.Client{Timeout: 3 * time.Second}
	resp, err := client.Get("http://" + address + "/admin/status")
	if err != nil {
		return wire.Status{}, fmt.Errorf("status: %w", err)
	}
	defer resp.Body.Close()
	var st wire.Status
	if err := json.NewDecoder(resp.Body).Decode(&st); err != nil {
		return wire.Status{}, fmt.Errorf("status: %w", err)
	}
	return st, nil
}
