package wire

// MaxBody is the largest request body that any party accepts, in bytes.
const MaxBody = 64 << 10

const (
	maxAmount = 1e9 // of resources and durations
	maxName   = 200 // bytes of a name, as the state store allows for keys
)
