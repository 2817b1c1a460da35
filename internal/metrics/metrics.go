// Package metrics creates the root scope of a daemon's metrics and the Prometheus page that exports them.
package metrics

import (
	"context"
	"io"
	"net/http"
	"time"

	"github.com/uber-go/tally/v4"
	promreporter "github.com/uber-go/tally/v4/prometheus"
	"go.uber.org/fx"
)

// reportInterval is how often the scope passes its values to the page.
const reportInterval = time.Second

// Metrics holds the root scope and the page that a Prometheus scraper reads.
type Metrics struct {
	fx.Out
	Scope tally.Scope
	Page  http.Handler
}

// New returns metrics that are closed when the daemon stops.
func New(lc fx.Lifecycle) Metrics {
	r := promreporter.NewReporter(promreporter.Options{})
	scope, closer := tally.NewRootScope(tally.ScopeOptions{
		Prefix: "greengage", CachedReporter: r, Separator: promreporter.DefaultSeparator,
		SanitizeOptions: &promreporter.DefaultSanitizerOpts, OmitCardinalityMetrics: true,
	}, reportInterval)
	lc.Append(fx.StopHook(func(context.Context) error { return io.Closer(closer).Close() }))
	return Metrics{Scope: scope, Page: r.HTTPHandler()}
}
