// Package feed carries engine views from controllers to gateways.
package feed

import (
	"context"
	"sync"

	"github.com/pkg/errors"
	"google.golang.org/protobuf/proto"

	"fireflypier.example/fireflypier/internal/feed/feedpb"
)

// Publisher serves the views that a controller has collected. It implements
// feedpb.DRPCFeedServer.
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

// Publish replaces the view of an engine and tells every watcher.
func (p *Publisher) Publish(view *feedpb.View) {
	p.mu.Lock()
	defer p.mu.Unlock()
	view.Leaving = p.leaving[view.GetTarget()]
	p.replace(view)
}

// replace stores a view and tells every watcher. The mutex is held.
func (p *Publisher) replace(view *feedpb.View) {
	p.version++
	p.views[view.GetTarget()] = &versioned{version: p.version, view: view}
	close(p.changed)
	p.changed = make(chan struct{})
}

// SetLeaving names the targets that take no new work; the views of targets
// that begin or cease to leave are sent at once. A target without a view of
// its own, such as a plain service, is given one.
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

// mark replaces the view of a target by one that leaves or not. The mutex is
// held.
func (p *Publisher) mark(target string, leaving bool) {
	view := &feedpb.View{Target: target}
	if v, ok := p.views[target]; ok {
		proto.Merge(view, v.view)
	}
	view.Leaving = leaving
	p.replace(view)
}

// Remove forgets the view of an engine.
func (p *Publisher) Remove(target string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	delete(p.views, target)
}

// SetDemandHandler makes f receive the gateways' demand reports. Call it before
// serving.
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

// Watchers returns the number of streams.
func (p *Publisher) Watchers() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.watchers
}

// Watch implements feedpb.DRPCFeedServer.
func (p *Publisher) Watch(req *feedpb.WatchRequest, stream feedpb.DRPCFeed_WatchStream) error {
	p.watch(1)
	defer p.watch(-1)
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

func (p *Publisher) watch(n int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.watchers += n
}

// after returns the wanted views newer than a version.
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
