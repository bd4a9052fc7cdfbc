package wire

// Flavors mirrors GET /flavors.
type Flavors struct {
	Builds []Flavor `cbor:"builds"`
}

// Flavor is one machine type.
type Flavor struct {
	Label      string   `cbor:"label"`
	VCPUs      float64  `cbor:"vcpus"`
	Cards      float64  `cbor:"cards"`
	MemGB      float64  `cbor:"mem_gb"`
	LocalGB    float64  `cbor:"local_gb"`
	PullGBPerS float64  `cbor:"pull_gb_per_s"`
	Hourly     float64  `cbor:"hourly"`
	SpotPrice  float64  `cbor:"spot_price"`
	ReadyS     float64  `cbor:"ready_s"`
	Yards      []string `cbor:"yards"`
}

// RentalRequest mirrors POST /rentals.
type RentalRequest struct {
	Hire    string `cbor:"hire"`
	Build   string `cbor:"build"`
	Yard    string `cbor:"yard"`
	Loaners bool   `cbor:"loaners"`
	Count   int    `cbor:"count"`
}

// Stalls names machines, in a rental's answer and a release's request.
type Stalls struct {
	Stalls []string `cbor:"stalls"`
}

// RentalPage mirrors one page of GET /rentals.
type RentalPage struct {
	Stalls  []Rental `cbor:"stalls"`
	HasNext bool     `cbor:"has_next"`
}

// Rental is one listed machine.
type Rental struct {
	Ref      string  `cbor:"ref"`
	Endpoint string  `cbor:"endpoint"`
	Build    string  `cbor:"build"`
	Yard     string  `cbor:"yard"`
	Loaners  bool    `cbor:"loaners"`
	Status   string  `cbor:"status"`
	HeldS    float64 `cbor:"held_s"`
}

// Listed states of a rental.
const (
	RentalStarting = "starting"
	RentalRunning  = "running"
	RentalFailed   = "failed"
)
