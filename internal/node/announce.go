package node

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"

	"lotusstile.dev/lotusstile/wire"
)

// workerClient announces this node's fencing token to workers.
type workerClient struct{ http *http.Client }

// Announce sends a fencing token, with an empty list of direct commands, to the worker at address
// (host:port). incarnation is the worker's incarnation as far as the caller knows. Announce returns the
// heartbeat with which the worker answers, or an error if no answer comes within a heartbeat interval.
func (w *workerClient) Announce(ctx context.Context, address string, token, incarnation uint64) (wire.Heartbeat, error) {
	body, err := json.Marshal(wire.DirectCommands{FencingToken: token, Incarnation: incarnation, Commands: []wire.Command{}})
	if err != nil {
		return wire.Heartbeat{}, fmt.Errorf("encode direct commands: %w", err)
	}
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+address+"/do", bytes.NewReader(body))
	if err != nil {
		return wire.Heartbeat{}, fmt.Errorf("create request to worker: %w", err)
	}
	req.Header.Set("Content-Type", "application/json")
	resp, err := w.http.Do(req)
	if err != nil {
		return wire.Heartbeat{}, fmt.Errorf("send fencing token to worker: %w", err)
	}
	defer func() { _ = resp.Body.Close() }() // a read error is returned below, so a close error adds nothing
	data, err := io.ReadAll(io.LimitReader(resp.Body, 4*wire.MaxBody))
	if err != nil {
		return wire.Heartbeat{}, fmt.Errorf("read worker's answer: %w", err)
	}
	return wire.ParseHeartbeat(data)
}
