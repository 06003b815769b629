package agent

import (
	"context"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/gorilla/mux"
	"github.com/sirupsen/logrus"
	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"hazelwheel/internal/decide/membership"
	"hazelwheel/internal/decide/register"
	"hazelwheel/internal/decide/tokenlease"
	"hazelwheel/internal/gossip"
	"hazelwheel/internal/message"
	"hazelwheel/internal/nodeconfig"
	"hazelwheel/internal/transport"
)

// waitTimeout bounds the wait for gossip. It is far longer than gossip takes.
const (
	waitTimeout  = 30 * time.Second
	pollInterval = 5 * time.Millisecond
)

// TestRequestsForTokensGoToTheLessor checks that an agent learns of the lessor of a share by gossip and forwards requests to it.
func TestRequestsForTokensGoToTheLessor(t *testing.T) {
	settings, err := nodeconfig.Parse([]byte("NodeId: edge-1\nIp: 127.0.0.1\nZone: z\nInternalPortRange: [7720, 7735]\n"))
	require.NoError(t, err)
	log := logrus.New()
	log.SetOutput(io.Discard)
	router := mux.NewRouter()
	server := httptest.NewServer(router)
	defer server.Close()
	address := strings.TrimPrefix(server.URL, "http://")
	lessor := gossip.New(&nodeconfig.Settings{NodeID: "core-1", Zone: settings.Zone}, membership.Record{Kind: membership.Control, Address: address}, transport.NewClient(),
		logrus.NewEntry(log))
	lessor.RegisterHandlers(router)
	router.HandleFunc(message.TokensPath, transport.NewHandler(func(_ context.Context, request *tokenlease.Request) (*tokenlease.Reply, error) {
		return &tokenlease.Reply{Token: 9, Grants: []tokenlease.Grant{{Tenant: request.Reports[0].Tenant, LeaseID: 3, Granted: request.Reports[0].Need}}}, nil
	})).Methods(http.MethodPost)

	a := &Agent{settings: settings, log: logrus.NewEntry(log), client: transport.NewClient()}
	a.node = gossip.New(settings, membership.Record{Kind: membership.Agent, Address: "127.0.0.1:7721"}, a.client, a.log)
	request := &tokenlease.Request{Lessee: "edge-1/1", Share: 2, Reports: []tokenlease.Report{{Tenant: "acme", LeaseID: 3, Need: 40}}}
	_, err = a.forwardTokens(context.Background(), request)
	require.ErrorContains(t, err, "tenant-limits/2", "no lessor is known")

	lessor.MergeRegisterValue(register.Value{Grants: []register.Grant{{Role: tokenlease.Role(2), Holder: "core-1", Token: 9}}})
	a.node.SetSeeds([]string{address})
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	go a.node.Run(ctx)
	require.Eventually(t, func() bool { return a.node.HolderAddress(tokenlease.Role(2)) == address }, waitTimeout, pollInterval)
	reply, err := a.forwardTokens(context.Background(), request)
	require.NoError(t, err)
	assert.Equal(t, &tokenlease.Reply{Token: 9, Grants: []tokenlease.Grant{{Tenant: "acme", LeaseID: 3, Granted: 40}}}, reply)
	server.Close()
	_, err = a.forwardTokens(context.Background(), request)
	assert.Error(t, err, "the lessor has ended")
}
