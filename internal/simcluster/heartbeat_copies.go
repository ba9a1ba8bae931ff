package simcluster

import "sync"

// maxCopies is how many heartbeats are captured at most.
const maxCopies = 2000

// heartbeatCopies holds copies of heartbeats that the next leader is to receive late.
type heartbeatCopies struct {
	mu        sync.Mutex
	capturing bool
	copies    [][]byte
}

// add retains a copy of a heartbeat if heartbeats are captured.
func (h *heartbeatCopies) add(data []byte) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.capturing && len(h.copies) < maxCopies {
		h.copies = append(h.copies, data)
	}
}

// setCapturing begins or ends capturing. When it ends, it returns the captured heartbeats.
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

// CaptureHeartbeats begins or ends capturing copies of all heartbeats. When it ends, the copies are sent
// to every controller: a new leader receives heartbeats that are older than its term.
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
