package control

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"time"

	"github.com/gorilla/mux"
	"github.com/sirupsen/logrus"
	"github.com/zeebo/errs"
	"golang.org/x/time/rate"

	"hazelwheel/internal/decide/membership"
	"hazelwheel/internal/decide/register"
	"hazelwheel/internal/gossip"
	"hazelwheel/internal/message"
	"hazelwheel/internal/nodeconfig"
	"hazelwheel/internal/transport"
)

// Error is the class of all errors of this package.
var Error = errs.Class("control")

const (
	// shutdownTimeout bounds the completion of requests that are in flight at SIGTERM.
	shutdownTimeout = 2 * time.Second
	// headerTimeout and idleTimeout bound the connections of clients and other processes.
	headerTimeout = 3 * time.Second
	idleTimeout   = time.Minute
)

// Control is the state of a control process. Its fields don't change after newControl has set them. The values that they point to, and
// ignoredFieldsLog, are safe for concurrent use.
type Control struct {
	settings *nodeconfig.Settings
	log      *logrus.Entry
	node     *gossip.Node
	replica  *replica
	proposer *proposer
	platform *gossip.PlatformClient
	chosen   *chosenTracker
	table    *currentTable
	// tenantLessors are the lessors of the tenants' rate limits, one for each share.
	tenantLessors []*tenantLessor

	ignoredFieldsLog rate.Sometimes // limits the lines about fields that this version ignores
}

// Run runs a control process until the context ends; then it announces that it leaves, waits until another process votes in its place
// (see awaitReplacement), and shuts its servers down. Settings from reload replace the seeds and the platform's address. It returns an error if the disk
// can't be opened or it can't listen at an address.
func Run(ctx context.Context, settings *nodeconfig.Settings, reload <-chan *nodeconfig.Settings, log *logrus.Entry) error {
	replica, err := openReplica(settings, log)
	if err != nil {
		return err
	}
	if err := replica.persistIdentity(ctx); err != nil {
		return err
	}
	return newControl(settings, replica, transport.NewClient(), log).run(ctx, reload)
}

// run starts servers and tasks and serves until the context ends. The tasks continue during the shutdown, since a leaving voter takes
// part in its own replacement.
func (c *Control) run(ctx context.Context, reload <-chan *nodeconfig.Settings) error {
	internalListener, err := listenTCP(c.proposer.self.Address)
	if err != nil {
		return err
	}
	operatorListener, err := listenTCP(c.settings.Listen.Control)
	if err != nil {
		return errs.Combine(err, internalListener.Close())
	}
	servers := []*http.Server{serve(internalListener, c.internalRouter()), serve(operatorListener, c.operatorRouter())}
	taskCtx, stopTasks := context.WithCancel(context.Background())
	defer stopTasks()
	tasks := []func(context.Context){c.node.Run, c.runReconfiguration, c.runAntiEntropy, c.runCatchUp, c.runDiskScrub, c.runListReader,
		newStageController(c).run}
	for _, lessor := range c.tenantLessors {
		tasks = append(tasks, lessor.run)
	}
	for _, task := range tasks {
		go task(taskCtx)
	}
	for {
		select {
		case <-ctx.Done():
			c.node.AnnounceLeaving()
			c.awaitReplacement()
			return shutdown(servers, shutdownTimeout)
		case newSettings := <-reload:
			c.node.SetSeeds(newSettings.SeedAddresses())
			c.platform.SetAddress(newSettings.Cloud.Address)
		}
	}
}

// newControl returns the control process for an open replica. The client makes its calls to other processes; tests pass one with a faulty
// network.
func newControl(settings *nodeconfig.Settings, replica *replica, client *transport.Client, log *logrus.Entry) *Control {
	self := register.Voter{ID: replica.state().ID, Address: settings.InternalAddress(settings.IP, nodeconfig.ControlPort)}
	control := &Control{settings: settings, log: log, replica: replica, platform: gossip.NewPlatformClient(settings.Cloud.Address),
		chosen: newChosenTracker(), ignoredFieldsLog: rate.Sometimes{Interval: ignoredFieldsInterval}}
	control.node = gossip.New(settings, membership.Record{Kind: membership.Control, Address: self.Address, VoterID: self.ID,
		OperatorAddress: settings.Listen.Control}, client, log)
	control.proposer = &proposer{self: self, proposerID: fmt.Sprintf("%s/%016x", settings.NodeID, rand.Uint64()), replica: replica, client: client,
		fetcher: newConfigFetcher(), linkMbps: settings.Limits.LinkMbps, gossipVoters: control.gossipVoters, isReachable: control.isReachable,
		onChosen: control.handleChosen}
	control.table = &currentTable{control: control}
	control.tenantLessors = newTenantLessors(control)
	if state := replica.state(); state.Accepted == (register.Ballot{}) {
		control.node.MergeRegisterValue(state.Value) // the founding value; one that was accepted later may not have been chosen
	}
	return control
}

// internalRouter returns the handler of requests of other processes.
func (c *Control) internalRouter() http.Handler {
	router := mux.NewRouter()
	c.node.RegisterHandlers(router)
	router.HandleFunc(preparePath, transport.NewHandler(c.replica.handlePrepare)).Methods(http.MethodPost)
	router.HandleFunc(acceptPath, transport.NewHandler(c.replica.handleAccept)).Methods(http.MethodPost)
	router.HandleFunc(readPath, transport.NewHandler(c.replica.handleRead)).Methods(http.MethodPost)
	router.HandleFunc(learnPath, transport.NewHandler(c.handleLearn)).Methods(http.MethodPost)
	router.HandleFunc(configPath, transport.NewHandler(c.replica.handleConfigRequest)).Methods(http.MethodPost)
	router.HandleFunc(message.TokensPath, transport.NewHandler(c.handleTokens)).Methods(http.MethodPost)
	router.HandleFunc(statusPath, c.handleStatus).Methods(http.MethodGet)
	return router
}

// operatorRouter returns the handler of the configuration API.
func (c *Control) operatorRouter() http.Handler {
	router := mux.NewRouter()
	router.HandleFunc("/config", c.handlePut).Methods(http.MethodPut)
	router.HandleFunc("/config", c.handlePatch).Methods(http.MethodPatch)
	router.HandleFunc("/config", c.handleGet).Methods(http.MethodGet)
	return router
}

// gossipVoters returns the value with the newest set of voters that was received by gossip.
func (c *Control) gossipVoters() register.Value {
	gossipState, _ := c.node.State()
	return gossipState.Voters
}

// handleChosen publishes the voters of a value that a round of this process has found chosen. runCatchUp then publishes and stores the
// rest. It may be called from any goroutine, with older values too.
func (c *Control) handleChosen(value chosenValue) {
	c.node.MergeRegisterValue(value.Value)
	c.chosen.observeOwnRound(value)
}
