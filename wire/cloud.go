package wire

const (
	// MaxProvision is the largest number of machines in one provision request.
	MaxProvision = 50
	// MaxRelease is the largest number of machines in one release request (POST /machines/return).
	MaxRelease = 100
)

// MachineType is a machine type in the cloud's catalog.
type MachineType struct {
	Name         string   `json:"Sku"`
	Cores        float64  `json:"Cores"`
	Gpus         float64  `json:"Gpus"`
	RAMGb        float64  `json:"RamGb"`
	ImageCacheGb float64  `json:"LocalGb"`    // size of the local disk for images
	FetchGbPerS  float64  `json:"PullGbPerS"` // rate at which a machine fetches images
	Hourly       float64  `json:"Hourly"`     // price per hour of an on-demand machine
	SpotHourly   float64  `json:"LowPrice"`   // price per hour of a spot machine
	BootS        float64  `json:"BootS"`      // nominal boot time; machines usually take 0.6 to 1.5 times as long
	Zones        []string `json:"Yards"`
}

// Catalog is the response to GET /catalog.
type Catalog struct {
	MachineTypes []MachineType `json:"Rigs"`
}

// ProvisionRequest is the body of POST /machines. If the cloud has answered a RequestID with 200, it
// gives the same answer to every further request with that ID and provisions nothing. So no node may
// use an ID for two different requests.
type ProvisionRequest struct {
	RequestID   string `json:"Booking"`
	MachineType string `json:"Rig"`
	Zone        string `json:"Yard"`
	Spot        bool   `json:"Standby"`
	Count       int    `json:"HowMany"`
}

// HostNames is a list of machine names: the response to POST /machines and the body of
// POST /machines/return.
type HostNames struct {
	Hosts []string `json:"Hosts"`
}

// HostStatus is the state of a machine in the cloud's machine list.
type HostStatus string

// The states of listed machines.
const (
	HostBooting HostStatus = "booting"
	HostRunning HostStatus = "running"
	HostFailed  HostStatus = "failed"
)

// ListedHost is a machine in the cloud's machine list.
type ListedHost struct {
	UID         string     `json:"Uid"`
	Address     string     `json:"Address"`
	MachineType string     `json:"Rig"`
	Zone        string     `json:"Yard"`
	Spot        bool       `json:"Standby"`
	Status      HostStatus `json:"Status"`
	AgeS        float64    `json:"AgeS"` // since the provision request
}

// HostList is the response to GET /machines: one page of the machine list.
type HostList struct {
	Hosts []ListedHost `json:"Hosts"`
	More  bool         `json:"More"` // another page follows
}
