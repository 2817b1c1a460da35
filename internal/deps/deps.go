// Package deps pins the modules that the project builds with.
package deps

import (
	_ "github.com/anishathalye/porcupine"
	_ "github.com/gin-gonic/gin"
	_ "github.com/go-faster/errors"
	_ "github.com/jessevdk/go-flags"
	_ "github.com/sebdah/goldie/v2"
	_ "github.com/smartystreets/goconvey/convey"
	_ "github.com/uber-go/tally/v4"
	_ "github.com/uber-go/tally/v4/prometheus"
	_ "go.uber.org/fx"
	_ "go.uber.org/goleak"
	_ "go.uber.org/zap"
	_ "go.uber.org/zap/zaptest"
	_ "pgregory.net/rapid"
)
