package relay

// Pressure is the connection pressure at a controller when a heartbeat arrived there: how many of its connections
// were in use.
type Pressure uint8

// The levels of pressure. Their numeric values are sent in batches to other controllers.
const (
	NoPressure    Pressure = iota // enough connections are free
	UnderPressure                 // nearly all are in use: answers do not wait for commands, and close their connections
	Full                          // the heartbeat arrived on a reserve connection: the worker has to move
)

var pressureNames = [...]string{"relaxed", "crowded", "full"}

// String returns the name of the level.
func (p Pressure) String() string { return pressureNames[min(int(p), len(pressureNames)-1)] }
