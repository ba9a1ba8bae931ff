package wire

// MaxBody is the size limit of a request body in bytes, at every receiver.
const MaxBody = 64 << 10

const (
	maxAmount = 1e9 // largest amount of a resource, and longest duration in seconds
	maxName   = 200 // longest name in bytes; the state store rejects longer keys
)
