package peers

import (
	"context"
	"net/http"

	"github.com/gin-gonic/gin"
	"github.com/go-faster/errors"

	"github.com/greengagewing/greengagewing/internal/cluster/delegate"
)

type deliverAnswer struct{}

func (s *Server) orders(c *gin.Context) {
	in, ok := decodeRequest[delegate.Request](c)
	if !ok {
		return
	}
	batch, err := s.coordinator.Orders(c.Request.Context(), in)
	if err != nil {
		writeError(c, err)
		return
	}
	c.JSON(http.StatusOK, batch)
}

func (s *Server) deliver(c *gin.Context) {
	in, ok := decodeRequest[delegate.Delivery](c)
	if !ok {
		return
	}
	if err := s.coordinator.Deliver(in); err != nil {
		writeError(c, err)
		return
	}
	c.JSON(http.StatusOK, deliverAnswer{})
}

// Orders implements delegate.OwnerClient.
func (c *Client) Orders(ctx context.Context, addr string, r delegate.Request) (delegate.Batch, error) {
	var b delegate.Batch
	err := c.call(ctx, addr, ordersPath, r, &b)
	return b, sessionError(err)
}

// Deliver implements delegate.OwnerClient.
func (c *Client) Deliver(ctx context.Context, addr string, d delegate.Delivery) error {
	return sessionError(c.call(ctx, addr, deliverPath, d, &deliverAnswer{}))
}

// sessionError turns an answer from a host that is not the owner into the error that delegates expect.
func sessionError(err error) error {
	if errors.Is(err, ErrNotOwner) {
		return delegate.ErrEnded
	}
	return err
}
