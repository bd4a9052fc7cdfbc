package standin

import (
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"

	"gingertally/internal/codec"
	"gingertally/internal/wire"
)

// StateLimits are the limits of the state service, as in the controllers' settings.
type StateLimits struct {
	RPS, WriteRPS, ValueKB float64
	TxnOps                 int
}

type stored struct {
	value codec.RawMessage
	stamp uint64
	hold  uint64
}

type stateLease struct {
	life   time.Duration
	expiry time.Time
}

type stateEvent struct {
	put   string
	value codec.RawMessage
	drop  string
	stamp uint64
}

// State is a stand-in for the state service (PROTOCOL: Controller nodes -> state service). Each
// controller reaches it at an address of its own, so that a single one can be refused.
type State struct {
	limits  StateLimits
	latency time.Duration

	mu       sync.Mutex
	ledger   uint64
	lastHold uint64
	keys     map[string]stored
	leases   map[uint64]*stateLease
	events   []stateEvent
	changed  chan struct{}
	refused  map[string]bool // by controller
	tokens   float64
	writes   float64
	refilled time.Time
	Refusals int // answers with status 429
}

const keptEvents = 10_000

func newState(limits StateLimits, latency time.Duration, stop <-chan struct{}) *State {
	s := &State{
		limits: limits, latency: latency, keys: map[string]stored{}, leases: map[uint64]*stateLease{},
		changed: make(chan struct{}), refused: map[string]bool{}, tokens: limits.RPS, writes: limits.WriteRPS,
		refilled: time.Now(),
	}
	go func() {
		for {
			select {
			case <-stop:
				return
			case <-time.After(20 * time.Millisecond):
			}
			s.mu.Lock()
			now := time.Now()
			for hold, lease := range s.leases {
				if now.After(lease.expiry) {
					s.endLease(hold)
				}
			}
			s.mu.Unlock()
		}
	}()
	return s
}

// Refuse sets whether the service answers one controller with 503.
func (s *State) Refuse(controller string, on bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.refused[controller] = on
}

func (s *State) isRefused(controller string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.refused[controller]
}

func (s *State) endLease(hold uint64) {
	delete(s.leases, hold)
	for key, item := range s.keys {
		if item.hold == hold {
			s.apply([]wire.Change{{Drop: key}})
		}
	}
}

func (s *State) apply(changes []wire.Change) {
	s.ledger++
	for _, c := range changes {
		if c.Drop != "" {
			if _, found := s.keys[c.Drop]; !found {
				continue
			}
			delete(s.keys, c.Drop)
			s.events = append(s.events, stateEvent{drop: c.Drop, stamp: s.ledger})
			continue
		}
		s.keys[c.Put] = stored{slices.Clone(c.V), s.ledger, c.Hold}
		s.events = append(s.events, stateEvent{put: c.Put, value: slices.Clone(c.V), stamp: s.ledger})
	}
	if len(s.events) > 2*keptEvents {
		s.events = slices.Clone(s.events[len(s.events)-keptEvents:])
	}
	close(s.changed)
	s.changed = make(chan struct{})
}

// allow takes a request and a number of writes from the rates. The caller holds mu.
func (s *State) allow(writes int) bool {
	now := time.Now()
	passed := now.Sub(s.refilled).Seconds()
	s.refilled = now
	s.tokens = min(s.limits.RPS, s.tokens+passed*s.limits.RPS)
	s.writes = min(s.limits.WriteRPS, s.writes+passed*s.limits.WriteRPS)
	if s.tokens < 1 || s.writes < float64(writes) {
		s.Refusals++
		return false
	}
	s.tokens--
	s.writes -= float64(writes)
	return true
}

func answer(w http.ResponseWriter, status int, message any) {
	w.Header().Set("Content-Type", "application/cbor")
	body := codec.MustMarshal(message)
	w.Header().Set("Content-Length", strconv.Itoa(len(body)))
	w.WriteHeader(status)
	_, _ = w.Write(body)
}

