package gossip

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"net/url"
	"time"

	"github.com/zeebo/errs"

	"hazelwheel/internal/message"
	"hazelwheel/internal/transport"
)

// PlatformError is the class of errors of calls to the platform.
var PlatformError = errs.Class("platform")

const (
	// readWithin bounds the reading of the whole list.
	readWithin = 1500 * time.Millisecond
	maxPage    = 8 << 20
	maxPages   = 400
)

// PlatformClient reads the platform's list of servers.
type PlatformClient struct {
	address string
	http    *http.Client
}

// NewPlatformClient returns a client for the platform at IP:PORT.
func NewPlatformClient(address string) *PlatformClient {
	return &PlatformClient{address, &http.Client{Transport: &http.Transport{DialContext: transport.NewDialer().DialContext, MaxIdleConnsPerHost: 1,
		IdleConnTimeout: time.Minute, DisableCompression: true}}}
}

type listedInstance struct {
	ID              string  `json:"Id"`
	Service         string  `json:"Service"`
	Address         string  `json:"Address"`
	Zone            string  `json:"Zone"`
	Slots           int     `json:"Slots"`
	State           string  `json:"State"`
	ColdRemainingMs float64 `json:"ColdRemainingMs"`
	Stage           string  `json:"Stage"`
}

type listPage struct {
	Instances     []listedInstance `json:"Instances"`
	NextPageToken *string          `json:"NextPageToken"`
}

const stateDraining = "draining"

// Instances returns the whole list.
func (p *PlatformClient) Instances(ctx context.Context) ([]message.Instance, error) {
	ctx, cancel := context.WithTimeout(ctx, readWithin)
	defer cancel()
	instances := []message.Instance{}
	token := ""
	for range maxPages {
		page, err := p.page(ctx, token)
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

func (p *PlatformClient) page(ctx context.Context, token string) (*listPage, error) {
	target := url.URL{Scheme: "http", Host: p.address, Path: "/instances"}
	if token != "" {
		target.RawQuery = url.Values{"PageToken": {token}}.Encode()
	}
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, target.String(), nil)
	if err != nil {
		return nil, err
	}
	answer, err := p.http.Do(request)
	if err != nil {
		return nil, err
	}
	defer answer.Body.Close()
	body, err := io.ReadAll(io.LimitReader(answer.Body, maxPage))
	if err != nil {
		return nil, err
	}
	if answer.StatusCode != http.StatusOK {
		return nil, PlatformError.New("status %d", answer.StatusCode)
	}
	page := &listPage{}
	return page, json.Unmarshal(body, page)
}
