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

// Announce tells a worker a fencing token by an empty direct command. It returns the
// worker's heartbeat.
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
	defer func() { _ = resp.Body.Close() }() // it has been read, or its error is returned
	data, err := io.ReadAll(io.LimitReader(resp.Body, 4*wire.MaxBody))
	if err != nil {
		return wire.Heartbeat{}, fmt.Errorf("announce: %w", err)
	}
	return wire.ParseHeartbeat(data)
}
