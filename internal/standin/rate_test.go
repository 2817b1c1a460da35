package standin

import (
	"net/http"
	"net/http/httptest"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/smartystreets/goconvey/convey"
)

// TestLimitRate guards against a table service that takes more commits or reads than the platform's.
func TestLimitRate(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		Convey("Calls beyond the rate are answered 429, commits and reads apart", t, func() {
			h := limitRate(http.HandlerFunc(func(http.ResponseWriter, *http.Request) {}))
			served := func(method string) (n int) {
				for range 3 * readRate {
					rec := httptest.NewRecorder()
					h.ServeHTTP(rec, httptest.NewRequest(method, "/", nil))
					if rec.Code == http.StatusOK {
						n++
					}
				}
				return n
			}
			So(served(http.MethodPost), ShouldEqual, commitRate)
			So(served(http.MethodGet), ShouldEqual, readRate)
			time.Sleep(time.Second / 2)
			So(served(http.MethodPost), ShouldEqual, commitRate/2)
		})
	})
}
