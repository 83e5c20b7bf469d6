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

// outcomeTimeout is how long a response waits for the outcome of a change.
const outcomeTimeout = 10 * time.Second

// ChangeRequest is the body of POST /admin/v1/config/changes.
type ChangeRequest struct {
	// ID is generated if it is empty.
	ID    string           `json:"id,omitempty"`
	Note  string           `json:"note,omitempty"`
	Edits []configlog.Edit `json:"edits"`
}

// ObjectsReply is the body of the response to GET /admin/v1/config/objects. With
// deleted=true it also holds tombstones: a new object with the name of a deleted one
// must use the version of the tombstone as its base version.
type ObjectsReply struct {
	Offset  uint64             `json:"offset"`
	Objects []configlog.Object `json:"objects"`
}

func (a *API) registerConfigRoutes() {
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
	a.submitChange(w, r, &configlog.Change{ID: req.ID, Note: req.Note, Edits: req.Edits})
}

// withdrawChange withdraws the id of a change, so that the change cannot be applied any
// more unless it was applied already. That resolves a change whose outcome is unknown.
// The query parameter after is an offset at which the change had not been written yet.
func (a *API) withdrawChange(w http.ResponseWriter, r *http.Request) {
	afterOffset, err := strconv.ParseUint(r.URL.Query().Get("after"), 10, 64)
	if err != nil {
		WriteError(w, result.New(result.AdminBadRequest, "after=OFFSET is needed"))
		return
	}
	a.submitChange(w, r, &configlog.Change{ID: r.PathValue("id"), BaseOffset: afterOffset, Withdraw: true})
}

func (a *API) submitChange(w http.ResponseWriter, r *http.Request, c *configlog.Change) {
	c.Author, c.Time = Operator(r.Context()), time.Now().UTC().Format(time.RFC3339)
	ctx, cancel := context.WithTimeout(r.Context(), outcomeTimeout)
	defer cancel()
	o, err := a.opts.Config.Submit(ctx, c)
	if err != nil {
		a.log.Info("No outcome for the change.", "change", c.ID, "author", c.Author, "error", err.Error())
		writeChangeError(w, c.ID, err)
		return
	}
	writeOutcome(w, r, &o)
}

func writeChangeError(w http.ResponseWriter, changeID string, err error) {
	var resultErr *result.Error
	if !errors.As(err, &resultErr) {
		WriteError(w, err)
		return
	}
	writeErrorBody(w, &ErrorBody{
		Code: resultErr.Code, Message: resultErr.Message, RetryAfterMS: resultErr.RetryAfter.Milliseconds(), ChangeID: changeID,
	})
}

// writeOutcome writes the outcome of a change: status 200 if it was accepted, or if a
// DELETE request withdrew it, and an error otherwise.
func writeOutcome(w http.ResponseWriter, r *http.Request, o *configlog.Outcome) {
	body := &ErrorBody{ChangeID: o.ID, Offset: o.Offset, ValidationErrors: o.ValidationErrors}
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

// getChange returns the outcome of a change.
func (a *API) getChange(w http.ResponseWriter, r *http.Request) {
	id := r.PathValue("id")
	o, err := a.opts.Config.Find(r.Context(), id)
	if err != nil {
		writeChangeError(w, id, err)
		return
	}
	writeOutcome(w, r, &o)
}

// getObjects lists the objects in force, or those as of the offset in the query
// parameter at.
func (a *API) getObjects(w http.ResponseWriter, r *http.Request) {
	snap, err := a.requestedSnapshot(r)
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

// requestedSnapshot returns the configuration at the offset in the query parameter at,
// or the one in force if there is none.
func (a *API) requestedSnapshot(r *http.Request) (*configlog.Snapshot, error) {
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
	snap, err := a.requestedSnapshot(r)
	if err != nil {
		WriteError(w, err)
		return
	}
	o, ok := snap.Object(r.PathValue("name"))
	if !ok || o.Deleted {
		writeErrorBody(w, objectNotFound(r.PathValue("name")))
		return
	}
	if notModified(w, r, etag(o.Version)) {
		return
	}
	WriteJSON(w, http.StatusOK, o)
}

func objectNotFound(name string) *ErrorBody {
	return &ErrorBody{Code: result.ConfigNoObject, Message: "no object " + name, Object: name}
}

// putObject writes one object. If-Match holds the version that the edit is based on;
// If-None-Match: * requires that the object does not exist yet.
func (a *API) putObject(w http.ResponseWriter, r *http.Request) {
	var edit configlog.Edit
	if err := ReadJSON(r, &edit.Body); err != nil {
		WriteError(w, err)
		return
	}
	a.editObject(w, r, edit)
}

func (a *API) deleteObject(w http.ResponseWriter, r *http.Request) {
	a.editObject(w, r, configlog.Edit{Delete: true})
}

// editObject submits a change with one edit. With If-None-Match: * the base version is
// that of the tombstone if the object was deleted, and 0 otherwise, which conflicts with
// an object that exists.
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
	a.submitChange(w, r, &configlog.Change{ID: id, Edits: []configlog.Edit{edit}})
}

func etag(version uint64) string { return `"` + strconv.FormatUint(version, 10) + `"` }

func parseETag(s string) (uint64, error) {
	version, err := strconv.ParseUint(strings.Trim(s, `"`), 10, 64)
	if err != nil {
		return 0, result.New(result.AdminBadRequest, "If-Match %s is not a version", s)
	}
	return version, nil
}

// notModified sets the ETag header and answers 304 if the request already has that
// version.
func notModified(w http.ResponseWriter, r *http.Request, tag string) bool {
	w.Header().Set("ETag", tag)
	if r.Header.Get("If-None-Match") != tag {
		return false
	}
	w.WriteHeader(http.StatusNotModified)
	return true
}

// getHistory lists the retained outcomes of changes, newest first. The query parameter
// object selects those that edited one object.
func (a *API) getHistory(w http.ResponseWriter, r *http.Request) {
	object := r.URL.Query().Get("object")
	outcomes := a.opts.Config.Current().Outcomes()
	matching := []configlog.Outcome{}
	for i := len(outcomes) - 1; i >= 0; i-- {
		if object == "" || slices.Contains(outcomes[i].Objects, object) {
			matching = append(matching, outcomes[i])
		}
	}
	WriteJSON(w, http.StatusOK, matching)
}
