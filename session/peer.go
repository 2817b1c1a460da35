package session

import "context"

// PromiseRequest asks a guarantor not to consent to a fencing of the session for one TTL.
type PromiseRequest struct {
	Session     string `json:"session"`
	Incarnation int64  `json:"incarnation"`
	// Seq is the sequence number of the last renewal that the holder knows to have taken effect.
	Seq int64 `json:"seq"`
	// GuarantorBoot is the boot id of the guarantor process that the row names. Another process at the same address
	// must not promise, because it does not know to which fencings its predecessor consented.
	GuarantorBoot string `json:"guarantor_boot"`
}

// PromiseReply answers a PromiseRequest.
type PromiseReply struct {
	Granted bool   `json:"granted"`
	Reason  string `json:"reason,omitempty"`
}

// ConsentRequest asks a guarantor to consent to the fencing of a session whose row the observer has seen unchanged at
// Seq.
type ConsentRequest struct {
	Session     string `json:"session"`
	Incarnation int64  `json:"incarnation"`
	Seq         int64  `json:"seq"`
	Observer    string `json:"observer"`
}

// ConsentReply answers a ConsentRequest.
type ConsentReply struct {
	Granted bool   `json:"granted"`
	Reason  string `json:"reason,omitempty"`
}

// ProbeReply identifies the process that listens at an address. Incarnation is 0 before its first session.
type ProbeReply struct {
	ID          string `json:"id"`
	Boot        string `json:"boot"`
	Incarnation int64  `json:"incarnation"`
}

// PeerCaller calls other daemons and this one, which may be a guarantor of the session that it wants to fence. An error
// of Promise or Consent means that no answer was received.
type PeerCaller interface {
	Promise(ctx context.Context, to Peer, req PromiseRequest) (PromiseReply, error)
	Consent(ctx context.Context, to Peer, req ConsentRequest) (ConsentReply, error)
	// Probe asks on a new connection which process listens at addr. It returns an error that matches ErrConnectionRefused only if
	// the host refused the connection; any other error means that there was no answer.
	Probe(ctx context.Context, addr string) (ProbeReply, error)
}

// HostList is the platform's membership list.
type HostList interface {
	// HostListed reports whether the list shows the host of a peer address. known is false while no list is available,
	// and for a host that was never listed: the list lags, so the absence of a new host is no evidence that the host is
	// gone.
	HostListed(peerAddr string) (listed, known bool)
}
