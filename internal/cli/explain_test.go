package cli

import (
	"bytes"
	"context"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	. "github.com/smartystreets/goconvey/convey"
)

// TestExplain guards against stopping at a daemon that is not the owner, and against hiding why a task waits.
func TestExplain(t *testing.T) {
	Convey("Given a daemon that is not the owner and the owner", t, func() {
		other := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
			w.WriteHeader(http.StatusServiceUnavailable)
		}))
		defer other.Close()
		owner := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			if r.URL.Path != "/admin/v1/jobs/5c0e" {
				w.WriteHeader(http.StatusNotFound)
				return
			}
			_, _ = w.Write([]byte(`{"id":"5c0e","queue":"q","state":"running","stored_state":"queued","steps":[{"step":"5c0e.0.1",
			  "tasks_left":2,"waits_for":"no room","tasks":[{"index":0,"state":"running","worker":"i-1","run":2,"percent":40,
			  "failed_runs":[1]},{"index":1,"state":"waiting"}]}]}`))
		}))
		defer owner.Close()
		explain := func(id string) (int, string, string) {
			var out, errOut bytes.Buffer
			args := []string{"--admin", strings.TrimPrefix(other.URL, "http://"), "--admin", strings.TrimPrefix(owner.URL, "http://"), "explain", id}
			code := Main(context.Background(), args, strings.NewReader(""), &out, &errOut)
			return code, out.String(), errOut.String()
		}
		Convey("The owner's response is shown, with the reason for each task that waits", func() {
			code, out, _ := explain("5c0e")
			So(code, ShouldEqual, ExitOK)
			So(out, ShouldContainSubstring, "queue q is running, stored as queued")
			for _, line := range strings.Split(out, "\n") {
				So(strings.Contains(line, "no room"), ShouldEqual, strings.Contains(line, "waiting"))
			}
		})
		Convey("A job that the owner does not know makes the command fail", func() {
			code, _, errOut := explain("unknown")
			So(code, ShouldEqual, ExitFailed)
			So(errOut, ShouldNotBeEmpty)
		})
	})
}
