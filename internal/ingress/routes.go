package ingress

import (
	"net/http"

	"github.com/gin-gonic/gin"
)

// AtMost returns a handler that serves at most n requests at a time and refuses more, for routes whose answers are costly.
func (g *Gate) AtMost(n int, h http.Handler) http.Handler {
	enter := g.places(n)
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		leave, ok := enter(w)
		if !ok {
			return
		}
		defer leave()
		h.ServeHTTP(w, r)
	})
}

// LimitRoutes is AtMost for the routes of a group together.
func (g *Gate) LimitRoutes(n int) gin.HandlerFunc {
	enter := g.places(n)
	return func(c *gin.Context) {
		leave, ok := enter(c.Writer)
		if !ok {
			c.Abort()
			return
		}
		defer leave()
		c.Next()
	}
}

// places returns a function that takes one of n places, or refuses the request.
func (g *Gate) places(n int) func(http.ResponseWriter) (leave func(), ok bool) {
	places := make(chan struct{}, n)
	leave := func() { <-places }
	return func(w http.ResponseWriter) (func(), bool) {
		select {
		case places <- struct{}{}:
			return leave, true
		default:
		}
		g.refusals.count(routeBusy)
		w.Header().Set("Retry-After", "1")
		w.WriteHeader(http.StatusServiceUnavailable)
		return nil, false
	}
}
