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

const maxAdminBytes = 64 << 20

// adminClient calls the operator interface of entries.
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
	tls, err := pki.ClientConfig(f.files, pki.RoleEntry)
	if err != nil {
		return nil, err
	}
	c.http.Transport = &http.Transport{TLSClientConfig: tls, Proxy: http.ProxyFromEnvironment}
	return c, nil
}

func (c *adminClient) status(ctx context.Context) (status.Report, error) {
	var report status.Report
	err := c.call(ctx, http.MethodGet, status.StatusPath, nil, &report)
	return report, err
}

func (c *adminClient) drain(ctx context.Context, host string) (status.DrainResponse, error) {
	var response status.DrainResponse
	err := c.call(ctx, http.MethodPost, status.DrainPath, status.DrainRequest{Host: host}, &response)
	return response, err
}

// pushConfig tells entries of an accepted version, until one has taken it. That
// one tells all others.
func (c *adminClient) pushConfig(ctx context.Context, version uint64, content []byte) error {
	var taken status.ConfigPushResponse
	return c.call(ctx, http.MethodPost, status.ConfigPath, status.ConfigPushRequest{Version: version, Content: content}, &taken)
}

// call tries the entries in turn until one answers. All requests may be
// repeated without harm.
func (c *adminClient) call(ctx context.Context, method, path string, body, out any) error {
	raw, err := json.Marshal(body)
	if err != nil {
		return fault.Internal.Wrap(err, "encode request")
	}
	for _, url := range c.urls {
		var answered bool
		if answered, err = c.try(ctx, method, url+path, raw, out); answered {
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

// try reports whether the entry gave a definite answer.
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
	raw, err := io.ReadAll(io.LimitReader(response.Body, maxAdminBytes))
	if err != nil {
		return false, fault.Unavailable.Wrap(err, "entry: read response of %s", url)
	}
	if response.StatusCode/100 != 2 {
		return response.StatusCode < http.StatusInternalServerError, refusal(url, response.StatusCode, raw)
	}
	if err := json.Unmarshal(raw, out); err != nil {
		return true, fault.BadResponse.Wrap(err, "entry: response of %s", url)
	}
	return true, nil
}

func refusal(url string, code int, raw []byte) error {
	var p problem
	// A body that is no problem document is left out of the message.
	_ = json.Unmarshal(raw, &p)
	text := strings.Trim(p.Title+": "+p.Detail, ": ")
	kind := fault.Unavailable
	switch code {
	case http.StatusUnauthorized:
		kind = fault.Unauthenticated
	case http.StatusForbidden:
		kind = fault.WrongRole
	case http.StatusNotFound:
		kind = fault.NotFound
	}
	return kind.New("entry: %s: status %d %s", url, code, text)
}
