package admin

import (
	"net/http"
	"net/http/httptest"
	"testing"

	"github.com/gin-gonic/gin"
	"github.com/go-faster/errors"
	. "github.com/smartystreets/goconvey/convey"
)

// TestReadiness guards against a daemon that receives new callers from the load balancer while it drains or before it has
// read its lists.
func TestReadiness(t *testing.T) {
	Convey("Given the health routes", t, func() {
		gin.SetMode(gin.TestMode)
		e := gin.New()
		r := NewReadiness()
		NewHealth(e, r, http.NotFoundHandler(), "v")
		status := func() int {
			w := httptest.NewRecorder()
			e.ServeHTTP(w, httptest.NewRequest(http.MethodGet, "/readyz", nil))
			return w.Code
		}
		So(status(), ShouldEqual, http.StatusOK)
		Convey("a failing check makes the daemon not ready", func() {
			r.Check("lists", func() error { return errors.New("not read") })
			So(status(), ShouldEqual, http.StatusServiceUnavailable)
			So(r.Failing(), ShouldResemble, []string{"lists: not read"})
		})
		Convey("a drain makes the daemon not ready", func() {
			r.Drain()
			So(status(), ShouldEqual, http.StatusServiceUnavailable)
		})
	})
}
