package peers

import (
	"context"
	"net/http"
	"time"

	"github.com/gin-gonic/gin"
	"github.com/gin-gonic/gin/binding"
	"github.com/go-faster/errors"
	"go.uber.org/zap"

	"github.com/greengagewing/greengagewing/internal/asynclog"
	"github.com/greengagewing/greengagewing/internal/cluster/coordinator"
	"github.com/greengagewing/greengagewing/internal/cluster/delegate"
	"github.com/greengagewing/greengagewing/internal/cluster/meter"
	"github.com/greengagewing/greengagewing/internal/cluster/workload"
	"github.com/greengagewing/greengagewing/internal/ingress"
	"github.com/greengagewing/greengagewing/internal/wait"
)

// Adviser queries the policy service from this host.
type Adviser interface {
	Advise(ctx context.Context, step workload.StepID, workers []string) (coordinator.Advice, error)
}

// maxWatchWait is the longest time that the answer to a watch is delayed.
const maxWatchWait = 5 * time.Second

// Server handles the calls of other daemons and the operators' queries about jobs.
type Server struct {
	coordinator *coordinator.Coordinator
	adviser     Adviser
	submitter   Submitter
	successor   Successor
	bootID      string
	log         *zap.Logger
	duties      *meter.Duties
}

// Submitter stores jobs and cancellations for a peer that can't reach the store.
type Submitter interface {
	// StoreJob stores a job in the alternative partition with this index; see the frontend package.
	StoreJob(ctx context.Context, spec *workload.Spec, access workload.Access, alternative int) (StoreOutcome, error)
	// StoreCancel stores the cancellation of a job in the alternative partition with this index, or an early one in all of them.
	StoreCancel(ctx context.Context, id string, access workload.Access, alternative int) (StoreOutcome, error)
}

// Successor takes over the ownership from an owner that has lost access to the store.
type Successor interface {
	// TakeOver tries to claim the ownership from the process with this bootID, which has built no transaction after lastSeq. It
	// reports whether this daemon has claimed it.
	TakeOver(ctx context.Context, bootID string, lastSeq int64) bool
}

// StoreOutcome is the outcome of a write on behalf of a caller.
type StoreOutcome string

// Outcomes of writes.
const (
	Stored       StoreOutcome = "stored"
	StoredBefore StoreOutcome = "stored_before" // the row existed already
	NotStored    StoreOutcome = "not_stored"    // it is certain that the row was not and will not be written
	StoreUnknown StoreOutcome = "store_unknown" // the row may have been written, or may be written later
	NoSuchJob    StoreOutcome = "no_such_job"
	IDInUse      StoreOutcome = "id_in_use" // the job's ID is that of a job that the caller may not access
	// CancelledBefore means that the caller has cancelled the job before it was stored; it is certain that it will not be.
	CancelledBefore StoreOutcome = "cancelled_before"
	TooManyCancels  StoreOutcome = "too_many_cancels" // of jobs that were not found; the cancellation was not stored
)

// NewServer returns the server of the process with this bootID. It counts the calls of each path in duties.
func NewServer(c *coordinator.Coordinator, a Adviser, s Submitter, next Successor, bootID string, log *zap.Logger, duties *meter.Duties) *Server {
	return &Server{c, a, s, next, bootID, log, duties}
}

// Register adds the server's routes to e.
func (s *Server) Register(e *gin.Engine) {
	e.Use(func(c *gin.Context) { s.duties.Count(c.FullPath()) })
	e.POST(lookupPath, s.lookup)
	e.POST(pendingPath, s.pending)
	e.POST(advisePath, s.advise)
	e.POST(watchPath, s.watch)
	e.POST(submitPath, s.submit)
	e.POST(cancelPath, s.cancel)
	e.POST(offerPath, s.offer)
	e.POST(takePath, s.take)
	e.POST(ordersPath, s.orders)
	e.POST(deliverPath, s.deliver)
	e.GET("/admin/v1/jobs/:id", s.explain)
}

// writeError answers a call with an error: 421 (misdirected request) if this host is not the owner or the session has ended,
// and 503 otherwise.
func writeError(c *gin.Context, err error) {
	if errors.Is(err, coordinator.ErrNotOwner) || errors.Is(err, delegate.ErrSessionEnded) {
		c.Status(http.StatusMisdirectedRequest)
		return
	}
	c.PureJSON(http.StatusServiceUnavailable, gin.H{"error": err.Error()})
}

// maxRequestBytes is the largest body of a call.
const maxRequestBytes = 8 << 20

// decodeRequest reads the JSON body of a call. If it can't be read or is invalid, it answers the call and returns false.
func decodeRequest[T any](c *gin.Context) (T, bool) {
	var in T
	body, err := ingress.ReadBody(c.Request, maxRequestBytes)
	if err != nil {
		refuseBody(c, err)
		return in, false
	}
	room, err := ingress.BeginDecoding(c.Request.Context(), body)
	if err != nil {
		refuseBody(c, err)
		return in, false
	}
	defer room.End()
	if err := binding.JSON.BindBody(body, &in); err != nil {
		_ = c.AbortWithError(http.StatusBadRequest, err)
		return in, false
	}
	return in, true
}

// refuseBody answers a call whose body was not read or not decoded.
func refuseBody(c *gin.Context, err error) {
	status := ingress.Status(err)
	if status == http.StatusServiceUnavailable {
		c.Header("Retry-After", "1")
	}
	_ = c.AbortWithError(status, err)
}

