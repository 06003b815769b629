// Package control hosts a control process: a replica of the configuration register, the operator's interface, the upkeep of
// the voters and the reading of the platform's list.
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

	"hazelwheel/internal/decide/membership"
	"hazelwheel/internal/decide/register"
	"hazelwheel/internal/gossip"
	"hazelwheel/internal/nodeconfig"
	"hazelwheel/internal/transport"
)

// Error is the class of all errors of this package.
var Error = errs.Class("control")

const (
	// listEvery is the time between readings of the platform's list by the process whose turn it is, listLook how often the others look
	// whether it still reads. They do so themselves where the list is older than listStale, later by listStep for each rank.
	listReadInterval  = 900 * time.Millisecond
	listCheckInterval = 100 * time.Millisecond
	staleListAge      = 1500 * time.Millisecond
	listRankDelay     = 100 * time.Millisecond
	maxListRank       = 4 // ranks that are told apart
	// stopWithin bounds the end of calls that are under way at SIGTERM.
	shutdownTimeout = 2 * time.Second
	headerTimeout   = 3 * time.Second
	idleTimeout     = time.Minute
)

// Control is a control process.
type Control struct {
	settings *nodeconfig.Settings
	log      *logrus.Entry
	node     *gossip.Node
	replica  *replica
	proposer *proposer
	platform *gossip.PlatformClient
	chosen   *chosenTracker
}

// Run runs a control process until the context ends. reload tells that the settings file may have changed.
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

// run serves until the context ends.
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
	for _, task := range []func(context.Context){c.node.Run, c.runReconfiguration, c.runAntiEntropy, c.runCatchUp, c.runDiskScrub, c.runListReader, newStageController(c).run} {
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
		}
	}
}

func newControl(settings *nodeconfig.Settings, replica *replica, client *transport.Client, log *logrus.Entry) *Control {
	self := register.Voter{ID: replica.state().ID, Address: settings.InternalAddress(settings.IP, nodeconfig.ControlPort)}
	control := &Control{settings: settings, log: log, replica: replica, platform: gossip.NewPlatformClient(settings.Cloud.Address),
		chosen: newChosenTracker()}
	control.node = gossip.New(settings, membership.Record{Kind: membership.Control, Address: self.Address, VoterID: self.ID,
		OperatorAddress: settings.Listen.Control}, client, log)
	control.proposer = &proposer{self: self, proposerID: fmt.Sprintf("%s/%016x", settings.NodeID, rand.Uint64()), replica: replica, client: client,
		fetcher: newConfigFetcher(), linkMbps: settings.Limits.LinkMbps,
		gossipVoters: func() register.Value { facts, _ := control.node.State(); return facts.Voters },
		onChosen:     control.handleChosen}
	if state := replica.state(); state.Accepted == (register.Ballot{}) {
		control.node.MergeRegisterValue(state.Value) // the founders; what was accepted later may not have been chosen
	}
	return control
}

func (c *Control) internalRouter() http.Handler {
	router := mux.NewRouter()
	c.node.RegisterHandlers(router)
	router.HandleFunc(preparePath, transport.NewHandler(c.replica.handlePrepare)).Methods("POST")
	router.HandleFunc(acceptPath, transport.NewHandler(c.replica.handleAccept)).Methods("POST")
	router.HandleFunc(readPath, transport.NewHandler(c.replica.handleRead)).Methods("POST")
	router.HandleFunc(learnPath, transport.NewHandler(c.handleLearn)).Methods("POST")
	router.HandleFunc(configPath, transport.NewHandler(c.replica.handleConfigRequest)).Methods("POST")
	router.HandleFunc(statusPath, c.handleStatus).Methods("GET")
	return router
}

func (c *Control) operatorRouter() http.Handler {
	router := mux.NewRouter()
	router.HandleFunc("/config", c.handlePut).Methods("PUT")
	router.HandleFunc("/config", c.handlePatch).Methods("PATCH")
	router.HandleFunc("/config", c.handleGet).Methods("GET")
	return router
}

// learned takes a value that holds: its voters are told, and its configuration where others may lack it.
func (c *Control) handleChosen(value chosenValue) {
	c.node.MergeRegisterValue(value.Value)
	c.chosen.observe(value)
}
