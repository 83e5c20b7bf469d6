package adminapi

import (
	"context"
	"net/http"
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
	a.submit(w, r, req)
}

func (a *API) submit(w http.ResponseWriter, r *http.Request, req ChangeRequest) {
	c := &configlog.Change{
		ID: req.ID, Author: Operator(r.Context()), Note: req.Note,
		Time: time.Now().UTC().Format(time.RFC3339), Edits: req.Edits,
	}
	if c.ID == "" {
		c.ID = uuid.Must(uuid.NewV7()).String()
	}
	ctx, cancel := context.WithTimeout(r.Context(), settleTimeout)
	defer cancel()
	o, err := a.opts.Config.Submit(ctx, c)
	if err != nil {
		a.log.Info("Change not settled.", "change", c.ID, "author", c.Author, "error", err.Error())
		writeChangeError(w, c.ID, err)
		return
	}
	writeOutcome(w, &o)
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
func writeOutcome(w http.ResponseWriter, o *configlog.Outcome) {
	body := &ErrorBody{Change: o.ID, Offset: o.Offset, Mistakes: o.Mistakes}
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
	default:
		body.Code, body.Message = result.ConfigUnavailable, "the change was written too late and is void"
		body.RetryAfterMS = time.Second.Milliseconds()
	}
	writeErrorBody(w, body)
}

// getChange tells what became of a change.
func (a *API) getChange(w http.ResponseWriter, r *http.Request) {
	id := r.PathValue("id")
	readErr := a.opts.Config.CatchUp(r.Context(), 0)
	if o, ok := a.opts.Config.Current().Outcome(id); ok {
		writeOutcome(w, &o)
		return
	}
	if readErr != nil {
		writeErrorBody(w, &ErrorBody{
			Code: result.ConfigUnknown, Message: "the log is down; ask again", Change: id, RetryAfterMS: retryAfterMS,
		})
		return
	}
	writeErrorBody(w, &ErrorBody{Code: result.ConfigNoObject, Message: "no such change in the log", Change: id})
}

// retryAfterMS is when asking again helps while the log is down.
const retryAfterMS = 5000

func (a *API) getObjects(w http.ResponseWriter, r *http.Request) {
	snap := a.opts.Config.Current()
	if notModified(w, r, etag(snap.Offset)) {
		return
	}
	objects := snap.Objects()
	if r.URL.Query().Get("deleted") == "true" {
		objects = snap.AllObjects()
	}
	WriteJSON(w, http.StatusOK, ObjectsReply{Offset: snap.Offset, Objects: objects})
}

func (a *API) getObject(w http.ResponseWriter, r *http.Request) {
	o, ok := a.opts.Config.Current().Object(r.PathValue("name"))
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
		edit.Base = version
	case r.Header.Get("If-None-Match") == "*" && (current.Deleted || current.Version == 0):
		edit.Base = current.Version
	case r.Header.Get("If-None-Match") == "*":
		edit.Base = 0
	default:
		WriteError(w, result.New(result.AdminBadRequest, "If-Match with the version, or If-None-Match: *, is needed"))
		return
	}
	a.submit(w, r, ChangeRequest{ID: r.Header.Get("Change-Id"), Edits: []configlog.Edit{edit}})
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
		if object == "" || containsString(outcomes[i].Objects, object) {
			list = append(list, outcomes[i])
		}
	}
	WriteJSON(w, http.StatusOK, list)
}

func containsString(list []string, s string) bool {
	for _, v := range list {
		if v == s {
			return true
		}
	}
	return false
}
