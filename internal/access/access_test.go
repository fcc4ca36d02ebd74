package access

import (
	"bytes"
	"context"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/rs/zerolog"
	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"

	"balsamcourse.example/balsamcourse/internal/event"
	"balsamcourse.example/balsamcourse/internal/fault"
)

const (
	oldSecret = "old-0123456789abcdef"
	newSecret = "new-0123456789abcdef"
)

func writeKeyFile(t *testing.T, path, text string) {
	t.Helper()
	assert.NilError(t, os.WriteFile(path, []byte(text), 0o600))
}

func TestLoadRejectsInvalidKeyFiles(t *testing.T) {
	cases := []struct {
		name, text string
		want       string
	}{
		{"two keys of one name", "# ops\nann " + oldSecret + "\nann " + newSecret + "\n", ""},
		{"three keys of one name", strings.Repeat("ann "+oldSecret+"\n", 3), ":3: more than 2 keys"},
		{"short key", "ann secret\n", ":1: key of \"ann\" is shorter"},
		{"no name", "\n" + oldSecret + "\n", ":2: line must have the form"},
		{"empty", "# none\n", "file has no keys"},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			path := filepath.Join(t.TempDir(), "keys")
			writeKeyFile(t, path, tc.text)
			_, err := Load(path)
			if tc.want == "" {
				assert.NilError(t, err)
				return
			}
			assert.ErrorContains(t, err, tc.want)
			assert.Equal(t, fault.KindOf(err), fault.Settings)
			assert.Assert(t, !strings.Contains(err.Error(), "secret"), "the error contains a key")
		})
	}
}

func TestOnlyRequestsWithValidKeyPass(t *testing.T) {
	path := filepath.Join(t.TempDir(), "keys")
	writeKeyFile(t, path, "ann "+oldSecret+"\nann "+newSecret+"\nbob bob-0123456789abcdef\n")
	keys, err := Load(path)
	assert.NilError(t, err)
	var log bytes.Buffer
	authenticator := NewAuthenticator(keys, event.NewLogger(&log, zerolog.InfoLevel, "control", "1"), nil)
	handler := authenticator.Wrap(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set("Holder", Holder(r.Context()))
	}))
	cases := []struct {
		header string
		holder string
	}{
		{"Bearer " + oldSecret, "ann"},
		{"Bearer " + newSecret, "ann"},
		{"Bearer bob-0123456789abcdef", "bob"},
		{"Bearer bob-0123456789abcdeg", ""},
		{"Bearer ", ""},
		{oldSecret, ""},
		{"", ""},
	}
	for _, tc := range cases {
		log.Reset()
		r := httptest.NewRequest(http.MethodPost, "/x", nil)
		r.Header.Set("Authorization", tc.header)
		w := httptest.NewRecorder()
		handler.ServeHTTP(w, r)
		assert.Equal(t, w.Header().Get("Holder"), tc.holder, tc.header)
		if tc.holder == "" {
			assert.Equal(t, w.Code, http.StatusUnauthorized, tc.header)
			assert.Assert(t, strings.Contains(w.Body.String(), `"unauthorized"`))
			assert.Assert(t, strings.Contains(log.String(), `"event":500`))
			assert.Assert(t, !strings.Contains(log.String(), "0123456789"))
		}
	}
}

func TestNilKeysAdmitEveryRequest(t *testing.T) {
	next := http.NotFoundHandler()
	w := httptest.NewRecorder()
	NewAuthenticator(nil, event.Logger{}, nil).Wrap(next).ServeHTTP(w, httptest.NewRequest(http.MethodGet, "/", nil))
	assert.Equal(t, w.Code, http.StatusNotFound)
	assert.Equal(t, NewTransport(nil, http.DefaultTransport), http.DefaultTransport)
	var none *Keys
	none.Watch(context.Background(), time.Millisecond, event.Logger{})
}

func TestChangedKeyFileIsReloaded(t *testing.T) {
	path := filepath.Join(t.TempDir(), "keys")
	writeKeyFile(t, path, "ann "+oldSecret+"\n")
	keys, err := Load(path)
	assert.NilError(t, err)
	srv := httptest.NewServer(NewAuthenticator(keys, event.Logger{}, nil).Wrap(http.HandlerFunc(func(http.ResponseWriter, *http.Request) {})))
	defer srv.Close()
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() {
		defer close(done)
		keys.Watch(ctx, time.Millisecond, event.Logger{})
	}()
	send := func() int {
		resp, err := (&http.Client{Transport: NewTransport(keys, http.DefaultTransport)}).Get(srv.URL)
		assert.NilError(t, err)
		resp.Body.Close()
		return resp.StatusCode
	}
	assert.Equal(t, send(), http.StatusOK)

	writeKeyFile(t, path, "ann "+newSecret+"\nann "+oldSecret+"\n")
	waitForCurrentKey(t, keys, newSecret)
	assert.Equal(t, send(), http.StatusOK)
	_, ok := keys.Holder(oldSecret)
	assert.Assert(t, ok, "the old key is rejected while the file still contains it")

	writeKeyFile(t, path, "broken\n")
	time.Sleep(5 * time.Millisecond)
	assert.Equal(t, keys.Current().Secret, newSecret)

	writeKeyFile(t, path, "ann "+newSecret+"\n")
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		if _, ok := keys.Holder(oldSecret); ok {
			return poll.Continue("the old key is still valid")
		}
		return poll.Success()
	})
	cancel()
	<-done
}

func waitForCurrentKey(t *testing.T, keys *Keys, secret string) {
	t.Helper()
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		if keys.Current().Secret != secret {
			return poll.Continue("the new key is not loaded yet")
		}
		return poll.Success()
	})
}

func FuzzParseKeySet(f *testing.F) {
	f.Add([]byte("ann " + oldSecret + "\n# x\nbob " + newSecret))
	f.Fuzz(func(t *testing.T, data []byte) {
		r, err := parseKeySet("f", data)
		if err != nil {
			assert.Equal(t, fault.KindOf(err), fault.Settings)
			return
		}
		for _, k := range r.keys {
			assert.Assert(t, k.Name != "" && len(k.Secret) >= minKeyBytes)
		}
	})
}
