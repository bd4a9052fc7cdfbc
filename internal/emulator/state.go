// Package emulator stands in for the outside of a deployment on loopback, from its published
// protocol: the state service, the cloud, workers and users. It serves tests and the
// measurements under tools/.
package emulator

import (
	"net"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/valyala/fasthttp"

	"gingertally/internal/codec"
	"gingertally/internal/wire"
)

// StateService is a state service in memory.
type StateService struct {
	mu       sync.Mutex
	revision uint64
	nextHold uint64
	items    map[string]wire.StoreItem
	leases   map[uint64]*lease
	news     []wire.NewsEvent
	changed  chan struct{} // closed at the next change
}

// lease is one lease with its length.
type lease struct {
	until time.Time
	life  time.Duration
}

// keptNews is how many changes watches may look back.
const keptNews = 10_000

// leaseCheck is how often ended leases are looked for.
const leaseCheck = 20 * time.Millisecond

// NewStateService makes an empty state service; stop ends its timer.
func NewStateService(stop <-chan struct{}) *StateService {
	s := &StateService{items: map[string]wire.StoreItem{}, leases: map[uint64]*lease{}, changed: make(chan struct{})}
	go s.expireLeases(stop)
	return s
}

func (s *StateService) expireLeases(stop <-chan struct{}) {
	ticker := time.NewTicker(leaseCheck)
	defer ticker.Stop()
	for {
		select {
		case <-stop:
			return
		case now := <-ticker.C:
			s.mu.Lock()
			for hold, l := range s.leases {
				if now.After(l.until) {
					s.endLease(hold)
				}
			}
			s.mu.Unlock()
		}
	}
}

func (s *StateService) endLease(hold uint64) {
	delete(s.leases, hold)
	for key, item := range s.items {
		if item.Hold == hold {
			s.apply([]wire.Change{{Drop: key}})
		}
	}
}

// apply makes changes under one revision, and wakes the watches.
func (s *StateService) apply(changes []wire.Change) {
	s.revision++
	for _, c := range changes {
		if c.Drop != "" {
			delete(s.items, c.Drop)
		} else {
			s.items[c.Put] = wire.StoreItem{Path: c.Put, V: c.V, Stamp: s.revision, Hold: c.Hold}
		}
		s.news = append(s.news, wire.NewsEvent{Put: c.Put, V: c.V, Drop: c.Drop, Stamp: s.revision})
	}
	if excess := len(s.news) - 2*keptNews; excess > 0 {
		s.news = slices.Clone(s.news[len(s.news)-keptNews:])
	}
	close(s.changed)
	s.changed = make(chan struct{})
}

// Item returns a key's value.
func (s *StateService) Item(key string) (wire.StoreItem, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	item, ok := s.items[key]
	return item, ok
}

