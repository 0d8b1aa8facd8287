package cli

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"io"
	"net/http"
	neturl "net/url"
	"strings"

	"github.com/damasklb/damasklb/internal/fault"
	"github.com/damasklb/damasklb/internal/pki"
	"github.com/damasklb/damasklb/internal/status"
)

const maxAdminResponseBytes = 64 << 20

// adminClient sends requests to the entries' operator interface.
type adminClient struct {
	urls  []string
	token string
	http  *http.Client
}

func (f *ctlFlags) adminClient() (*adminClient, error) {
	if f.entryURLs == "" {
		return nil, fault.Usage.New("--entry-url is needed: the base URLs of entries, separated by commas")
	}
	c := &adminClient{token: f.token, http: &http.Client{}}
	for url := range strings.SplitSeq(f.entryURLs, ",") {
		c.urls = append(c.urls, strings.TrimSuffix(strings.TrimSpace(url), "/"))
	}
	if f.files == (pki.Files{}) {
		return c, nil
	}
	if f.files.CA == "" || f.files.Cert == "" || f.files.Key == "" {
		return nil, fault.Usage.New("--tls-ca, --tls-cert and --tls-key are needed together")
	}
	clientTLS, err := pki.ClientConfig(f.files, pki.RoleEntry)
	if err != nil {
		return nil, err
	}
	c.http.Transport = &http.Transport{TLSClientConfig: clientTLS, Proxy: http.ProxyFromEnvironment}
	return c, nil
}

func (c *adminClient) status(ctx context.Context) (status.Report, error) {
	var report status.Report
	err := c.call(ctx, http.MethodGet, status.StatusPath, nil, &report)
	return report, err
}

func (c *adminClient) explain(ctx context.Context, query neturl.Values) (status.DispatchExplanation, error) {
	var e status.DispatchExplanation
	err := c.call(ctx, http.MethodGet, status.ExplainPath+"?"+query.Encode(), nil, &e)
	return e, err
}

func (c *adminClient) drain(ctx context.Context, host string) (status.DrainResponse, error) {
	var response status.DrainResponse
	err := c.call(ctx, http.MethodPost, status.DrainPath, status.DrainRequest{Host: host}, &response)
	return response, err
}

// pushConfig sends an accepted version to the entries in turn until one has taken
// it. That entry notifies all others.
func (c *adminClient) pushConfig(ctx context.Context, version uint64, content []byte) error {
	var response status.ConfigPushResponse
	return c.call(ctx, http.MethodPost, status.ConfigPath, status.ConfigPushRequest{Version: version, Content: content}, &response)
}

// call sends a request to the entries in turn until one gives a definite answer.
// All requests of the operator interface are idempotent.
func (c *adminClient) call(ctx context.Context, method, path string, body, out any) error {
	raw, err := json.Marshal(body)
	if err != nil {
		return fault.Internal.Wrap(err, "encode request")
	}
	for _, url := range c.urls {
		var definite bool
		if definite, err = c.try(ctx, method, url+path, raw, out); definite {
			return err
		}
	}
	return err
}

// problem is an error response (RFC 9457).
type problem struct {
	Title  string `json:"title"`
	Detail string `json:"detail"`
}

// try sends the request to one entry. It returns false if another entry should be
// tried: no complete response was received, its status is 500 or above, or the entry
// is not the one that can answer.
func (c *adminClient) try(ctx context.Context, method, url string, body []byte, out any) (bool, error) {
	request, err := http.NewRequestWithContext(ctx, method, url, bytes.NewReader(body))
	if err != nil {
		return true, fault.Usage.Wrap(err, "--entry-url")
	}
	request.Header.Set("Content-Type", "application/json")
	if c.token != "" {
		request.Header.Set("Authorization", "Bearer "+c.token)
	}
	response, err := c.http.Do(request)
	if failed := (*neturl.Error)(nil); errors.As(err, &failed) {
		return false, fault.Unavailable.Wrap(failed.Err, "entry: %s", url)
	}
	if err != nil {
		return false, fault.Unavailable.Wrap(err, "entry: %s", url)
	}
	defer response.Body.Close()
	raw, err := io.ReadAll(io.LimitReader(response.Body, maxAdminResponseBytes))
	if err != nil {
		return false, fault.Unavailable.Wrap(err, "entry: read response of %s", url)
	}
	if response.StatusCode/100 != 2 {
		definite := response.StatusCode < http.StatusInternalServerError && response.StatusCode != http.StatusMisdirectedRequest
		return definite, responseError(url, response.StatusCode, raw)
	}
	if err := json.Unmarshal(raw, out); err != nil {
		return true, fault.BadResponse.Wrap(err, "entry: response of %s", url)
	}
	return true, nil
}

// responseError returns the error that an error response stands for.
func responseError(url string, code int, raw []byte) error {
	url, _, _ = strings.Cut(url, "?")
	var failure status.Failure
	if json.Unmarshal(raw, &failure) == nil && failure.Error.Message != "" {
		return questionError(url, code, raw)
	}
	var p problem
	// The message leaves out a body that is not a problem document.
	_ = json.Unmarshal(raw, &p)
	text := strings.Trim(p.Title+": "+p.Detail, ": ")
	errType := fault.Unavailable
	switch code {
	case http.StatusUnauthorized:
		errType = fault.Unauthenticated
	case http.StatusForbidden:
		errType = fault.WrongRole
	case http.StatusNotFound:
		errType = fault.NotFound
	}
	return errType.New("entry: %s: status %d %s", url, code, text)
}