func (s *State) handler(controller string) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		body, err := io.ReadAll(r.Body)
		if err != nil {
			return
		}
		time.Sleep(s.latency)
		if rand.IntN(50) == 0 {
			time.Sleep(200*time.Millisecond + rand.N(200*time.Millisecond)) // occasionally a few hundred
		}
		if s.isRefused(controller) {
			answer(w, http.StatusServiceUnavailable, wire.ErrorMessage{Error: "unavailable"})
			return
		}
		if r.URL.Path == wire.WatchPath {
			s.follow(w, r, controller)
			return
		}
		s.mu.Lock()
		defer s.mu.Unlock()
		s.serve(w, r, body)
	})
}

func (s *State) serve(w http.ResponseWriter, r *http.Request, body []byte) {
	path := r.URL.Path
	if path == wire.CommitPath {
		s.commit(w, body)
		return
	}
	if !s.allow(0) {
		answer(w, http.StatusTooManyRequests, wire.ErrorMessage{Error: "rate"})
		return
	}
	if key, isKey := strings.CutPrefix(path, wire.StorePath+"/"); isKey {
		item, found := s.keys[key]
		if !found {
			answer(w, http.StatusNotFound, map[string]any{"ledger": s.ledger})
			return
		}
		answer(w, http.StatusOK, wire.StoreItem{Path: key, V: item.value, Stamp: item.stamp, Hold: item.hold})
		return
	}
	if path == wire.StorePath {
		s.list(w, r)
		return
	}
	s.lease(w, r, path, body)
}

func (s *State) list(w http.ResponseWriter, r *http.Request) {
	prefix, since := r.URL.Query().Get("starts"), r.URL.Query().Get("since")
	most, _ := strconv.Atoi(r.URL.Query().Get("most"))
	if most <= 0 || most > 1000 {
		most = 1000
	}
	var keys []string
	for key := range s.keys {
		if strings.HasPrefix(key, prefix) && key > since {
			keys = append(keys, key)
		}
	}
	slices.Sort(keys)
	page := wire.StorePage{Ledger: s.ledger, HasNext: len(keys) > most}
	for _, key := range keys[:min(most, len(keys))] {
		item := s.keys[key]
		page.Rows = append(page.Rows, wire.StoreItem{Path: key, V: item.value, Stamp: item.stamp, Hold: item.hold})
	}
	answer(w, http.StatusOK, page)
}

func (s *State) commit(w http.ResponseWriter, body []byte) {
	var message wire.Commit
	if codec.Unmarshal(body, &message) != nil {
		answer(w, http.StatusBadRequest, wire.ErrorMessage{Error: "malformed"})
		return
	}
	if !s.allow(len(message.Apply)) {
		answer(w, http.StatusTooManyRequests, wire.ErrorMessage{Error: "rate"})
		return
	}
	if problem := s.problem(message); problem != "" {
		answer(w, http.StatusBadRequest, wire.ErrorMessage{Error: problem})
		return
	}
	result := wire.CommitResult{Ledger: s.ledger}
	for _, condition := range message.If {
		if s.keys[condition.Path].stamp != condition.Stamp {
			result.Failed = append(result.Failed, condition.Path)
		}
	}
	if len(result.Failed) > 0 {
		answer(w, http.StatusConflict, result)
		return
	}
	if len(message.Apply) > 0 {
		s.apply(message.Apply)
	}
	answer(w, http.StatusOK, map[string]any{"ledger": s.ledger})
}

func (s *State) problem(message wire.Commit) string {
	if len(message.Apply) > s.limits.TxnOps || len(message.If) > 4*s.limits.TxnOps {
		return "transaction too large"
	}
	for _, c := range message.Apply {
		if c.Put == "" {
			continue
		}
		if size, err := codec.JSONSize(c.V); err != nil || float64(size) > s.limits.ValueKB*1024 {
			return fmt.Sprintf("value of %s too large", c.Put)
		}
		if c.Hold != 0 && s.leases[c.Hold] == nil {
			return "no such lease"
		}
	}
	return ""
}

