package emulator

import (
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/valyala/fasthttp"

	"gingertally/internal/codec"
	"gingertally/internal/wire"
)

// Handle serves a request of a controller (PROTOCOL: Controller nodes -> state service).
func (s *StateService) Handle(request *fasthttp.RequestCtx) {
	path := string(request.Path())
	if path == wire.WatchPath {
		s.handleWatch(request)
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	switch key, isKey := strings.CutPrefix(path, wire.StorePath+"/"); {
	case isKey:
		s.handleGet(request, key)
	case path == wire.StorePath:
		s.handleList(request)
	case path == wire.CommitPath:
		s.handleCommit(request)
	case path == wire.LeasesPath:
		s.handleGrant(request)
	default:
		s.handleLease(request, strings.TrimPrefix(path, wire.LeasesPath+"/"))
	}
}

// storeItem returns a key and its value as they are sent.
func storeItem(key string, stored storedValue) wire.StoreItem {
	return wire.StoreItem{Path: key, V: stored.value, Stamp: stored.modRevision, Hold: stored.lease}
}

func (s *StateService) handleGet(request *fasthttp.RequestCtx, key string) {
	stored, found := s.keys[key]
	if !found {
		reply(request, fasthttp.StatusNotFound, wire.CommitResult{Ledger: s.revision})
		return
	}
	reply(request, fasthttp.StatusOK, storeItem(key, stored))
}

// handleList lists the keys that have the prefix starts and sort after the key since, in order and at
// most as many as the query parameter most says.
func (s *StateService) handleList(request *fasthttp.RequestCtx) {
	prefix, after := string(request.QueryArgs().Peek("starts")), string(request.QueryArgs().Peek("since"))
	limit := request.QueryArgs().GetUintOrZero("most")
	var keys []string
	for key := range s.keys {
		if strings.HasPrefix(key, prefix) && key > after {
			keys = append(keys, key)
		}
	}
	slices.Sort(keys)
	page := wire.StorePage{Ledger: s.revision, HasNext: len(keys) > limit}
	for _, key := range keys[:min(limit, len(keys))] {
		page.Rows = append(page.Rows, storeItem(key, s.keys[key]))
	}
	reply(request, fasthttp.StatusOK, page)
}

// handleCommit carries out a transaction. If a condition fails, it changes nothing and answers with the
// keys of the conditions that failed.
func (s *StateService) handleCommit(request *fasthttp.RequestCtx) {
	var commit wire.Commit
	if codec.Unmarshal(request.PostBody(), &commit) != nil {
		request.SetStatusCode(fasthttp.StatusBadRequest)
		return
	}
	changes := make([]change, 0, len(commit.Apply))
	for _, message := range commit.Apply {
		if message.Hold != 0 && s.leases[message.Hold] == nil {
			request.SetStatusCode(fasthttp.StatusBadRequest)
			return
		}
		changes = append(changes, changeOf(message))
	}
	result := wire.CommitResult{Ledger: s.revision}
	for _, condition := range commit.If {
		if s.keys[condition.Path].modRevision != condition.Stamp {
			result.Failed = append(result.Failed, condition.Path)
		}
	}
	if result.Failed != nil {
		reply(request, fasthttp.StatusConflict, result)
		return
	}
	if len(changes) > 0 {
		s.apply(changes)
	}
	result.Ledger = s.revision
	reply(request, fasthttp.StatusOK, result)
}

func changeOf(message wire.Change) change {
	if message.Drop != "" {
		return change{key: message.Drop, delete: true}
	}
	return change{key: message.Put, value: message.V, lease: message.Hold}
}

// handleGrant creates a lease.
func (s *StateService) handleGrant(request *fasthttp.RequestCtx) {
	var message wire.LeaseRequest
	if codec.Unmarshal(request.PostBody(), &message) != nil {
		request.SetStatusCode(fasthttp.StatusBadRequest)
		return
	}
	s.lastLease++
	duration := time.Duration(message.LifeMS) * time.Millisecond
	s.leases[s.lastLease] = &lease{expiry: time.Now().Add(duration), duration: duration}
	reply(request, fasthttp.StatusOK, wire.LeaseGrant{Hold: s.lastLease})
}

// handleLease renews or ends a lease. The path is the part after wire.LeasesPath and a slash: the
// lease's number, followed by wire.KeepAliveSuffix if it is to be renewed.
func (s *StateService) handleLease(request *fasthttp.RequestCtx, path string) {
	digits, keepAlive := strings.CutSuffix(path, wire.KeepAliveSuffix)
	number, err := strconv.ParseUint(digits, 10, 64)
	lease := s.leases[number]
	switch {
	case err != nil || lease == nil || time.Now().After(lease.expiry):
		request.SetStatusCode(fasthttp.StatusNotFound)
	case keepAlive:
		lease.expiry = time.Now().Add(lease.duration)
	default:
		s.endLease(number)
	}
}

// handleWatch waits until a key with the prefix starts has changed after the revision since, or until
// block_ms milliseconds have passed, and answers with the changes. If they are no longer all kept, it
// answers with status 410.
func (s *StateService) handleWatch(request *fasthttp.RequestCtx) {
	prefix := string(request.QueryArgs().Peek("starts"))
	revision, err := strconv.ParseUint(string(request.QueryArgs().Peek("since")), 10, 64)
	if err != nil {
		request.SetStatusCode(fasthttp.StatusBadRequest)
		return
	}
	timeout := time.After(time.Duration(request.QueryArgs().GetUintOrZero("block_ms")) * time.Millisecond)
	for waiting := true; ; {
		result, ok := s.changesSince(prefix, revision)
		if !ok {
			request.SetStatusCode(fasthttp.StatusGone)
			return
		}
		if len(result.events) > 0 || !waiting {
			reply(request, fasthttp.StatusOK, watchAnswer(result))
			return
		}
		select {
		case <-result.next:
		case <-timeout:
			waiting = false
		}
	}
}

// watchAnswer returns the answer to a watch.
func watchAnswer(result watchResult) wire.News {
	news := wire.News{Ledger: result.revision}
	for _, event := range result.events {
		message := wire.NewsEvent{Put: event.key, V: event.value, Stamp: event.revision}
		if event.delete {
			message = wire.NewsEvent{Drop: event.key, Stamp: event.revision}
		}
		news.News = append(news.News, message)
	}
	return news
}
