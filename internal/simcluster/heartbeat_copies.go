package simcluster

import "sync"

// maxCopies is how many heartbeats are captured at most.
const maxCopies = 2000

// heartbeatCopies is copies of heartbeats that are captured for the next leader.
type heartbeatCopies struct {
	mu        sync.Mutex
	capturing bool
	copies    [][]byte
}

// add keeps a copy of a heartbeat if heartbeats are captured.
func (h *heartbeatCopies) add(data []byte) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.capturing && len(h.copies) < maxCopies {
		h.copies = append(h.copies, data)
	}
}

// setCapturing begins or ends capturing. Its end returns what was captured.
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

// CaptureHeartbeats begins or ends keeping a copy of every heartbeat for the next leader. Its end
// delivers all of them to every controller.
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
