// Package control hosts a control process: a replica of the configuration register, the operator's interface, the upkeep of
// the voters and the reading of the platform's list.
package control

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"time"

	"github.com/gorilla/mux"
	"github.com/sirupsen/logrus"
	"github.com/zeebo/errs"

	"hazelwheel/internal/boot"
	"hazelwheel/internal/cluster"
	"hazelwheel/internal/decide/membership"
	"hazelwheel/internal/decide/register"
	"hazelwheel/internal/routes"
	"hazelwheel/internal/transport"
)

// Error is the class of all errors of this package.
var Error = errs.Class("control")

const (
	// upkeepEvery is the time between looks at the voters.
	upkeepEvery = 300 * time.Millisecond
	// scrubEvery is the time between reads that find voters that are behind; scrubSoon holds until the first one succeeds.
	scrubEvery = 2 * time.Second
	scrubSoon  = 60 * time.Millisecond
	// listEvery is the time between readings of the platform's list by one process.
	listEvery = time.Second
	// stopWithin bounds the end of calls that are under way at SIGTERM.
	stopWithin    = 2 * time.Second
	headerTimeout = 3 * time.Second
	idleTimeout   = time.Minute
)

// Control is a control process.
type Control struct {
	settings  *boot.Settings
	log       *logrus.Entry
	node      *cluster.Node
	replica   *replica
	registrar *registrar
	platform  *cluster.Platform
}

// Run runs a control process until the context ends. reload tells that the settings file may have changed.
func Run(ctx context.Context, settings *boot.Settings, reload <-chan *boot.Settings, log *logrus.Entry) error {
	opened, err := openReplica(settings, log)
	if err != nil {
		return err
	}
	if err := opened.begin(ctx); err != nil {
		return err
	}
	c := newControl(settings, opened, log)
	internal, err := listen(settings.Internal(settings.IP, boot.ControlPort))
	if err != nil {
		return err
	}
	operator, err := listen(settings.Listen.Control)
	if err != nil {
		return err
	}
	servers := []*http.Server{serve(internal, c.internalRouter()), serve(operator, c.operatorRouter())}
	work, stop := context.WithCancel(context.Background())
	defer stop()
	go c.node.Run(work)
	go c.upkeep(work)
	go c.scrub(work)
	go c.readLists(work)
	go newStageKeeper(c).run(work)
	for {
		select {
		case <-ctx.Done():
			c.node.Leave()
			return shutdown(servers)
		case changed := <-reload:
			c.node.SetSeeds(changed.SeedAddresses())
		}
	}
}

func newControl(settings *boot.Settings, opened *replica, log *logrus.Entry) *Control {
	client := transport.NewClient()
	own := register.Voter{ID: opened.state().ID, Address: settings.Internal(settings.IP, boot.ControlPort)}
	c := &Control{settings: settings, log: log, replica: opened, platform: cluster.NewPlatform(settings.Cloud.Address)}
	c.node = cluster.New(settings, membership.Record{Kind: membership.Control, Address: own.Address, Voter: own.ID,
		Operator: settings.Listen.Control}, client, log)
	c.registrar = &registrar{self: own, ballots: fmt.Sprintf("%s/%016x", settings.NodeID, rand.Uint64()), local: opened, client: client,
		voters:  func() register.Value { facts, _ := c.node.Facts(); return facts.Voters },
		learned: c.learned}
	c.node.SetVoters(opened.state().Value)
	return c
}

func listen(address string) (net.Listener, error) {
	listener, err := net.Listen("tcp4", address)
	return listener, Error.Wrap(err)
}

func serve(listener net.Listener, handler http.Handler) *http.Server {
	server := &http.Server{Handler: handler, ReadHeaderTimeout: headerTimeout, IdleTimeout: idleTimeout}
	go func() {
		if err := server.Serve(listener); err != nil && err != http.ErrServerClosed {
			logrus.WithError(err).Error("serving ended")
			os.Exit(1)
		}
	}()
	return server
}

func shutdown(servers []*http.Server) error {
	ctx, cancel := context.WithTimeout(context.Background(), stopWithin)
	defer cancel()
	var failed errs.Group
	for _, server := range servers {
		failed.Add(server.Shutdown(ctx))
	}
	return failed.Err()
}

func (c *Control) internalRouter() http.Handler {
	router := mux.NewRouter()
	c.node.Register(router)
	router.HandleFunc(preparePath, transport.Handle(c.replica.prepare)).Methods("POST")
	router.HandleFunc(acceptPath, transport.Handle(c.replica.accept)).Methods("POST")
	router.HandleFunc(readPath, transport.Handle(c.replica.read)).Methods("POST")
	router.HandleFunc(configPath, transport.Handle(c.replica.serveConfig)).Methods("POST")
	return router
}

