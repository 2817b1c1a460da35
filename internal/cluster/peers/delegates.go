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
	in, ok := decodeRequest[delegate.OrdersRequest](c)
	if !ok {
		return
	}
	batch, err := s.coordinator.FetchOrders(c.Request.Context(), in)
	if err != nil {
		writeError(c, err)
		return
	}
	c.PureJSON(http.StatusOK, batch)
}

func (s *Server) deliver(c *gin.Context) {
	in, ok := decodeRequest[delegate.EventBatch](c)
	if !ok {
		return
	}
	if err := s.coordinator.DeliverEvents(in); err != nil {
		writeError(c, err)
		return
	}
	c.PureJSON(http.StatusOK, deliverAnswer{})
}

// FetchOrders implements delegate.OwnerClient.
func (c *Client) FetchOrders(ctx context.Context, addr string, r delegate.OrdersRequest) (delegate.OrderBatch, error) {
	var b delegate.OrderBatch
	err := c.call(ctx, addr, ordersPath, r, &b)
	return b, sessionError(err)
}

// DeliverEvents implements delegate.OwnerClient.
func (c *Client) DeliverEvents(ctx context.Context, addr string, d delegate.EventBatch) error {
	return sessionError(c.call(ctx, addr, deliverPath, d, &deliverAnswer{}))
}

// sessionError turns an answer from a host that is not the owner into the error that delegates expect.
func sessionError(err error) error {
	if errors.Is(err, ErrNotOwner) {
		return delegate.ErrSessionEnded
	}
	return err
}
