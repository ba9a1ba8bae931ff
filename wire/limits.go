package wire

import "time"

// MaxBody is the size limit of a request body in bytes, at every receiver.
const MaxBody = 64 << 10

const (
	maxAmount = 1e9 // largest amount of a resource, and longest duration in seconds
	maxName   = 200 // longest name in bytes; the state store rejects longer keys
)

// What users expect of answers to polls, by the protocol.
const (
	// MaxStatusLag is how old the status in an answer may be.
	MaxStatusLag = 3 * time.Second
	// MaxUnanswered is the time without an answer after which a job counts as forgotten.
	MaxUnanswered = 75 * time.Second
)
