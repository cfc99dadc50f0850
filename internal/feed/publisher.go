// Package feed streams engine views from controllers to gateways, and passes demand
// reports in the other direction.
package feed

import (
	"context"
	"sync"

	"github.com/pkg/errors"
	"google.golang.org/protobuf/proto"

	"fireflypier.example/fireflypier/internal/feed/feedpb"
)

// Publisher streams the views that a controller has collected to watchers. It
// implements feedpb.DRPCFeedServer. Its methods are safe for concurrent use, except
// SetDemandHandler.
type Publisher struct {
	feedpb.DRPCFeedUnimplementedServer

	mu       sync.Mutex
	views    map[string]*versioned
	version  int64
	leaving  map[string]bool
	changed  chan struct{}
	watchers int
	demand   func(context.Context, *feedpb.DemandReport) (*feedpb.DemandAnswer, error)
}

type versioned struct {
	version int64
	view    *feedpb.View
}

// NewPublisher returns a publisher without views.
func NewPublisher() *Publisher {
	return &Publisher{views: map[string]*versioned{}, changed: make(chan struct{})}
}

// Publish replaces the view of an engine and notifies all watchers. The publisher
// sets view.Leaving.
func (p *Publisher) Publish(view *feedpb.View) {
	p.mu.Lock()
	defer p.mu.Unlock()
	view.Leaving = p.leaving[view.GetTarget()]
	p.replace(view)
}

// replace stores a view and notifies all watchers. The caller must hold the mutex.
func (p *Publisher) replace(view *feedpb.View) {
	p.version++
	p.views[view.GetTarget()] = &versioned{version: p.version, view: view}
	close(p.changed)
	p.changed = make(chan struct{})
}

// SetLeaving sets the targets that accept no new work. The views of targets whose
// leaving state changes are sent at once; a target without a view, such as a plain
// service, gets one.
func (p *Publisher) SetLeaving(targets map[string]bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	before := p.leaving
	p.leaving = targets
	for target := range targets {
		if !before[target] {
			p.mark(target, true)
		}
	}
	for target := range before {
		if !targets[target] {
			p.mark(target, false)
		}
	}
}

// mark replaces the view of a target by a copy with the given leaving state. The
// caller must hold the mutex.
func (p *Publisher) mark(target string, leaving bool) {
	view := &feedpb.View{Target: target}
	if v, ok := p.views[target]; ok {
		proto.Merge(view, v.view)
	}
	view.Leaving = leaving
	p.replace(view)
}

// Remove deletes the view of an engine. Watchers are not notified.
func (p *Publisher) Remove(target string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	delete(p.views, target)
}

// SetDemandHandler sets the handler of the gateways' demand reports. It must be called
// before the publisher serves requests. Without a handler, reports are ignored.
func (p *Publisher) SetDemandHandler(f func(context.Context, *feedpb.DemandReport) (*feedpb.DemandAnswer, error)) {
	p.demand = f
}

// Demand implements feedpb.DRPCFeedServer.
func (p *Publisher) Demand(ctx context.Context, r *feedpb.DemandReport) (*feedpb.DemandAnswer, error) {
	if p.demand == nil {
		return &feedpb.DemandAnswer{}, nil
	}
	return p.demand(ctx, r)
}

// Watchers returns the number of open streams.
func (p *Publisher) Watchers() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.watchers
}

// Watch implements feedpb.DRPCFeedServer.
func (p *Publisher) Watch(req *feedpb.WatchRequest, stream feedpb.DRPCFeed_WatchStream) error {
	p.addWatchers(1)
	defer p.addWatchers(-1)
	wanted := make(map[string]bool, len(req.GetModels()))
	for _, model := range req.GetModels() {
		wanted[model] = true
	}
	var seen int64
	for {
		batch, version, changed := p.after(seen, wanted)
		if len(batch.GetViews()) > 0 {
			if err := stream.Send(batch); err != nil {
				return errors.Wrap(err, "send views")
			}
		}
		seen = version
		select {
		case <-changed:
		case <-stream.Context().Done():
			return nil
		}
	}
}

func (p *Publisher) addWatchers(n int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.watchers += n
}

// after returns the wanted views newer than the version seen, the current version, and
// a channel that is closed at the next change.
func (p *Publisher) after(seen int64, wanted map[string]bool) (*feedpb.Views, int64, <-chan struct{}) {
	p.mu.Lock()
	defer p.mu.Unlock()
	batch := &feedpb.Views{}
	for _, v := range p.views {
		if v.version > seen && isWanted(v.view, wanted) {
			batch.Views = append(batch.Views, v.view)
		}
	}
	return batch, p.version, p.changed
}

// isWanted reports whether a watcher of the given models receives a view. Views of
// unreachable engines are sent to all watchers.
func isWanted(view *feedpb.View, wanted map[string]bool) bool {
	if len(wanted) == 0 || !view.GetReachable() {
		return true
	}
	for _, w := range view.GetLoaded() {
		if wanted[w.GetName()] {
			return true
		}
	}
	return false
}
