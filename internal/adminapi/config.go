package adminapi

import (
	"context"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/google/uuid"

	"github.com/magnoliawheel/magnoliawheel/core/configlog"
	"github.com/magnoliawheel/magnoliawheel/core/result"
)

// settleTimeout bounds how long an answer waits for the outcome of a change.
const settleTimeout = 10 * time.Second

// ChangeRequest is the body of POST /admin/v1/config/changes.
type ChangeRequest struct {
	// ID may be empty; one is made up then.
	ID    string           `json:"id,omitempty"`
	Note  string           `json:"note,omitempty"`
	Edits []configlog.Edit `json:"edits"`
}

// ObjectsReply is the body of GET /admin/v1/config/objects. With deleted=true it
// holds tombstones too, whose versions are bases of new objects of their names.
type ObjectsReply struct {
	Offset  uint64             `json:"offset"`
	Objects []configlog.Object `json:"objects"`
}

func (a *API) configRoutes() {
	a.Handle("POST /admin/v1/config/changes", RoleWrite, a.postChange)
	a.Handle("GET /admin/v1/config/changes/{id}", RoleRead, a.getChange)
	a.Handle("DELETE /admin/v1/config/changes/{id}", RoleWrite, a.withdrawChange)
	a.Handle("GET /admin/v1/config/objects", RoleRead, a.getObjects)
	a.Handle("GET /admin/v1/config/objects/{name...}", RoleRead, a.getObject)
	a.Handle("PUT /admin/v1/config/objects/{name...}", RoleWrite, a.putObject)
	a.Handle("DELETE /admin/v1/config/objects/{name...}", RoleWrite, a.deleteObject)
	a.Handle("GET /admin/v1/config/history", RoleRead, a.getHistory)
	a.Handle("GET /admin/v1/config/instances", RoleRead, a.getInstances)
}

func (a *API) postChange(w http.ResponseWriter, r *http.Request) {
	var req ChangeRequest
	if err := ReadJSON(r, &req); err != nil {
		WriteError(w, err)
		return
	}
	if len(req.Edits) == 0 {
		WriteError(w, result.New(result.AdminBadRequest, "a change has at least one edit"))
		return
	}
	if req.ID == "" {
		req.ID = uuid.Must(uuid.NewV7()).String()
	}
	a.submit(w, r, &configlog.Change{ID: req.ID, Note: req.Note, Edits: req.Edits})
}

// withdrawChange makes the id of a change void unless the change was folded
// already, which settles a change whose outcome is unknown. The offset in after
// is one at which the change had not been written.
func (a *API) withdrawChange(w http.ResponseWriter, r *http.Request) {
	after, err := strconv.ParseUint(r.URL.Query().Get("after"), 10, 64)
	if err != nil {
		WriteError(w, result.New(result.AdminBadRequest, "after=OFFSET is needed"))
		return
	}
	a.submit(w, r, &configlog.Change{ID: r.PathValue("id"), BaseOffset: after, Withdraw: true})
}

func (a *API) submit(w http.ResponseWriter, r *http.Request, c *configlog.Change) {
	c.Author, c.Time = Operator(r.Context()), time.Now().UTC().Format(time.RFC3339)
	ctx, cancel := context.WithTimeout(r.Context(), settleTimeout)
	defer cancel()
	o, err := a.opts.Config.Submit(ctx, c)
	if err != nil {
		a.log.Info("Change not settled.", "change", c.ID, "author", c.Author, "error", err.Error())
		writeChangeError(w, c.ID, err)
		return
	}
	writeOutcome(w, r, &o)
}

func writeChangeError(w http.ResponseWriter, id string, err error) {
	var coded *result.Error
	if !errors.As(err, &coded) {
		WriteError(w, err)
		return
	}
	writeErrorBody(w, &ErrorBody{
		Code: coded.Code, Message: coded.Message, RetryAfterMS: coded.RetryAfter.Milliseconds(), Change: id,
	})
}

// writeOutcome answers with the outcome of a change: 200 if it is in force.
func writeOutcome(w http.ResponseWriter, r *http.Request, o *configlog.Outcome) {
	body := &ErrorBody{Change: o.ID, Offset: o.Offset, Mistakes: o.ValidationErrors}
	switch o.Status {
	case configlog.Accepted:
		w.Header().Set("ETag", etag(o.Offset))
		WriteJSON(w, http.StatusOK, o)
		return
	case configlog.Conflict:
		body.Code, body.Object, body.Version = result.ConfigConflict, o.ConflictObject, o.ConflictVersion
		body.Message = o.ConflictObject + " has version " + strconv.FormatUint(o.ConflictVersion, 10)
	case configlog.Invalid:
		body.Code, body.Message = result.ConfigInvalid, "the configuration would have mistakes"
	case configlog.Withdrawn:
		if r.Method == http.MethodDelete {
			WriteJSON(w, http.StatusOK, o)
			return
		}
		body.Code, body.Message = result.ConfigUnavailable, "the change was withdrawn and is void"
	default:
		body.Code, body.Message = result.ConfigUnavailable, "the change was written too late and is void"
		body.RetryAfterMS = time.Second.Milliseconds()
	}
	writeErrorBody(w, body)
}

