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

// TestConfigCheck guards against findings that scripts miss, and against differences that are computed from another version than the
// one in force.
func TestConfigCheck(t *testing.T) {
	const sound = `{"version":8,"routes":[{"name":"q","host":"a.example","pathPrefix":"/q/","service":"s","maxAttempts":3,"slackFactor":2,"kind":"idempotent"}],
	  "services":[{"name":"s"}],"limits":{"maxBodyBytes":262144}}`
	Convey("Given a daemon with version 7", t, func() {
		daemon := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			if r.URL.String() != "/state?part=queues" {
				w.WriteHeader(http.StatusNotFound)
				return
			}
			_, _ = w.Write([]byte(`{"queues":{"Version":7,"Queues":[{"Name":"q","Host":"a.example","PathPrefix":"/q/","Service":"s","MaxAttempts":2,
			  "SlackFactor":2}],"Services":[{"Name":"s"}],"Limits":{"MaxBodyBytes":262144}}}`))
		}))
		defer daemon.Close()
		run := func(file string, args ...string) (int, string) {
			var out, errOut bytes.Buffer
			code := Main(context.Background(), append(args, "config", "check", "-"), strings.NewReader(file), &out, &errOut)
			return code, out.String()
		}
		admin := []string{"--admin", strings.TrimPrefix(daemon.URL, "http://")}
		Convey("A sound file passes, and the differences are shown", func() {
			code, out := run(sound, admin...)
			So(code, ShouldEqual, ExitOK)
			So(out, ShouldContainSubstring, "differences from version 7")
			So(out, ShouldContainSubstring, `queue "q" MaxAttempts  2         3`)
		})
		Convey("Findings make the command fail", func() {
			code, out := run(strings.Replace(sound, `"service":"s"`, `"service":"x"`, 1), "--output", "json")
			So(code, ShouldEqual, ExitFailed)
			So(out, ShouldContainSubstring, `"kind": "never_matches"`)
		})
		Convey("So do an unknown field and an old version", func() {
			code, out := run(strings.Replace(sound, `"version":8`, `"version":7,"limit":{}`, 1), admin...)
			So(code, ShouldEqual, ExitFailed)
			So(out, ShouldContainSubstring, `unknown field "limit"`)
			So(out, ShouldContainSubstring, "is not above version 7")
		})
		Convey("A file that can't be read is a usage error", func() {
			code, _ := run("{")
			So(code, ShouldEqual, ExitUsage)
		})
	})
}
