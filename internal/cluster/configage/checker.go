package configage

import (
	"context"
	"math/rand/v2"
	"net/http/httptrace"
	"sync"
	"time"

	"github.com/uber-go/tally/v4"
	"go.uber.org/zap"

	"github.com/greengagewing/greengagewing/internal/asynclog"
	"github.com/greengagewing/greengagewing/internal/cluster/queues"
	"github.com/greengagewing/greengagewing/internal/wait"
)

const (
	// askInterval is the time between two attempts to confirm the copy.
	askInterval = 250 * time.Millisecond
	// attemptTimeout is how long an attempt waits for answers to begin.
	attemptTimeout = 300 * time.Millisecond
	// receiveTimeout is how long a call may take whose answer has begun to arrive. Two answers of 500 kB take 0.9 s on a link of 10 Mbit/s.
	receiveTimeout = 2 * time.Second
	// peersPerAttempt is how many hosts are asked at a time: the store may turn some of them away as well.
	peersPerAttempt = 2
)

// Question asks a host for its copy of the configuration.
type Question struct {
	Version int64 `json:"version"` // of the asking host's copy; 0 if it has none
}

// Answer is a host's answer to a Question.
type Answer struct {
	Known bool `json:"known"` // the host has a confirmed copy
	// Age is the time from the last confirmation of the host's copy to this answer.
	Age time.Duration `json:"age"`
	// Config is the host's copy if it is newer than the asking host's. It holds digests of API keys, never keys.
	Config *queues.Config `json:"config,omitempty"`
}

// Answer returns this host's answer to a question of another host.
func (t *Tracker) Answer(holder *queues.ConfigHolder, q Question) Answer {
	s := t.State() // before the copy is read, so that the confirmation covers the copy
	current := holder.Current()
	if !s.Known || current == nil {
		return Answer{}
	}
	a := Answer{Known: true, Age: s.Age(t.clock())}
	if current.Version > q.Version {
		a.Config = current
	}
	return a
}

// Sources are the ways in which a Checker learns of newer versions.
type Sources struct {
	Peers func() []string // addresses of the other hosts
	Ask   func(ctx context.Context, addr string, q Question) (Answer, error)
	// Reconnect lets the next calls of Ask open new connections. After a pause, those that are open may have gone silent.
	Reconnect func()
	// Read reads the configuration from the store and puts it in force.
	Read func(ctx context.Context) error
}

// Checker asks other hosts for newer versions of the configuration while the store does not answer this host.
type Checker struct {
	Tracker *Tracker
	Holder  *queues.ConfigHolder
	Sources Sources
	// Required reports whether callers need API keys. Otherwise nothing is asked.
	Required func() bool
	Metrics  tally.Scope
	Log      *zap.Logger

	asking bool // other hosts were asked at the last check
}

// Run checks the age of the copy until ctx ends.
func (c *Checker) Run(ctx context.Context) {
	version, age := c.Metrics.Gauge("config_version"), c.Metrics.Gauge("config_age_seconds")
	for wait.ForOrSignal(ctx, askInterval, c.Tracker.asked) {
		s := c.Tracker.State()
		now := c.Tracker.clock()
		if current := c.Holder.Current(); current != nil && s.Known {
			version.Update(float64(current.Version))
			age.Update(s.Age(now).Seconds())
		}
		should := c.Required() && s.ShouldAsk(now, c.Tracker.limits)
		if should != c.asking {
			fields := []zap.Field{zap.Duration("store_silent", now-s.AnsweredAt)}
			if s.Known {
				fields = append(fields, zap.Duration("age", s.Age(now)))
			}
			message := "no longer asking other hosts for the configuration"
			if should {
				message = "asking other hosts for the configuration"
			}
			c.Log.Info(message, fields...)
			c.asking = should
		}
		if should {
			c.attempt(ctx, now, s)
		}
	}
}

// attempt asks two randomly chosen hosts, and the store if State.ShouldRead says so.
func (c *Checker) attempt(ctx context.Context, beganAt time.Duration, s State) {
	if !s.attemptedLately(beganAt) {
		c.Sources.Reconnect()
	}
	var wg sync.WaitGroup
	all := c.Sources.Peers()
	rand.Shuffle(len(all), func(i, j int) { all[i], all[j] = all[j], all[i] })
	for _, addr := range all[:min(len(all), peersPerAttempt)] {
		wg.Go(func() { c.ask(ctx, addr) })
	}
	if s.ShouldRead(beganAt, len(all)) {
		wg.Go(func() { c.read(ctx) })
	}
	wg.Wait()
	c.Tracker.endAttempt(beganAt)
}

// callContext returns the context of a call, which ends after attemptTimeout, or after receiveTimeout if the answer has begun to arrive by then.
func callContext(ctx context.Context) (context.Context, context.CancelFunc) {
	ctx, cancel := context.WithTimeout(ctx, receiveTimeout)
	noAnswer := time.AfterFunc(attemptTimeout, cancel)
	trace := &httptrace.ClientTrace{GotFirstResponseByte: func() { noAnswer.Stop() }}
	return httptrace.WithClientTrace(ctx, trace), func() {
		noAnswer.Stop()
		cancel()
	}
}

func (c *Checker) read(ctx context.Context) {
	ctx, cancel := callContext(ctx)
	defer cancel()
	sentAt := c.Tracker.clock()
	if err := c.Sources.Read(ctx); err == nil {
		c.Tracker.ConfirmByStore(sentAt)
	}
}

// ask adopts a host's copy if it is newer. In any case the copy of this host is then not older than that of the other one, and so was the
// newest version when that one was.
func (c *Checker) ask(ctx context.Context, addr string) {
	ctx, cancel := callContext(ctx)
	defer cancel()
	question := Question{}
	if current := c.Holder.Current(); current != nil {
		question.Version = current.Version
	}
	sentAt := c.Tracker.clock()
	a, err := c.Sources.Ask(ctx, addr, question)
	if err != nil || !a.Known || a.Age < 0 {
		return
	}
	if a.Config != nil && !c.adopt(addr, a) {
		return
	}
	c.Tracker.ConfirmByPeer(sentAt - a.Age)
}

// adopt puts a host's copy in force unless a newer one is. It returns false if the copy is invalid.
func (c *Checker) adopt(addr string, a Answer) bool {
	if err := a.Config.Validate(); err != nil {
		c.Log.Error("configuration of another host is invalid and is ignored", zap.String("peer", addr), zap.Int64("version", a.Config.Version), asynclog.Error(err))
		return false
	}
	if c.Holder.Update(a.Config) {
		c.Log.Info("configuration in force, received from another host", zap.Int64("version", a.Config.Version), zap.Int("queues", len(a.Config.Queues)),
			zap.Int("teams", len(a.Config.Teams)), zap.String("peer", addr), zap.Duration("age", a.Age))
	}
	return true
}
