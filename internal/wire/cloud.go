package wire

// This file mirrors the cloud's interface (PROTOCOL: Controller nodes -> cloud). Package cloud
// converts its messages to the terms that other packages use.

// Paths of the cloud's interface.
const (
	FlavorsPath = "/flavors"
	RentalsPath = "/rentals"
	ReleasePath = "/rentals/release"
)

// ErrorNoCapacity is the text of the ErrorMessage, sent with status 503, by which the cloud says that
// it has no machines of the type, zone and kind (spot or not) that were requested.
const ErrorNoCapacity = "no capacity"

// Flavors is the body of the response to GET /flavors.
type Flavors struct {
	Builds []Flavor `cbor:"builds"`
}

// Flavor is a machine type with its current prices.
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

// RentalRequest is the body of POST /rentals, which creates machines. Hire is the request's
// idempotency key: a request with the same Hire as an earlier one creates no further machines.
type RentalRequest struct {
	Hire    string `cbor:"hire"`
	Build   string `cbor:"build"`
	Yard    string `cbor:"yard"`
	Loaners bool   `cbor:"loaners"`
	Count   int    `cbor:"count"`
}

// Stalls holds names of machines. It is the body of the response to a RentalRequest, and of POST
// /rentals/release, which deletes machines.
type Stalls struct {
	Stalls []string `cbor:"stalls"`
}

// RentalPage is the body of the response to GET /rentals: one page of the list of machines.
type RentalPage struct {
	Stalls  []Rental `cbor:"stalls"`
	HasNext bool     `cbor:"has_next"`
}

// Rental is a machine in the list.
type Rental struct {
	Ref      string  `cbor:"ref"`
	Endpoint string  `cbor:"endpoint"`
	Build    string  `cbor:"build"`
	Yard     string  `cbor:"yard"`
	Loaners  bool    `cbor:"loaners"`
	Status   string  `cbor:"status"`
	HeldS    float64 `cbor:"held_s"`
}

// Statuses of a Rental.
const (
	RentalStarting = "starting"
	RentalRunning  = "running"
	RentalFailed   = "failed"
)
