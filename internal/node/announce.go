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

// workerClient sends direct commands to workers.
type workerClient struct{ http *http.Client }

// Announce sends a worker a fencing token with an empty list of direct commands, at address
// (host:port). It returns the heartbeat that the worker answers with. It takes one heartbeat
// interval at most.
func (w *workerClient) Announce(ctx context.Context, address string, token, incarnation uint64) (wire.Heartbeat, error) {
	body, err := json.Marshal(wire.DirectCommands{FencingToken: token, Incarnation: incarnation, Commands: []wire.Command{}})
	if err != nil {
		return wire.Heartbeat{}, fmt.Errorf("encode: %w", err)
	}
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+address+"/do", bytes.NewReader(body))
	if err != nil {
		return wire.Heartbeat{}, fmt.Errorf("request: %w", err)
	}
	req.Header.Set("Content-Type", "application/json")
	resp, err := w.http.Do(req)
	if err != nil {
		return wire.Heartbeat{}, fmt.Errorf("announce: %w", err)
	}
	defer func() { _ = resp.Body.Close() }() // the body has been read, or the error of the read is returned
	data, err := io.ReadAll(io.LimitReader(resp.Body, 4*wire.MaxBody))
	if err != nil {
		return wire.Heartbeat{}, fmt.Errorf("announce: %w", err)
	}
	return wire.ParseHeartbeat(data)
}