func (s *State) lease(w http.ResponseWriter, r *http.Request, path string, body []byte) {
	if path == wire.LeasesPath {
		var message wire.LeaseRequest
		if codec.Unmarshal(body, &message) != nil {
			answer(w, http.StatusBadRequest, wire.ErrorMessage{Error: "malformed"})
			return
		}
		s.lastHold++
		life := time.Duration(message.LifeMS) * time.Millisecond
		s.leases[s.lastHold] = &stateLease{life, time.Now().Add(life)}
		answer(w, http.StatusOK, wire.LeaseGrant{Hold: s.lastHold})
		return
	}
	digits, touch := strings.CutSuffix(strings.TrimPrefix(path, wire.LeasesPath+"/"), wire.KeepAliveSuffix)
	hold, err := strconv.ParseUint(digits, 10, 64)
	lease := s.leases[hold]
	switch {
	case err != nil || lease == nil || time.Now().After(lease.expiry):
		answer(w, http.StatusNotFound, wire.ErrorMessage{Error: "no such lease"})
		return
	case touch:
		lease.expiry = time.Now().Add(lease.life)
	case r.Method == http.MethodDelete:
		s.endLease(hold)
	}
	answer(w, http.StatusOK, map[string]any{"hold": hold})
}

func (s *State) follow(w http.ResponseWriter, r *http.Request, controller string) {
	prefix := r.URL.Query().Get("starts")
	since, err := strconv.ParseUint(r.URL.Query().Get("since"), 10, 64)
	blockMS, _ := strconv.Atoi(r.URL.Query().Get("block_ms"))
	if err != nil {
		answer(w, http.StatusBadRequest, wire.ErrorMessage{Error: "malformed"})
		return
	}
	s.mu.Lock()
	allowed := s.allow(0)
	s.mu.Unlock()
	if !allowed {
		answer(w, http.StatusTooManyRequests, wire.ErrorMessage{Error: "rate"})
		return
	}
	end := time.Now().Add(time.Duration(blockMS) * time.Millisecond)
	for {
		s.mu.Lock()
		changed, refused := s.changed, s.refused[controller]
		news := wire.News{Ledger: s.ledger, News: []wire.NewsEvent{}}
		gone := len(s.events) >= keptEvents && since+1 < s.events[0].stamp
		for _, e := range s.events {
			if e.stamp > since && strings.HasPrefix(e.put+e.drop, prefix) {
				news.News = append(news.News, wire.NewsEvent{Put: e.put, V: e.value, Drop: e.drop, Stamp: e.stamp})
			}
		}
		s.mu.Unlock()
		switch {
		case refused: // open watches wait
			select {
			case <-r.Context().Done():
				return
			case <-time.After(5 * time.Millisecond):
			}
			continue
		case gone:
			answer(w, http.StatusGone, wire.ErrorMessage{Error: "gone"})
			return
		case len(news.News) > 0 || !time.Now().Before(end):
			message := map[string]any{"ledger": news.Ledger, "news": newsItems(news.News)}
			answer(w, http.StatusOK, message)
			return
		}
		select {
		case <-r.Context().Done():
			return
		case <-changed:
		case <-time.After(min(time.Until(end), 100*time.Millisecond)):
		}
	}
}

// newsItems returns events as the protocol writes them: without the fields that don't apply.
func newsItems(events []wire.NewsEvent) []map[string]any {
	items := make([]map[string]any, 0, len(events))
	for _, e := range events {
		if e.Put != "" {
			items = append(items, map[string]any{"put": e.Put, "v": e.V, "stamp": e.Stamp})
		} else {
			items = append(items, map[string]any{"drop": e.Drop, "stamp": e.Stamp})
		}
	}
	return items
}
