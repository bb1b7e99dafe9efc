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

// reloadableSettings are the settings that a reload replaces as a whole; a value is immutable.
type reloadableSettings struct {
	service       string
	target        *url.URL
	grace         time.Duration
	slowThreshold time.Duration
	logLevel      logrus.Level
}

func newReloadableSettings(s Settings) *reloadableSettings {
	return &reloadableSettings{service: s.Service, target: s.Target, grace: s.Grace, slowThreshold: s.SlowThreshold, logLevel: s.Log}
}

// currentSettings returns the settings in force; any goroutine may call it.
func (n *Node) currentSettings() *reloadableSettings {
	if r := n.reloaded.Load(); r != nil {
		return r
	}
	return newReloadableSettings(n.settings)
}

// fileCheckInterval is how often a settings file is checked for a change without a signal. A change of the target must be
// known before requests for another service arrive at its address, 2 s after the target ended.
const fileCheckInterval = 500 * time.Millisecond

// RunReloading is Run that also reads the settings again at each SIGHUP and whenever changed returns true; changed may be nil.
func (n *Node) RunReloading(ctx context.Context, read func() (Settings, error), changed func() bool) error {
	hangups := make(chan os.Signal, 1)
	signal.Notify(hangups, syscall.SIGHUP)
	defer signal.Stop(hangups)
	if changed != nil {
		subscription := n.clock.Subscribe(fileCheckInterval, func(time.Time) {
			if changed() {
				n.reloadSettings(read)
			}
		})
		defer subscription.Close()
	}
	var wg sync.WaitGroup
	defer wg.Wait()
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	wg.Go(func() {
		for {
			select {
			case <-ctx.Done():
				return
			case <-hangups:
				n.reloadSettings(read)
			}
		}
	})
	return n.Run(ctx)
}

func (n *Node) reloadSettings(read func() (Settings, error)) {
	s, err := read()
	if err != nil {
		n.journal.Error("settings could not be reloaded; the earlier ones stay in force", journal.Cause(err))
		return
	}
	n.Reload(s)
}

// Reload reads the certificates again and applies the settings that reloadableSettings holds. The others take effect at the
// next start.
func (n *Node) Reload(s Settings) {
	if n.identity != nil {
		n.reloadIdentity()
	}
	old, next := n.currentSettings(), newReloadableSettings(s)
	n.reloaded.Store(next)
	n.journal.SetLevel(next.logLevel)
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
