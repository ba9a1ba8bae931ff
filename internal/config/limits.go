package config

const bytesPerKiB = 1024

// StateLimits are the limits of the state store, which all nodes share.
type StateLimits struct {
	Rps      float64 `toml:"rps"`       // requests a second
	WriteRps float64 `toml:"write_rps"` // changes a second
	ValueKb  float64 `toml:"value_kb"`  // size of a value, KiB
	TxnOps   int     `toml:"txn_ops"`   // changes in a transaction, which may have four times as many compares
	// Next holds announced limits that will come into force at an unknown time; nil if no change is
	// announced.
	Next *NextStateLimits `toml:"next"`
}

// NextStateLimits are announced limits of the state store; a limit that is nil does not change.
type NextStateLimits struct {
	WriteRps *float64 `toml:"write_rps"`
	ValueKb  *float64 `toml:"value_kb"`
	TxnOps   *int     `toml:"txn_ops"`
}

// StateLimits returns the limits that this program observes: for each limit, the lower of the value in
// force and the announced one. Announced limits come into force without notice, so the program never
// writes anything that they would not allow. Next in the result is as in the settings file.
func (c *Config) StateLimits() StateLimits {
	limits := c.Cluster.State
	next := limits.Next
	if next == nil {
		return limits
	}
	if next.WriteRps != nil {
		limits.WriteRps = min(limits.WriteRps, *next.WriteRps)
	}
	if next.ValueKb != nil {
		limits.ValueKb = min(limits.ValueKb, *next.ValueKb)
	}
	if next.TxnOps != nil {
		limits.TxnOps = min(limits.TxnOps, *next.TxnOps)
	}
	return limits
}

// MaxValueBytes returns the size in bytes of the largest value that the state store accepts under
// both the limits in force and the announced ones.
func (c *Config) MaxValueBytes() int { return int(c.StateLimits().ValueKb * bytesPerKiB) }

// CurrentMaxValueBytes returns the size in bytes of the largest value that the state store
// accepts until the announced limits come into force.
func (c *Config) CurrentMaxValueBytes() int { return int(c.Cluster.State.ValueKb * bytesPerKiB) }
