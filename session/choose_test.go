package session

import (
	"testing"

	. "github.com/smartystreets/goconvey/convey"
)

// TestGuarantorRegion guards against guarantors in a region that may be unreachable for an hour, and against choosing
// all guarantors from the holder's own failure domain.
func TestGuarantorRegion(t *testing.T) {
	Convey("Given live sessions in two regions", t, func() {
		info := func(id, region, domain string) Info {
			return Info{Row: Row{ID: id, Region: region, FailureDomain: domain, State: Live}}
		}
		self := Row{ID: "self", Region: "gt-central", FailureDomain: "a"}
		ids := func(live ...Info) (out []string) {
			for _, p := range chooseGuarantors(self, live, 2) {
				out = append(out, p.ID)
			}
			return out
		}
		So(ids(info("far", "mittelland", "x"), info("near", "gt-central", "b")), ShouldResemble, []string{"near"})
		So(ids(info("far", "mittelland", "x")), ShouldResemble, []string{"far"})
		got := ids(info("same", "gt-central", "a"), info("b1", "gt-central", "b"), info("b2", "gt-central", "b"),
			info("c", "gt-central", "c"))
		So(got, ShouldContain, "c")
		So(got, ShouldNotContain, "same")
	})
}