func (c *Control) operatorRouter() http.Handler {
	router := mux.NewRouter()
	router.HandleFunc("/config", c.putConfig).Methods("PUT")
	router.HandleFunc("/config", c.getConfig).Methods("GET")
	return router
}

// learned takes a value that holds: its voters, and its configuration where others may lack it.
func (c *Control) learned(value register.Value) {
	c.node.SetVoters(value)
	facts, _ := c.node.Facts()
	if value.Version == 0 || facts.Table != nil && facts.Table.Version >= value.Version {
		return
	}
	go c.spread(value)
}

// spread fetches the configuration of a value that holds, and has it carried to all.
func (c *Control) spread(value register.Value) {
	ctx, cancel := context.WithTimeout(context.Background(), readWithin)
	defer cancel()
	data, err := c.registrar.Config(ctx, value)
	if err != nil {
		c.log.WithError(err).Warn("configuration not found")
		return
	}
	table, err := routes.Parse(data)
	if err != nil {
		c.log.WithError(err).Error("the configuration that holds can't be read")
		return
	}
	c.node.SetTable(table)
}

// scrub reads the register now and then. A read that finds voters behind makes them agree.
func (c *Control) scrub(ctx context.Context) {
	pause := scrubSoon / 6
	for wait(ctx, pause) == nil {
		readCtx, cancel := context.WithTimeout(ctx, readWithin)
		value, err := c.registrar.Read(readCtx)
		cancel()
		pause = scrubEvery
		if err != nil {
			pause = scrubSoon
			continue
		}
		c.repair(ctx, value)
	}
}

// repair brings the own disk up to date where it votes and is behind.
func (c *Control) repair(ctx context.Context, value register.Value) {
	own := c.replica.state()
	if own.Value.Version == value.Version && own.Value.Epoch == value.Epoch {
		return
	}
	for _, voter := range value.Voters {
		if voter.ID == own.ID {
			repairCtx, cancel := context.WithTimeout(ctx, readWithin)
			_, _, err := c.registrar.Change(repairCtx, register.Keep, nil)
			cancel()
			if err != nil {
				c.log.WithError(err).Debug("repair failed")
			}
		}
	}
}

// upkeep has lost voters replaced. The first live voter by name does it, so that proposals don't meet.
func (c *Control) upkeep(ctx context.Context) {
	for wait(ctx, upkeepEvery) == nil {
		facts, _ := c.node.Facts()
		if len(facts.Voters.Voters) == 0 || !c.leads(facts.Voters) {
			continue
		}
		change := c.votersChange(facts.Voters)
		if change == nil {
			continue
		}
		changeCtx, cancel := context.WithTimeout(ctx, changeWithin)
		value, outcome, err := c.registrar.Change(changeCtx, change, nil)
		cancel()
		c.log.WithField("epoch", value.Epoch).WithField("voters", len(value.Voters)).WithField("outcome", outcome).WithError(err).Info("voters")
	}
}

// leads tells whether this process is the first by name of the control processes that vote and live.
func (c *Control) leads(value register.Value) bool {
	for _, member := range c.node.Members() {
		if member.Kind != membership.Control || !member.Alive || member.Leaving {
			continue
		}
		for _, voter := range value.Everyone() {
			if voter.ID == member.Voter {
				return member.Voter == c.registrar.self.ID
			}
		}
	}
	return false
}

// votersChange returns the change that the voters need, nil if they need none.
func (c *Control) votersChange(value register.Value) register.Change {
	if len(value.Previous) > 0 {
		return register.Settle
	}
	var candidates []register.Candidate
	for _, member := range c.node.Members() {
		if member.Kind == membership.Control && member.Voter != "" {
			voter := register.Voter{ID: member.Voter, Address: member.Address}
			candidates = append(candidates, register.Candidate{Voter: voter, Alive: member.Alive})
		}
	}
	next, changed := register.Membership(value.Voters, candidates, 2*c.settings.FaultTolerance.Machines+1)
	if !changed {
		return nil
	}
	return register.Reconfigure(value.Epoch, next)
}

// readLists reads the platform's list. Processes read out of step with one another.
func (c *Control) readLists(ctx context.Context) {
	pause := rand.N(listEvery / 4)
	for wait(ctx, pause) == nil {
		began := time.Now()
		instances, err := c.platform.Read(ctx)
		if err == nil {
			c.node.SetList(instances, began)
		} else {
			c.log.WithError(err).Debug("the list was not read")
		}
		pause = max(listEvery-time.Since(began), listEvery/4)
	}
}
