package tokenlease

// Request is a message of a lessee to the lessor of a share.
type Request struct {
	Lessee  string   `msgpack:"n"` // see NewLessee
	Share   int      `msgpack:"s"` // from 0 to Shares-1
	Token   uint64   `msgpack:"t"` // fencing token of the lessor that granted the leases; 0 if not known yet
	Reports []Report `msgpack:"r"`
}

// Report describes one lease of a lessee, and the tokens that it asks for. Spent and Returned are sums since the lease began.
type Report struct {
	Tenant   string `msgpack:"t"`
	LeaseID  uint64 `msgpack:"i"` // higher for each new lease of the lessee
	Spent    int64  `msgpack:"s,omitempty"`
	Returned int64  `msgpack:"b,omitempty"`
	Need     int64  `msgpack:"w,omitempty"` // tokens for waiting requests
	Reserve  int64  `msgpack:"h,omitempty"` // tokens for future requests, in addition
}

// Reply answers a Request. It has no grants if its token differs from the request's, because another lessor has granted the leases.
type Reply struct {
	Token  uint64  `msgpack:"t"` // fencing token of the lessor
	Grants []Grant `msgpack:"g"`
}

// Grant answers a Report.
type Grant struct {
	Tenant  string `msgpack:"t"`
	LeaseID uint64 `msgpack:"i"`
	Granted int64  `msgpack:"g"` // sum since the lease began

	IsUnknown    bool    `msgpack:"u,omitempty"` // the lessor doesn't know the lease, which therefore has ended
	IsRecovering bool    `msgpack:"c,omitempty"` // the lessor has just started: it doesn't know whether the tenant is at its limit, and the lessee returns what it doesn't need at once
	RetrySeconds float64 `msgpack:"r,omitempty"` // time until the missing tokens are expected to be available; 0 if all needed ones were granted
}
