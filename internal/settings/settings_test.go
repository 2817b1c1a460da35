package settings

import (
	"testing"

	. "github.com/smartystreets/goconvey/convey"
)

func validArgs() []string {
	return []string{
		"--listen=127.0.0.1:1", "--peer-listen=127.0.0.1:2", "--failure-domain=fd-1", "--region=gt-central",
		"--table=127.0.0.1:3", "--membership=127.0.0.1:4", "--secret=0123456789abcdef", "--services=textos, eierabo",
	}
}

// TestParse guards against reporting only the first invalid setting, and against printing the secret.
func TestParse(t *testing.T) {
	Convey("Valid settings are parsed", t, func() {
		s, err := Parse(validArgs())
		So(err, ShouldBeNil)
		So([]string(s.Services), ShouldResemble, []string{"textos", "eierabo"})
		So(s.SwingFactor.Value, ShouldEqual, 10)
	})
	Convey("All invalid settings are reported together", t, func() {
		_, err := Parse(append(validArgs(), "--listen=localhost:1", "--table=127.0.0.1", "--secret=short", "--pools=Big",
			"--drain-timeout=1s", "--drain-notice=soon", "--region=", "--swing-factor=NaN"))
		ps, ok := err.(Problems)
		So(ok, ShouldBeTrue)
		names := []string{}
		for _, p := range ps {
			names = append(names, p.Name)
		}
		So(names, ShouldResemble, []string{"listen", "table", "region", "pools", "secret", "drain-notice", "drain-timeout", "swing-factor"})
		So(err.Error(), ShouldNotContainSubstring, "short")
		So(err.Error(), ShouldContainSubstring, `--drain-timeout: "1s" is not allowed; allowed: duration from 11s to 5m0s`)
	})
	Convey("Missing settings are reported together with invalid ones", t, func() {
		_, err := Parse([]string{"--log-level=loud", "--listen=127.0.0.1:1"})
		ps, ok := err.(Problems)
		So(ok, ShouldBeTrue)
		So(len(ps), ShouldEqual, 8)
	})
}
