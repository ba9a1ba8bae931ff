package relay

// Pressure is how short of connections the controller is that a worker reports to.
type Pressure uint8

// The degrees of pressure.
const (
	Relaxed       Pressure = iota
	UnderPressure          // nearly all places are taken: answers do not wait, and close their connection
	Full                   // the report has come on a connection of the reserve: the worker has to go
)

var pressureNames = [...]string{"relaxed", "crowded", "full"}

func (p Pressure) String() string { return pressureNames[min(int(p), len(pressureNames)-1)] }
