package gossip

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"net/url"
	"sync/atomic"
	"time"

	"github.com/zeebo/errs"

	"hazelwheel/internal/message"
	"hazelwheel/internal/transport"
)

// PlatformError is the class of the errors of PlatformClient.
var PlatformError = errs.Class("platform")

const (
	// readTimeout bounds the reading of all pages.
	readTimeout = 1500 * time.Millisecond
	// maxPageBytes and maxPages bound what is read from a faulty platform.
	maxPageBytes = 8 << 20
	maxPages     = 400
)

// PlatformClient reads the platform's list of servers. It is safe for concurrent use.
type PlatformClient struct {
	address atomic.Pointer[string]
	client  *http.Client
}

// NewPlatformClient returns a client for the platform at an address, IP:PORT.
func NewPlatformClient(address string) *PlatformClient {
	client := &PlatformClient{client: &http.Client{Transport: &http.Transport{DialContext: transport.NewDialer().DialContext, MaxIdleConnsPerHost: 1,
		IdleConnTimeout: time.Minute, DisableCompression: true}}}
	client.SetAddress(address)
	return client
}

// SetAddress sets the platform's address, IP:PORT, for the pages that are read from now on.
func (p *PlatformClient) SetAddress(address string) { p.address.Store(&address) }

// platformInstance is a server as the platform lists it.
type platformInstance struct {
	ID              string  `json:"Id"`
	Service         string  `json:"Service"`
	Address         string  `json:"Address"`
	Zone            string  `json:"Zone"`
	Slots           int     `json:"Slots"`
	State           string  `json:"State"`
	ColdRemainingMs float64 `json:"ColdRemainingMs"`
	Stage           string  `json:"Stage"`
}

// instancePage is a page of the platform's list.
type instancePage struct {
	Instances     []platformInstance `json:"Instances"`
	NextPageToken *string            `json:"NextPageToken"`
}

// stateDraining is the platform's state for a server that gets no new requests.
const stateDraining = "draining"

// Instances reads all pages of the list. Its errors are of class PlatformError. After an error the caller
// should keep using its previous list.
func (p *PlatformClient) Instances(ctx context.Context) ([]message.Instance, error) {
	ctx, cancel := context.WithTimeout(ctx, readTimeout)
	defer cancel()
	instances := []message.Instance{}
	token := ""
	for range maxPages {
		page, err := p.fetchPage(ctx, token)
		if err != nil {
			return nil, PlatformError.Wrap(err)
		}
		for _, listed := range page.Instances {
			instances = append(instances, message.Instance{ID: listed.ID, Service: listed.Service, Address: listed.Address, Zone: listed.Zone,
				Slots: listed.Slots, Draining: listed.State == stateDraining, Stage: message.Stage(listed.Stage)})
		}
		if page.NextPageToken == nil || *page.NextPageToken == "" {
			return instances, nil
		}
		token = *page.NextPageToken
	}
	return nil, PlatformError.New("more than %d pages", maxPages)
}

// fetchPage reads one page; token is empty for the first one.
func (p *PlatformClient) fetchPage(ctx context.Context, token string) (*instancePage, error) {
	target := url.URL{Scheme: "http", Host: *p.address.Load(), Path: "/instances"}
	if token != "" {
		target.RawQuery = url.Values{"PageToken": {token}}.Encode()
	}
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, target.String(), nil)
	if err != nil {
		return nil, err
	}
	response, err := p.client.Do(request)
	if err != nil {
		return nil, err
	}
	defer func() { _ = response.Body.Close() }() // the body has been read
	body, err := io.ReadAll(io.LimitReader(response.Body, maxPageBytes))
	if err != nil {
		return nil, err
	}
	if response.StatusCode != http.StatusOK {
		return nil, PlatformError.New("status %d", response.StatusCode)
	}
	page := &instancePage{}
	return page, json.Unmarshal(body, page)
}
