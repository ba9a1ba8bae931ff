package wire

const (
	// MaxProvision is the largest number of machines in one provision request.
	MaxProvision = 50
	// MaxReturn is the largest number of names in one scale-in request.
	MaxReturn = 100
)

// MachineType is a machine type of GET /catalog.
type MachineType struct {
	Name         string   `json:"Sku"`
	Cores        float64  `json:"Cores"`
	Gpus         float64  `json:"Gpus"`
	RAMGb        float64  `json:"RamGb"`
	ImageCacheGb float64  `json:"LocalGb"` // local disk for images
	FetchGbPerS  float64  `json:"PullGbPerS"`
	Hourly       float64  `json:"Hourly"`   // price of an on-demand machine
	SpotHourly   float64  `json:"LowPrice"` // price of a spot machine
	BootS        float64  `json:"BootS"`    // nominal; usually 0.6 to 1.5 times as long
	Zones        []string `json:"Yards"`
}

// Catalog answers GET /catalog.
type Catalog struct {
	MachineTypes []MachineType `json:"Rigs"`
}

// ProvisionRequest is the body of POST /machines. A RequestID that was answered with 200
// gets the same answer again and provisions nothing, so no node may use it for another request.
type ProvisionRequest struct {
	RequestID   string `json:"Booking"`
	MachineType string `json:"Rig"`
	Zone        string `json:"Yard"`
	Spot        bool   `json:"Standby"`
	Count       int    `json:"HowMany"`
}

// HostNames names machines: it answers POST /machines and is the body of POST /machines/return.
type HostNames struct {
	Hosts []string `json:"Hosts"`
}

// HostStatus is the state of a machine in the cloud's list.
type HostStatus string

// The states of listed machines.
const (
	HostBooting HostStatus = "booting"
	HostRunning HostStatus = "running"
	HostFailed  HostStatus = "failed"
)

// ListedHost is a machine in the cloud's list.
type ListedHost struct {
	UID         string     `json:"Uid"`
	Address     string     `json:"Address"`
	MachineType string     `json:"Rig"`
	Zone        string     `json:"Yard"`
	Spot        bool       `json:"Standby"`
	Status      HostStatus `json:"Status"`
	AgeS        float64    `json:"AgeS"` // since the provision request
}

// HostList answers GET /machines.
type HostList struct {
	Hosts []ListedHost `json:"Hosts"`
	More  bool         `json:"More"`
}
