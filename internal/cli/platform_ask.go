package cli

import (
	"context"
	"encoding/json"
	"errors"
	"flag"
	"io"
	"net/http"
	neturl "net/url"
	"strconv"
	"strings"

	"github.com/damasklb/damasklb/internal/fault"
	"github.com/damasklb/damasklb/internal/status"
)

// askFlags are the flags of commands that ask a process on the hosting platform.
type askFlags struct {
	ctlFlags
	url string
}

func (f *askFlags) addAskFlags(fs *flag.FlagSet) {
	f.addOutputFlag(fs)
	fs.StringVar(&f.url, "url", "", "base `URL` of the process's metrics, such as http://10.0.0.1:9464")
	f.addTimeoutFlag(fs)
}

// ask sends a question to the process and returns the body of its answer.
func (f *askFlags) ask(ctx context.Context, path string, query neturl.Values) ([]byte, error) {
	if f.url == "" {
		return nil, fault.Usage.New("--url is needed: the base URL of a process's metrics")
	}
	url := strings.TrimSuffix(f.url, "/") + path
	if len(query) > 0 {
		url += "?" + query.Encode()
	}
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	if err != nil {
		return nil, fault.Usage.Wrap(err, "--url")
	}
	response, err := http.DefaultClient.Do(request)
	if failed := (*neturl.Error)(nil); errors.As(err, &failed) {
		return nil, fault.Unavailable.Wrap(failed.Err, "process: %s", f.url)
	}
	if err != nil {
		return nil, fault.Unavailable.Wrap(err, "process: %s", f.url)
	}
	defer response.Body.Close()
	raw, err := io.ReadAll(io.LimitReader(response.Body, maxAdminResponseBytes))
	if err != nil {
		return nil, fault.Unavailable.Wrap(err, "process: read response of %s", f.url)
	}
	if response.StatusCode != http.StatusOK {
		return nil, questionError(f.url, response.StatusCode, raw)
	}
	if !json.Valid(raw) {
		// Processes of earlier versions answer all paths with their metrics.
		return nil, fault.BadResponse.New("process: %s has no page %s", f.url, path)
	}
	return raw, nil
}

// questionError returns the error that the answer to a question stands for.
func questionError(url string, code int, raw []byte) error {
	var failure status.Failure
	// The message leaves out a body that does not describe a failure.
	_ = json.Unmarshal(raw, &failure)
	errType := fault.Unavailable
	switch code {
	case http.StatusBadRequest:
		errType = fault.BadField
	case http.StatusNotFound:
		errType = fault.NotFound
	case http.StatusMisdirectedRequest:
		errType = fault.NotOwner
	}
	err := errType.New("%s: status %d %s", url, code, failure.Error.Message)
	if failure.Error.Field != "" {
		err = err.WithProperty(fault.Field, failure.Error.Field)
	}
	return err
}

// setInt and setText set a parameter of a question if the flag was given.
func setInt(q neturl.Values, name string, value, unset int) {
	if value != unset {
		q.Set(name, strconv.Itoa(value))
	}
}

func setText(q neturl.Values, name, value string) {
	if value != "" {
		q.Set(name, value)
	}
}
