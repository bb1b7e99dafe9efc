package config

import (
	"context"
	"crypto/sha256"
	"errors"
	"fmt"
	"runtime/debug"
	"time"
)

// ConflictError reports a manifest that differs from the known one with the same version number.
type ConflictError struct {
	Version int64
	From    string
	Digest  Digest
}

func (e ConflictError) Error() string {
	return fmt.Sprintf("config: manifest %s for version %d from %s differs from the known one, which is kept", e.Digest, e.Version, e.From)
}

func (c *Store) readService(now time.Time, home bool) {
	etag, wait := c.etag, time.Duration(0)
	if home {
		wait = homePollWait
	}
	c.calls.Go(func() {
		m, tag, changed, err := c.settings.ReadManifest(c.ctx, etag, wait)
		c.post(func(done time.Time) {
			pause := time.Duration(0)
			if !home {
				pause = readInterval/2 + time.Duration(c.settings.Random(int(readInterval)))
			}
			c.schedule.Done(done, pause, err != nil)
			if err != nil {
				c.reportError("reading the manifest", err)
				return
			}
			if changed {
				c.etag, c.lastAnswer = tag, serviceAnswer{version: m.Version, digest: m.Digest()}
				c.handleOffer(done, "", "the configuration service", m)
			}
			v := c.Snapshot().WithServiceAnswer(now, c.lastAnswer.version, c.lastAnswer.digest)
			c.state.Store(&v)
		})
	})
}

// fetchManifest fetches a manifest that a heartbeat mentioned and handles it as an offer.
func (c *Store) fetchManifest(addr, name string, d Digest) {
	c.fetchingManifest = true
	c.calls.Go(func() {
		ctx, cancel := context.WithTimeout(c.ctx, fetchTimeout)
		defer cancel()
		data, err := c.settings.Fetch(ctx, addr, d)
		var m Manifest
		if err == nil {
			m, err = ParseManifest(data)
		}
		c.post(func(now time.Time) {
			c.fetchingManifest = false
			if err != nil {
				c.reportError("fetching a manifest", err)
				return
			}
			c.handleOffer(now, addr, name, m)
		})
	})
}

func (c *Store) handleOffer(now time.Time, addr, name string, m Manifest) {
	v, status := c.Snapshot().WithOffer(m)
	c.state.Store(&v)
	switch status {
	case OfferFetch:
		c.pendingSource = addr
		c.fetchParts(now)
	case OfferConflict:
		c.reportError("offer", ConflictError{Version: m.Version, From: name, Digest: m.Digest()})
	}
}

// fetchParts starts to fetch the parts of the pending version unless a fetch is already running.
func (c *Store) fetchParts(now time.Time) {
	m := c.Snapshot().Pending()
	if c.fetching || m.Version == 0 {
		return
	}
	c.fetching = true
	have := map[Digest][]byte{}
	for _, d := range m.Digests() {
		if data, ok := c.parts[d]; ok {
			have[d] = data
		}
	}
	sources := []string{c.pendingSource}
	for _, i := range c.settings.View().Pick(now, maxSources-1, c.settings.Name, c.settings.Random) {
		sources = append(sources, i.ControlAddr)
	}
	if c.pendingSource != "" && c.settings.ReadPart != nil && c.Snapshot().IsHome() {
		sources = append(sources, "")
	}
	c.calls.Go(func() {
		err := c.collectParts(m, have, sources)
		var t Tree
		if err == nil {
			t, err = Build(m, have)
			// Parsing 5,000 accounts allocates 136 MB; without this call an idle node keeps the freed memory resident.
			debug.FreeOSMemory()
		}
		c.post(func(now time.Time) { c.finishFetch(now, m, have, t, err) })
	})
}

// MissingPartError reports a part that could not be fetched from any source.
type MissingPartError struct{ Digest Digest }

func (e MissingPartError) Error() string { return "config: no source has part " + e.Digest.String() }

func (c *Store) collectParts(m Manifest, have map[Digest][]byte, sources []string) error {
	for _, d := range m.Digests() {
		if _, ok := have[d]; ok {
			continue
		}
		data, err := c.fetchPart(d, sources)
		if err != nil {
			return err
		}
		have[d] = data
	}
	return nil
}

func (c *Store) fetchPart(d Digest, sources []string) ([]byte, error) {
	failures := []error{MissingPartError{Digest: d}}
	for _, addr := range sources {
		data, err := c.fetchPartFrom(addr, d)
		if err == nil && len(data) <= MaxPart && Digest(sha256.Sum256(data)) == d {
			return data, nil
		}
		failures = append(failures, err)
	}
	return nil, errors.Join(failures...)
}

func (c *Store) fetchPartFrom(addr string, d Digest) ([]byte, error) {
	ctx, cancel := context.WithTimeout(c.ctx, fetchTimeout)
	defer cancel()
	if addr == "" {
		return c.settings.ReadPart(ctx, d)
	}
	return c.settings.Fetch(ctx, addr, d)
}

func (c *Store) finishFetch(now time.Time, m Manifest, parts map[Digest][]byte, t Tree, err error) {
	c.fetching = false
	before := c.Snapshot()
	var invalid ParseError
	switch {
	case err == nil:
		v := before.WithTree(m, t)
		c.state.Store(&v)
		c.rejection.Store(nil)
		if v.Version() > before.Version() {
			c.parts = parts
			c.notifyChange(now, t)
			c.offerToPeers(now)
		}
	case errors.As(err, &invalid):
		v := before.WithRejected(m)
		c.state.Store(&v)
		c.rejection.Store(&Rejection{Version: m.Version, Reason: err.Error()})
		c.reportError("building a version", err)
	default:
		v := before.WithoutPending(m)
		c.state.Store(&v)
		// Without the etag the next read offers the version again, for example once all its parts are published.
		c.etag = ""
		c.schedule.Postpone(now, retryDelay)
		c.reportError("fetching a version", err)
	}
	c.fetchParts(now)
}

// offerToPeers offers the held version to random peers, each of which does the same once it holds the version.
func (c *Store) offerToPeers(now time.Time) {
	m := c.Snapshot().Manifest()
	for _, peer := range c.settings.View().Pick(now, fanout, c.settings.Name, c.settings.Random) {
		c.calls.Go(func() {
			ctx, cancel := context.WithTimeout(c.ctx, offerTimeout)
			defer cancel()
			if _, err := c.settings.Offer(ctx, peer.ControlAddr, c.settings.Name, m); err != nil {
				c.reportError("offering a version", err)
			}
		})
	}
}