// getChange tells what became of a change.
func (a *API) getChange(w http.ResponseWriter, r *http.Request) {
	id := r.PathValue("id")
	o, err := a.opts.Config.Find(r.Context(), id)
	if err != nil {
		writeChangeError(w, id, err)
		return
	}
	writeOutcome(w, r, &o)
}

// getObjects lists the objects in force, or those as of the offset in at.
func (a *API) getObjects(w http.ResponseWriter, r *http.Request) {
	snap, err := a.snapshot(r)
	if err != nil {
		WriteError(w, err)
		return
	}
	if r.URL.Query().Get("deleted") == "true" {
		WriteJSON(w, http.StatusOK, ObjectsReply{Offset: snap.Offset, Objects: snap.AllObjects()})
		return
	}
	if notModified(w, r, etag(snap.Offset)) {
		return
	}
	WriteJSON(w, http.StatusOK, ObjectsReply{Offset: snap.Offset, Objects: snap.Objects()})
}

func (a *API) snapshot(r *http.Request) (*configlog.Snapshot, error) {
	at := r.URL.Query().Get("at")
	if at == "" {
		return a.opts.Config.Current(), nil
	}
	offset, err := strconv.ParseUint(at, 10, 64)
	if err != nil {
		return nil, result.New(result.AdminBadRequest, "at=%s is not an offset", at)
	}
	return a.opts.Config.At(r.Context(), offset)
}

func (a *API) getObject(w http.ResponseWriter, r *http.Request) {
	snap, err := a.snapshot(r)
	if err != nil {
		WriteError(w, err)
		return
	}
	o, ok := snap.Object(r.PathValue("name"))
	if !ok || o.Deleted {
		writeErrorBody(w, noObject(r.PathValue("name")))
		return
	}
	if notModified(w, r, etag(o.Version)) {
		return
	}
	WriteJSON(w, http.StatusOK, o)
}

func noObject(name string) *ErrorBody {
	return &ErrorBody{Code: result.ConfigNoObject, Message: "no object " + name, Object: name}
}

// putObject writes one object. If-Match names the version it is based on;
// If-None-Match: * asks for an object that does not exist yet.
func (a *API) putObject(w http.ResponseWriter, r *http.Request) {
	var body configlog.Edit
	if err := ReadJSON(r, &body.Body); err != nil {
		WriteError(w, err)
		return
	}
	a.editObject(w, r, body)
}

func (a *API) deleteObject(w http.ResponseWriter, r *http.Request) {
	a.editObject(w, r, configlog.Edit{Delete: true})
}

func (a *API) editObject(w http.ResponseWriter, r *http.Request, edit configlog.Edit) {
	edit.Object = r.PathValue("name")
	current, _ := a.opts.Config.Current().Object(edit.Object)
	switch match := r.Header.Get("If-Match"); {
	case match != "":
		version, err := parseETag(match)
		if err != nil {
			WriteError(w, err)
			return
		}
		edit.BaseVersion = version
	case r.Header.Get("If-None-Match") == "*" && (current.Deleted || current.Version == 0):
		edit.BaseVersion = current.Version
	case r.Header.Get("If-None-Match") == "*":
		edit.BaseVersion = 0
	default:
		WriteError(w, result.New(result.AdminBadRequest, "If-Match with the version, or If-None-Match: *, is needed"))
		return
	}
	id := r.Header.Get("Change-Id")
	if id == "" {
		id = uuid.Must(uuid.NewV7()).String()
	}
	a.submit(w, r, &configlog.Change{ID: id, Edits: []configlog.Edit{edit}})
}

func etag(version uint64) string { return `"` + strconv.FormatUint(version, 10) + `"` }

func parseETag(s string) (uint64, error) {
	version, err := strconv.ParseUint(strings.Trim(s, `"`), 10, 64)
	if err != nil {
		return 0, result.New(result.AdminBadRequest, "If-Match %s is not a version", s)
	}
	return version, nil
}

func notModified(w http.ResponseWriter, r *http.Request, tag string) bool {
	w.Header().Set("ETag", tag)
	if r.Header.Get("If-None-Match") != tag {
		return false
	}
	w.WriteHeader(http.StatusNotModified)
	return true
}

// getHistory lists the outcomes that are kept, newest first.
func (a *API) getHistory(w http.ResponseWriter, r *http.Request) {
	object := r.URL.Query().Get("object")
	outcomes := a.opts.Config.Current().Outcomes()
	list := []configlog.Outcome{}
	for i := len(outcomes) - 1; i >= 0; i-- {
		if object == "" || slices.Contains(outcomes[i].Objects, object) {
			list = append(list, outcomes[i])
		}
	}
	WriteJSON(w, http.StatusOK, list)
}
