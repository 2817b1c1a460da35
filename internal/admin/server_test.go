package admin

import (
	"net/http"
	"net/http/httptest"
	"testing"

	"github.com/gin-gonic/gin"
	"github.com/go-faster/errors"
	. "github.com/smartystreets/goconvey/convey"
)

// TestReadiness guards against a daemon that stays in the balancer's list while it drains or before it has its lists.
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
		Convey("a failing check makes it not ready", func() {
			r.Check("lists", func() error { return errors.New("not read") })
			So(status(), ShouldEqual, http.StatusServiceUnavailable)
			So(r.Failing(), ShouldResemble, []string{"lists: not read"})
		})
		Convey("a drain makes it not ready for good", func() {
			r.Drain()
			So(status(), ShouldEqual, http.StatusServiceUnavailable)
		})
	})
}
