package admin

import (
	"context"
	"io"
	"net/http"
	"strconv"
	"time"

	"github.com/gin-gonic/gin"
	"github.com/go-faster/errors"

	"github.com/greengagewing/greengagewing/internal/plan"
	"github.com/greengagewing/greengagewing/versionedlist"
)

const (
	maxListBytes        = 8 << 20
	maxHistoryLimit     = 1000
	defaultHistoryLimit = 20
	listCallTimeout     = 5 * time.Second
)

// ErrMembersUnreachable reports that a live daemon can be reached neither directly nor through the store. An edit that is
// accepted now might not take effect there in time.
var ErrMembersUnreachable = errors.New("admin: a live daemon cannot be reached")

// Lists implements the routes that show and edit the operators' lists.
type Lists struct {
	Editor *plan.Editor
	// Announce announces an edit to all live daemons before it is committed. The function that it returns reports the
	// outcome to them: the new version, or zero if the edit was not accepted. Announce returns ErrMembersUnreachable if
	// a live daemon could miss the edit.
	Announce func(ctx context.Context, list string) (release func(version int64), err error)
	// InForce returns the version of a list that this daemon currently applies.
	InForce func(list string) int64
	// Publish applies an accepted edit on this daemon and sends it to the peers.
	Publish func(list string, c versionedlist.Change)
}

// listError is the response body of a refused call.
type listError struct {
	Code           string         `json:"code"`
	Message        string         `json:"message,omitempty"`
	CurrentVersion int64          `json:"current_version,omitempty"`
	Author         string         `json:"author,omitempty"`
	Errors         []plan.Problem `json:"errors,omitempty"`
}

// RegisterRoutes registers the routes of the lists on a group that checks the secret. PUT replaces a whole list: the body
// is the list, and the query parameters are expected_version, author and edit_id. PATCH sets and removes single entries:
// the fields of its body are base, author, edit_id, set and remove.
func (l *Lists) RegisterRoutes(g *gin.RouterGroup) {
	g.GET("/admin/v1/lists/:name", l.get)
	g.PUT("/admin/v1/lists/:name", l.put)
	g.PATCH("/admin/v1/lists/:name", l.patch)
	g.GET("/admin/v1/lists/:name/history", l.history)
}

func (l *Lists) get(c *gin.Context) {
	ctx, cancel := context.WithTimeout(c.Request.Context(), listCallTimeout)
	defer cancel()
	snapshot, err := l.Editor.Current(ctx, c.Param("name"))
	if err != nil {
		writeListError(c, err)
		return
	}
	entries := map[string]any{}
	for k, v := range snapshot.All() {
		entries[k] = v
	}
	name := c.Param("name")
	c.JSON(http.StatusOK, gin.H{
		"name": name, "version": snapshot.Version(), "in_force": l.InForce(name), "entries": entries,
	})
}

func (l *Lists) put(c *gin.Context) {
	expectedVersion, err := strconv.ParseInt(c.Query("expected_version"), 10, 64)
	if err != nil || expectedVersion < 0 || c.Query("author") == "" || c.Query("edit_id") == "" {
		c.JSON(http.StatusBadRequest, listError{
			Code: "invalid_request", Message: "expected_version (0 or more), author and edit_id are required",
		})
		return
	}
	l.edit(c, func(ctx context.Context, doc []byte) (versionedlist.Change, error) {
		return l.Editor.Replace(ctx, c.Param("name"), expectedVersion, c.Query("author"), c.Query("edit_id"), doc)
	})
}

func (l *Lists) patch(c *gin.Context) {
	l.edit(c, func(ctx context.Context, doc []byte) (versionedlist.Change, error) {
		return l.Editor.Apply(ctx, c.Param("name"), doc)
	})
}

func (l *Lists) edit(c *gin.Context, apply func(context.Context, []byte) (versionedlist.Change, error)) {
	document, err := io.ReadAll(http.MaxBytesReader(c.Writer, c.Request.Body, maxListBytes))
	if err != nil {
		c.JSON(http.StatusRequestEntityTooLarge, listError{Code: "too_large", Message: err.Error()})
		return
	}
	// The edit continues if the operator's connection closes, so its outcome does not depend on when that happens.
	ctx, cancel := context.WithTimeout(context.WithoutCancel(c.Request.Context()), listCallTimeout)
	defer cancel()
	release, err := l.Announce(ctx, c.Param("name"))
	if err != nil {
		writeListError(c, err)
		return
	}
	change, err := apply(ctx, document)
	if err != nil {
		// Report an edit with an unknown outcome as not accepted too: the operator repeats it, which announces it again.
		release(0)
		writeListError(c, err)
		return
	}
	l.Publish(c.Param("name"), change)
	release(change.Version)
	c.JSON(http.StatusOK, gin.H{"version": change.Version})
}

func (l *Lists) history(c *gin.Context) {
	limit, err := strconv.Atoi(c.DefaultQuery("limit", strconv.Itoa(defaultHistoryLimit)))
	if err != nil || limit < 1 || limit > maxHistoryLimit {
		c.JSON(http.StatusBadRequest, listError{Code: "invalid_request", Message: "limit must be from 1 to " + strconv.Itoa(maxHistoryLimit)})
		return
	}
	ctx, cancel := context.WithTimeout(c.Request.Context(), listCallTimeout)
	defer cancel()
	changes, err := l.Editor.History(ctx, c.Param("name"), limit)
	if err != nil {
		writeListError(c, err)
		return
	}
	c.JSON(http.StatusOK, gin.H{"changes": changes})
}

func writeListError(c *gin.Context, err error) {
	var conflict *versionedlist.ConflictError
	var problems plan.Problems
	switch {
	case errors.As(err, &conflict):
		c.JSON(http.StatusConflict, listError{
			Code: "conflict", Message: err.Error(), CurrentVersion: conflict.Version, Author: conflict.Author,
		})
	case errors.As(err, &problems):
		c.JSON(http.StatusBadRequest, listError{Code: "invalid_list", Errors: problems})
	case errors.Is(err, plan.ErrNoList):
		c.JSON(http.StatusNotFound, listError{Code: "not_found", Message: err.Error()})
	case errors.Is(err, versionedlist.ErrInvalid):
		c.JSON(http.StatusBadRequest, listError{Code: "invalid_list", Message: err.Error()})
	case errors.Is(err, ErrMembersUnreachable):
		c.Header("Retry-After", "5")
		c.JSON(http.StatusServiceUnavailable, listError{Code: "members_unreachable", Message: err.Error()})
	case errors.Is(err, versionedlist.ErrUnknownOutcome):
		c.JSON(http.StatusGatewayTimeout, listError{Code: "outcome_unknown", Message: err.Error() + "; repeat with the same edit_id"})
	default:
		c.Header("Retry-After", "2")
		c.JSON(http.StatusServiceUnavailable, listError{Code: "store_unavailable", Message: err.Error()})
	}
}
