package main

import (
	"context"
	"errors"
	"net/http"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/magnoliawheel/magnoliawheel/test/cutserver"
)

// callAdmin makes a call to an admin API that sends the given bytes, and returns its exit code.
func callAdmin(t *testing.T, method, answer string, out any) int {
	t.Helper()
	url := "http://" + cutserver.Start(t, func(*http.Request, int) cutserver.Answer { return cutserver.Answer{Bytes: answer} })
	err := (&adminFlags{Admin: url}).call(context.Background(), method, "/admin/v1/x", nil, out)
	if err == nil {
		return 0
	}
	var exit exitError
	assert.Assert(t, errors.As(err, &exit), "%v", err)
	return exit.code
}

// TestBrokenAdminAnswer guards against bytes that are no answer being taken for the confirmation of a
// change, or for its rejection.
func TestBrokenAdminAnswer(t *testing.T) {
	const conflict = `{"code":6001,"name":"config_conflict","message":"m"}`
	for _, begin := range []string{
		"HTTP/1.1 000 OK\r\n",
		"HTTP/1.1 200 OK\r\nOther Field: a\r\n",
		"HTTP/1.1 200 OK\r\nOther: a\r\n Field: a\r\n",
		"HTTP/1.1 103 Early Hints\r\nOther Field: a\r\n\r\nHTTP/1.1 200 OK\r\n",
		"HTTP/1.1 409 Conflict\r\nOther Field: a\r\n",
	} {
		answer := begin + "\r\n" + conflict
		assert.Check(t, callAdmin(t, http.MethodPost, answer, &struct{}{}) == exitOutcomeUnknown, "%q", begin)
		assert.Check(t, callAdmin(t, http.MethodPost, answer, nil) == exitOutcomeUnknown, "%q", begin)
		assert.Check(t, callAdmin(t, http.MethodGet, answer, &struct{}{}) == exitUnavailable, "%q", begin)
	}
	url := "http://" + cutserver.Start(t, func(*http.Request, int) cutserver.Answer {
		return cutserver.Answer{Bytes: "HTTP/1.1 200 OK\r\nOther Field: a\r\n\r\n{}"}
	})
	_, err := fetchBurnReport(url, "")
	assert.Assert(t, err != nil)
}

// TestAdminAnswerThatEndsEarly guards against an operator being told that a change is made by an answer
// whose connection was lost, or that is none of the admin API.
func TestAdminAnswerThatEndsEarly(t *testing.T) {
	const head, chunked = "HTTP/1.1 200 OK\r\n", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
	for _, answer := range []string{
		head + "Content-Length: 3\r\n\r\n{}",
		head + "\r\n{",
		head + "\r\n{}{}",
		chunked + "2\r\n{}\r\n",
		chunked + "2\r\n{}\r\n0\r\nOther Field: a\r\n\r\n",
	} {
		assert.Check(t, callAdmin(t, http.MethodPost, answer, &struct{}{}) == exitOutcomeUnknown, "%q", answer)
		assert.Check(t, callAdmin(t, http.MethodGet, answer, &struct{}{}) == exitUnavailable, "%q", answer)
	}
	for _, answer := range []string{head + "Content-Length: 3\r\n\r\n{}", chunked + "2\r\n{}\r\n"} {
		assert.Check(t, callAdmin(t, http.MethodPost, answer, nil) == exitOutcomeUnknown, "%q", answer)
	}
	assert.Check(t, callAdmin(t, http.MethodPost, "HTTP/1.1 300 Multiple Choices\r\n\r\n", nil) != 0)
	for _, answer := range []string{head + "Content-Length: 2\r\n\r\n{}", head + "\r\n{}\n", chunked + "2\r\n{}\r\n0\r\nOther: a\r\n\r\n"} {
		assert.Equal(t, callAdmin(t, http.MethodPost, answer, &struct{}{}), 0, "%q", answer)
		assert.Equal(t, callAdmin(t, http.MethodPost, answer, nil), 0, "%q", answer)
	}
	assert.Equal(t, callAdmin(t, http.MethodPost, "HTTP/1.1 204 No Content\r\n\r\n", nil), 0)
}
