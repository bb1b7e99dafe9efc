package daemon

import (
	"context"
	"net/url"
	"os"
	"os/signal"
	"sync"
	"syscall"
	"time"

	"github.com/sirupsen/logrus"

	"verbenapin.dev/node/journal"
)

// reloadable are the settings that may change while a node runs; they never change themselves.
type reloadable struct {
	service string
	target  *url.URL
	grace   time.Duration
	slow    time.Duration
	log     logrus.Level
}

func newReloadable(s Settings) *reloadable {
	return &reloadable{service: s.Service, target: s.Target, grace: s.Grace, slow: s.SlowThreshold, log: s.Log}
}

// live returns the settings in force; any goroutine may call it.
func (n *Node) live() *reloadable {
	if r := n.reloaded.Load(); r != nil {
		return r
	}
	return newReloadable(n.settings)
}

// changedEvery is the period in which a settings file is checked for a change that no signal tells of. A change of the
// target has to be known before requests for another service arrive at its address, 2 s after the target ended.
const changedEvery = 500 * time.Millisecond

// RunReloading is Run with the settings read again at each SIGHUP and whenever changed returns true; nil for never.
func (n *Node) RunReloading(ctx context.Context, read func() (Settings, error), changed func() bool) error {
	hangups := make(chan os.Signal, 1)
	signal.Notify(hangups, syscall.SIGHUP)
	defer signal.Stop(hangups)
	if changed != nil {
		polling := n.clock.Subscribe(changedEvery, func(time.Time) {
			if changed() {
				n.reloadFrom(read)
			}
		})
		defer polling.Close()
	}
	var watching sync.WaitGroup
	defer watching.Wait()
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	watching.Go(func() {
		for {
			select {
			case <-ctx.Done():
				return
			case <-hangups:
				n.reloadFrom(read)
			}
		}
	})
	return n.Run(ctx)
}

func (n *Node) reloadFrom(read func() (Settings, error)) {
	s, err := read()
	if err != nil {
		n.journal.Error("settings could not be reloaded; the earlier ones stay in force", journal.Cause(err))
		return
	}
	n.Reload(s)
}

// Reload adopts new settings. Those of listeners, of the node's place and of its certificates' files need a new process.
func (n *Node) Reload(s Settings) {
	if n.identity != nil {
		n.reloadIdentity()
	}
	old, next := n.live(), newReloadable(s)
	n.reloaded.Store(next)
	n.journal.SetLevel(next.log)
	if *old.target != *next.target {
		n.transport.SetBase(next.target)
	}
	if s.Name != n.settings.Name || s.Domain != n.settings.Domain || s.Caller != n.settings.Caller || s.Ready != n.settings.Ready {
		n.journal.Warn("some changed settings take effect at the next start of the process")
	}
	n.journal.Info("settings reloaded", journal.Service(next.service))
}

// reloadIdentity reads the certificates again.
func (n *Node) reloadIdentity() {
	if err := n.identity.Reload(); err != nil {
		n.journal.Error("certificates could not be read again; the earlier ones stay in use", journal.Cause(err))
	}
}
