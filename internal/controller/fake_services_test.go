package controller

import (
	"net"
	"net/url"
	"slices"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/valyala/fasthttp"

	"gingertally/internal/codec"
	"gingertally/internal/wire"
)

// serveOn serves a handler on a loopback address until the test ends.
func serveOn(t *testing.T, handler fasthttp.RequestHandler) string {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	server := &fasthttp.Server{Handler: handler}
	go func() { _ = server.Serve(listener) }() // ends with the listener
	t.Cleanup(func() { _ = listener.Close() })
	return listener.Addr().String()
}

// answer writes a response with a status and an encoded message.
func answer(request *fasthttp.RequestCtx, status int, message any) {
	request.SetStatusCode(status)
	request.SetBody(codec.MustMarshal(message))
}

// fakeStore is an in-memory state service. Its leases end only when they are revoked or expireLeases
// is called.
type fakeStore struct {
	mu       sync.Mutex
	revision uint64
	leases   uint64 // number of the last lease
	expired  uint64 // number of the last lease that has expired, with all before it
	items    map[string]wire.StoreItem
	news     []wire.NewsEvent
	down     bool                        // answers every request with status 503
	blocked  map[string]*blockedRequests // by the start of their path and query
}

// blockedRequests are requests that wait until they are released.
type blockedRequests struct {
	waiting  int // how many have come so far
	released chan struct{}
}

// block makes requests whose path and query begin like this wait until release is called, or the test
// ends.
func (f *fakeStore) block(t *testing.T, request string) (release func()) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.blocked == nil {
		f.blocked = map[string]*blockedRequests{}
	}
	requests := &blockedRequests{released: make(chan struct{})}
	f.blocked[request] = requests
	release = sync.OnceFunc(func() { close(requests.released) })
	t.Cleanup(release)
	return release
}

// passFromNowOn lets further requests of a kind that is blocked pass. Those that wait go on waiting.
func (f *fakeStore) passFromNowOn(request string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	delete(f.blocked, request)
}

// waiting returns how many requests of a kind have waited since block was called.
func (f *fakeStore) waiting(request string) int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.blocked[request].waiting
}

// waitWhileBlocked waits until a request is released, if requests of its kind are blocked.
func (f *fakeStore) waitWhileBlocked(request *fasthttp.RequestCtx) {
	uri, err := url.QueryUnescape(string(request.RequestURI()))
	if err != nil {
		return
	}
	f.mu.Lock()
	var released chan struct{}
	for kind, requests := range f.blocked {
		if strings.HasPrefix(uri, kind) {
			requests.waiting++
			released = requests.released
		}
	}
	f.mu.Unlock()
	if released != nil {
		<-released
	}
}

// expireLeases ends all leases, and deletes the keys that are attached to them.
func (f *fakeStore) expireLeases() {
	f.mu.Lock()
	defer f.mu.Unlock()
	for lease := f.expired + 1; lease <= f.leases; lease++ {
		f.endLease(lease)
	}
	f.expired = f.leases
}

// holdsPrefix reports whether any key has a prefix.
func (f *fakeStore) holdsPrefix(prefix string) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	for key := range f.items {
		if strings.HasPrefix(key, prefix) {
			return true
		}
	}
	return false
}

// revisionOf returns the revision of a key's last change.
func (f *fakeStore) revisionOf(key string) uint64 {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.items[key].Stamp
}

func (f *fakeStore) setDown(down bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.down = down
}

func (f *fakeStore) isDown() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.down
}

