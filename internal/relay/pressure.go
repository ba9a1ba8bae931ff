package relay

// Pressure is how short of connections the controller is that a heartbeat arrived at.
type Pressure uint8

// The degrees of pressure. Their values travel in batches.
const (
	Relaxed       Pressure = iota // connections are free
	UnderPressure                 // nearly all are taken: answers do not wait, and then close their connection
	Full                          // the heartbeat came on a connection of the reserve: the worker has to move
)

var pressureNames = [...]string{"relaxed", "crowded", "full"}

// String returns the name of the degree.
func (p Pressure) String() string { return pressureNames[min(int(p), len(pressureNames)-1)] }
