package standin

import (
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/smartystreets/goconvey/convey"
)

// TestLimitRate guards against a fake table service that accepts more commits or reads than the real platform's.
func TestLimitRate(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		Convey("Calls beyond the rate are answered 429, with separate limits for commits and reads", t, func() {
			h := limitRate(http.HandlerFunc(func(http.ResponseWriter, *http.Request) {}))
			countServed := func(method string) (n int) {
				for range 3 * readRate {
					rec := httptest.NewRecorder()
					h.ServeHTTP(rec, httptest.NewRequest(method, "/", nil))
					if rec.Code == http.StatusOK {
						n++
					}
				}
				return n
			}
			So(countServed(http.MethodPost), ShouldEqual, commitRate)
			So(countServed(http.MethodGet), ShouldEqual, readRate)
			time.Sleep(time.Second / 2)
			So(countServed(http.MethodPost), ShouldEqual, commitRate/2)
		})
	})
}

// TestSilence guards against a silent connection that still delivers the response to an in-flight request.
func TestSilence(t *testing.T) {
	Convey("The response to an in-flight request is lost when its connection becomes silent", t, func() {
		entered, silenced, served := make(chan struct{}), make(chan struct{}), make(chan struct{})
		e := &endpoint{network: net.Listen, handler: http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
			defer close(served)
			close(entered)
			<-silenced
			_, _ = io.WriteString(w, "response")
			_ = http.NewResponseController(w).Flush()
		})}
		So(e.listen("127.0.0.1:0"), ShouldBeNil)
		Reset(e.close)
		c, err := net.Dial("tcp", e.addr)
		So(err, ShouldBeNil)
		Reset(func() { _ = c.Close() })
		_, _ = io.WriteString(c, "GET / HTTP/1.1\r\nHost: x\r\n\r\n")
		<-entered
		e.silenceOpenConns()
		close(silenced)
		<-served
		e.close()
		rest, _ := io.ReadAll(c)
		So(rest, ShouldBeEmpty)
	})
}