func (f *fakeStore) handle(request *fasthttp.RequestCtx) {
	path := string(request.Path())
	f.waitWhileBlocked(request)
	switch {
	case f.isDown():
		request.SetStatusCode(503)
		return
	case path == "/follow":
		f.watch(request)
		return
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	switch key, isKey := strings.CutPrefix(path, "/store/"); {
	case isKey:
		if item, ok := f.items[key]; ok {
			answer(request, 200, item)
		} else {
			request.SetStatusCode(404)
		}
	case path == "/store":
		f.list(request)
	case path == "/commit":
		f.commit(request)
	case path == "/leases":
		f.leases++
		answer(request, 200, wire.LeaseGrant{Hold: f.leases})
	case request.IsDelete():
		f.revoke(path)
	case strings.HasSuffix(path, wire.KeepAliveSuffix):
		f.keepAlive(request, path)
	}
}

func (f *fakeStore) list(request *fasthttp.RequestCtx) {
	prefix := string(request.QueryArgs().Peek("starts"))
	page := wire.StorePage{Ledger: f.revision}
	for key, item := range f.items {
		if strings.HasPrefix(key, prefix) {
			page.Rows = append(page.Rows, item)
		}
	}
	slices.SortFunc(page.Rows, func(a, b wire.StoreItem) int { return strings.Compare(a.Path, b.Path) })
	answer(request, 200, page)
}

func (f *fakeStore) commit(request *fasthttp.RequestCtx) {
	var commit wire.Commit
	if codec.Unmarshal(request.PostBody(), &commit) != nil {
		request.SetStatusCode(400)
		return
	}
	var result wire.CommitResult
	for _, condition := range commit.If {
		if f.items[condition.Path].Stamp != condition.Stamp {
			result.Failed = append(result.Failed, condition.Path)
		}
	}
	if result.Failed != nil {
		answer(request, 409, result)
		return
	}
	f.revision++
	for _, change := range commit.Apply {
		f.news = append(f.news, wire.NewsEvent{Put: change.Put, V: change.V, Drop: change.Drop, Stamp: f.revision})
		delete(f.items, change.Drop)
		if change.Put != "" {
			f.items[change.Put] = wire.StoreItem{Path: change.Put, V: change.V, Stamp: f.revision, Hold: change.Hold}
		}
	}
	result.Ledger = f.revision
	answer(request, 200, result)
}

func (f *fakeStore) revoke(path string) {
	if lease, ok := leaseNumber(path); ok {
		f.endLease(lease)
	}
}

// keepAlive answers a keep-alive with 404 if the lease has expired.
func (f *fakeStore) keepAlive(request *fasthttp.RequestCtx, path string) {
	lease, ok := leaseNumber(strings.TrimSuffix(path, wire.KeepAliveSuffix))
	if !ok || lease <= f.expired {
		request.SetStatusCode(404)
	}
}

// leaseNumber returns the number of the lease that a path names.
func leaseNumber(path string) (number uint64, ok bool) {
	number, err := strconv.ParseUint(strings.TrimPrefix(path, wire.LeasesPath+"/"), 10, 64)
	return number, err == nil
}

// endLease deletes the keys that are attached to a lease. The caller holds f.mu.
func (f *fakeStore) endLease(lease uint64) {
	for key, item := range f.items {
		if item.Hold == lease {
			f.revision++
			delete(f.items, key)
			f.news = append(f.news, wire.NewsEvent{Drop: key, Stamp: f.revision})
		}
	}
}

// watch answers with the changes after a revision. If there are none it waits for some, for a fifth
// of a second or until the service is down.
func (f *fakeStore) watch(request *fasthttp.RequestCtx) {
	prefix := string(request.QueryArgs().Peek("starts"))
	since, err := strconv.ParseUint(string(request.QueryArgs().Peek("since")), 10, 64)
	if err != nil {
		request.SetStatusCode(400)
		return
	}
	var news wire.News
	for try := 0; try < 20 && len(news.News) == 0 && !f.isDown(); try++ {
		time.Sleep(10 * time.Millisecond)
		news = f.eventsSince(prefix, since)
	}
	answer(request, 200, news)
}

func (f *fakeStore) eventsSince(prefix string, since uint64) wire.News {
	f.mu.Lock()
	defer f.mu.Unlock()
	news := wire.News{Ledger: f.revision}
	for _, event := range f.news {
		if event.Stamp > since && strings.HasPrefix(event.Put+event.Drop, prefix) {
			news.News = append(news.News, event)
		}
	}
	return news
}

// machine is the name of the one machine of the fake cloud.
const machine = "m-1"

// handleCloud serves a fake cloud with one machine type and one running machine. It has no capacity
// for more.
func handleCloud(request *fasthttp.RequestCtx) {
	switch string(request.Path()) {
	case "/flavors":
		answer(
			request, 200,
			wire.Flavors{Builds: []wire.Flavor{
				{
					Label:      "c8",
					VCPUs:      8,
					MemGB:      32,
					LocalGB:    100,
					PullGBPerS: 1,
					Hourly:     1,
					SpotPrice:  0.5,
					ReadyS:     10,
					Yards:      []string{"a"},
				},
			}},
		)
	case "/rentals":
		if request.IsPost() {
			answer(request, 503, map[string]string{"error": "no capacity"})
			return
		}
		answer(
			request, 200,
			wire.RentalPage{Stalls: []wire.Rental{
				{Ref: machine, Endpoint: "127.0.0.1:1", Build: "c8", Yard: "a", Status: wire.RentalRunning, HeldS: 1},
			}},
		)
	}
}
