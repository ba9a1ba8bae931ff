package simcluster

import "sync"

// maxCopies is the largest number of heartbeats that are captured.
const maxCopies = 2000

// heartbeatCopies holds copies of heartbeats that controllers are to receive again, later.
type heartbeatCopies struct {
	mu        sync.Mutex
	capturing bool
	copies    [][]byte
}

// add captures a heartbeat if capturing is on and fewer than maxCopies are held.
func (h *heartbeatCopies) add(data []byte) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.capturing && len(h.copies) < maxCopies {
		h.copies = append(h.copies, data)
	}
}

// setCapturing switches capturing on or off. When it switches capturing off, it returns the captured
// heartbeats.
func (h *heartbeatCopies) setCapturing(on bool) (captured [][]byte) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.capturing = on
	if on {
		return nil
	}
	captured, h.copies = h.copies, nil
	return captured
}

// CaptureHeartbeats switches the capturing of all heartbeats on or off. When it switches capturing off, it
// sends the copies to every controller: a new leader receives heartbeats that are older than its term.
func (c *Cluster) CaptureHeartbeats(on bool) {
	captured := c.copies.setCapturing(on)
	if on {
		return
	}
	for _, node := range c.Nodes {
		go func() {
			for _, data := range captured {
				c.postHeartbeat("copies", node, data)
			}
		}()
	}
}
