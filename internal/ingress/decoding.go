package ingress

import (
	"bytes"
	"context"

	"golang.org/x/sync/semaphore"
)

const (
	// Estimated memory for decoding a body and converting the result: for each byte, object and element of a list. Slices that grow hold
	// their elements twice.
	decodeBytesPerByte    = 6
	decodeBytesPerObject  = 512
	decodeBytesPerElement = 32
	// costlyDecoding is the estimate in bytes from which on a request counts as being decoded until it is answered.
	costlyDecoding = 3 << 20
)

// decodeCost estimates the memory for decoding a JSON body, in bytes.
func decodeCost(body []byte) int64 {
	objects, elements := bytes.Count(body, []byte{'{'}), bytes.Count(body, []byte{','})
	return int64(len(body)*decodeBytesPerByte + objects*decodeBytesPerObject + elements*decodeBytesPerElement)
}

// decoding is the room for decoding. Costly bodies have a part of their own, so that the others need not wait for them.
type decoding struct {
	part             int64 // bytes of each semaphore
	ordinary, costly *semaphore.Weighted
}

func newDecoding(total int64) *decoding {
	part := total / 2
	return &decoding{part, semaphore.NewWeighted(part), semaphore.NewWeighted(part)}
}

// Decoding is the room for decoding one body. The zero Decoding holds none.
type Decoding struct {
	room   *semaphore.Weighted
	cost   int64
	costly bool
}

// BeginDecoding waits for room to decode the body of the request with this context, until ctx ends. A body that needs more than there is
// waits until it is alone. The caller calls End.
func BeginDecoding(ctx context.Context, body []byte) (Decoding, error) {
	c := connOf(ctx)
	if c == nil {
		return Decoding{}, nil
	}
	cost, limits := decodeCost(body), c.gate.decoding
	d := Decoding{limits.ordinary, min(cost, limits.part), cost >= costlyDecoding}
	if d.costly {
		d.room = limits.costly
	}
	if err := d.room.Acquire(ctx, d.cost); err != nil {
		c.gate.refusals.count(decodingBusy)
		return Decoding{}, ErrNoRoom
	}
	return d, nil
}

// Costly reports whether decoding may need much more memory than the body has bytes.
func (d *Decoding) Costly() bool { return d.costly }

// Decoded gives the room back after the body has been decoded, unless it is costly. Then the room is kept until End.
func (d *Decoding) Decoded() {
	if !d.costly {
		d.End()
	}
}

// End gives the room back.
func (d *Decoding) End() {
	if d.room != nil {
		d.room.Release(d.cost)
	}
	*d = Decoding{}
}