// Handle serves a request.
func (s *StateService) Handle(request *fasthttp.RequestCtx) {
	path := string(request.Path())
	if path == "/follow" {
		s.follow(request)
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	switch key, isKey := strings.CutPrefix(path, "/store/"); {
	case isKey:
		if item, ok := s.items[key]; ok {
			reply(request, fasthttp.StatusOK, item)
		} else {
			reply(request, fasthttp.StatusNotFound, wire.CommitResult{Ledger: s.revision})
		}
	case path == "/store":
		s.list(request)
	case path == "/commit":
		s.commit(request)
	case path == "/leases":
		s.grant(request)
	default:
		s.changeLease(request, strings.TrimPrefix(path, "/leases/"))
	}
}

func (s *StateService) list(request *fasthttp.RequestCtx) {
	prefix, since := string(request.QueryArgs().Peek("starts")), string(request.QueryArgs().Peek("since"))
	most := request.QueryArgs().GetUintOrZero("most")
	var keys []string
	for key := range s.items {
		if strings.HasPrefix(key, prefix) && key > since {
			keys = append(keys, key)
		}
	}
	slices.Sort(keys)
	page := wire.StorePage{Ledger: s.revision, HasNext: len(keys) > most}
	for _, key := range keys[:min(most, len(keys))] {
		page.Rows = append(page.Rows, s.items[key])
	}
	reply(request, fasthttp.StatusOK, page)
}

func (s *StateService) commit(request *fasthttp.RequestCtx) {
	var commit wire.Commit
	if codec.Unmarshal(request.PostBody(), &commit) != nil {
		request.SetStatusCode(fasthttp.StatusBadRequest)
		return
	}
	for _, c := range commit.Apply {
		if c.Hold != 0 && s.leases[c.Hold] == nil {
			request.SetStatusCode(fasthttp.StatusBadRequest)
			return
		}
	}
	result := wire.CommitResult{Ledger: s.revision}
	for _, condition := range commit.If {
		if s.items[condition.Path].Stamp != condition.Stamp {
			result.Failed = append(result.Failed, condition.Path)
		}
	}
	if result.Failed != nil {
		reply(request, fasthttp.StatusConflict, result)
		return
	}
	if len(commit.Apply) > 0 {
		s.apply(slices.Clone(commit.Apply))
	}
	result.Ledger = s.revision
	reply(request, fasthttp.StatusOK, result)
}

func (s *StateService) grant(request *fasthttp.RequestCtx) {
	var asked wire.LeaseRequest
	if codec.Unmarshal(request.PostBody(), &asked) != nil {
		request.SetStatusCode(fasthttp.StatusBadRequest)
		return
	}
	s.nextHold++
	life := time.Duration(asked.LifeMS) * time.Millisecond
	s.leases[s.nextHold] = &lease{until: time.Now().Add(life), life: life}
	reply(request, fasthttp.StatusOK, wire.LeaseGrant{Hold: s.nextHold})
}

// changeLease renews a lease, or ends it.
func (s *StateService) changeLease(request *fasthttp.RequestCtx, path string) {
	number, renews := strings.CutSuffix(path, "/touch")
	hold, err := strconv.ParseUint(number, 10, 64)
	l := s.leases[hold]
	switch {
	case err != nil || l == nil || time.Now().After(l.until):
		request.SetStatusCode(fasthttp.StatusNotFound)
	case renews:
		l.until = time.Now().Add(l.life)
	default:
		s.endLease(hold)
	}
}

func (s *StateService) follow(request *fasthttp.RequestCtx) {
	prefix := string(request.QueryArgs().Peek("starts"))
	since, err := strconv.ParseUint(string(request.QueryArgs().Peek("since")), 10, 64)
	if err != nil {
		request.SetStatusCode(fasthttp.StatusBadRequest)
		return
	}
	end := time.After(time.Duration(request.QueryArgs().GetUintOrZero("block_ms")) * time.Millisecond)
	for {
		news, changed, ok := s.newsSince(prefix, since)
		if !ok {
			request.SetStatusCode(fasthttp.StatusGone)
			return
		}
		if len(news.News) > 0 {
			reply(request, fasthttp.StatusOK, news)
			return
		}
		select {
		case <-changed:
		case <-end:
			reply(request, fasthttp.StatusOK, news)
			return
		}
	}
}

// newsSince is what has changed under a prefix; false if that isn't kept any more.
func (s *StateService) newsSince(prefix string, since uint64) (wire.News, <-chan struct{}, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	news := wire.News{Ledger: s.revision}
	if len(s.news) > 0 && since+1 < s.news[0].Stamp && len(s.news) >= keptNews {
		return news, nil, false
	}
	first, _ := slices.BinarySearchFunc(s.news, since+1, func(e wire.NewsEvent, stamp uint64) int {
		return int(e.Stamp) - int(stamp)
	})
	for _, event := range s.news[first:] {
		if strings.HasPrefix(event.Put+event.Drop, prefix) {
			news.News = append(news.News, event)
		}
	}
	return news, s.changed, true
}

// reply writes a message with a status.
func reply(request *fasthttp.RequestCtx, status int, message any) {
	request.SetStatusCode(status)
	request.SetBody(codec.MustMarshal(message))
}

// Serve serves a handler on a loopback address until stop, and returns the address.
func Serve(handler fasthttp.RequestHandler, stop <-chan struct{}) (string, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", err
	}
	server := &fasthttp.Server{Handler: handler, NoDefaultServerHeader: true}
	go func() { _ = server.Serve(listener) }() // ends with the listener
	go func() {
		<-stop
		_ = listener.Close()
	}()
	return listener.Addr().String(), nil
}