func (s *Server) lookup(c *gin.Context) {
	in, ok := decodeRequest[lookupRequest](c)
	if !ok {
		return
	}
	state, known, err := s.coordinator.Lookup(in.Job, in.Access)
	if err != nil {
		writeError(c, err)
		return
	}
	digest, _ := s.coordinator.Forecast() // nil if this host is no longer the owner
	c.PureJSON(http.StatusOK, LookupAnswer{known, state, s.coordinator.Busy(), s.coordinator.StoreSilence().Milliseconds(), digest})
}

func (s *Server) pending(c *gin.Context) {
	in, ok := decodeRequest[pendingRequest](c)
	if !ok {
		return
	}
	n, err := s.coordinator.Pending(in.Queue)
	if err != nil {
		writeError(c, err)
		return
	}
	c.PureJSON(http.StatusOK, pendingAnswer{n})
}

func (s *Server) advise(c *gin.Context) {
	in, ok := decodeRequest[adviseRequest](c)
	if !ok {
		return
	}
	a, err := s.adviser.Advise(c.Request.Context(), in.Step, in.Workers)
	if err != nil {
		writeError(c, err)
		return
	}
	c.PureJSON(http.StatusOK, adviseAnswer{a.Approved, a.Validity.Milliseconds()})
}

func (s *Server) watch(c *gin.Context) {
	in, ok := decodeRequest[watchRequest](c)
	if !ok {
		return
	}
	if in.BootID == s.bootID && s.coordinator.Epoch() > 0 {
		wait.For(c.Request.Context(), min(in.Wait, maxWatchWait))
	}
	c.PureJSON(http.StatusOK, watchAnswer{s.bootID, s.coordinator.Epoch() > 0})
}

func (s *Server) take(c *gin.Context) {
	in, ok := decodeRequest[takeRequest](c)
	if !ok {
		return
	}
	if in.Job != nil {
		if err := in.Job.Validate(); err != nil {
			c.PureJSON(http.StatusBadRequest, gin.H{"error": err.Error()})
			return
		}
		s.coordinator.NotifyJobStored(in.Job)
	}
	if in.Cancel != "" {
		s.coordinator.NotifyCancelStored(in.Cancel)
	}
	digest, _ := s.coordinator.Forecast() // nil if this host is no longer the owner
	c.PureJSON(http.StatusOK, TakeAnswer{s.coordinator.Busy(), digest})
}

// explain shows operators why a job is waiting. Only the owner can answer this.
func (s *Server) explain(c *gin.Context) {
	d, ok, err := s.coordinator.Explain(c.Param("id"))
	switch {
	case err != nil:
		c.PureJSON(http.StatusServiceUnavailable, gin.H{"code": "not_owner", "message": err.Error()})
	case !ok:
		c.PureJSON(http.StatusNotFound, gin.H{"code": "not_found", "message": "the owner knows no such job"})
	default:
		c.PureJSON(http.StatusOK, d)
	}
}

func (s *Server) offer(c *gin.Context) {
	in, ok := decodeRequest[offerRequest](c)
	if !ok {
		return
	}
	c.PureJSON(http.StatusOK, offerAnswer{s.successor.TakeOver(c.Request.Context(), in.BootID, in.LastSeq)})
}

type storeAnswer struct {
	Outcome StoreOutcome `json:"outcome"`
}

type submitRequest struct {
	Job         *workload.Spec  `json:"job" binding:"required"`
	Access      workload.Access `json:"access,omitzero"`
	Alternative int             `json:"place"`
}

type cancelRequest struct {
	Job         string          `json:"job"`
	Access      workload.Access `json:"access,omitzero"`
	Alternative int             `json:"place"`
}

func (s *Server) submit(c *gin.Context) {
	in, ok := decodeRequest[submitRequest](c)
	if !ok {
		return
	}
	outcome, err := s.submitter.StoreJob(c.Request.Context(), in.Job, in.Access, in.Alternative)
	s.log.Info("job stored for a peer", zap.String("job", in.Job.ID), zap.String("outcome", string(outcome)), asynclog.Error(err))
	c.PureJSON(http.StatusOK, storeAnswer{outcome})
}

func (s *Server) cancel(c *gin.Context) {
	in, ok := decodeRequest[cancelRequest](c)
	if !ok {
		return
	}
	outcome, err := s.submitter.StoreCancel(c.Request.Context(), in.Job, in.Access, in.Alternative)
	s.log.Info("cancellation stored for a peer", zap.String("job", in.Job), zap.String("outcome", string(outcome)), asynclog.Error(err))
	c.PureJSON(http.StatusOK, storeAnswer{outcome})
}

// Submit asks a peer to store a job.
func (c *Client) Submit(ctx context.Context, addr string, spec *workload.Spec, access workload.Access, alternative int) (StoreOutcome, error) {
	return c.storeViaPeer(ctx, addr, submitPath, submitRequest{spec, access, alternative})
}

// Cancel asks a peer to store a cancellation.
func (c *Client) Cancel(ctx context.Context, addr, id string, access workload.Access, alternative int) (StoreOutcome, error) {
	return c.storeViaPeer(ctx, addr, cancelPath, cancelRequest{id, access, alternative})
}

// storeViaPeer asks a peer to store a change. The change is certainly not stored if the connection was refused; after any
// other error its outcome is unknown.
func (c *Client) storeViaPeer(ctx context.Context, addr, path string, in any) (StoreOutcome, error) {
	var a storeAnswer
	err := c.call(ctx, addr, path, in, &a)
	switch {
	case err == nil:
		return a.Outcome, nil
	case errors.Is(err, ErrConnectionRefused):
		return NotStored, err
	}
	return StoreUnknown, err
}
