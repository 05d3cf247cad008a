package soak

import (
	"cmp"
	"fmt"
	"maps"
	"math/rand/v2"
	"net/http"
	"slices"
	"strings"
	"sync"
	"time"
)

// maxLostWrites limits the writes that a restored store loses.
const maxLostWrites = 40

// maxWriteAgainDelay is the time within which operators and targets write again what a
// restored store has lost.
const maxWriteAgainDelay = 2 * time.Second

// objectName is the kind and the name of an object of the platform.
type objectName struct{ kind, name string }

// writtenObjects holds what operators and targets have written last, so that they can write
// it again. An empty spec stands for a deleted object. The mutex also keeps the writes apart,
// so that none of them replaces a later one.
type writtenObjects struct {
	mutex sync.Mutex
	specs map[objectName]string
}

// writeObject changes an object as an operator or a target does. It retries until
// the platform accepts the change, and returns the time of the acknowledgement.
func (r *run) writeObject(method, kind, name, spec string) time.Time {
	r.objects.mutex.Lock()
	defer r.objects.mutex.Unlock()
	r.objects.specs[objectName{kind, name}] = spec
	return r.putObject(method, objectName{kind, name}, spec)
}

func (r *run) putObject(method string, o objectName, spec string) time.Time {
	body := fmt.Sprintf(`{"meta":{"name":%q},"spec":%s}`, o.name, spec)
	if spec == "" {
		body = ""
	}
	for {
		url := r.platformURL + "/v1/objects/" + o.kind + "/" + o.name
		if method == http.MethodPost {
			url = r.platformURL + "/v1/objects/" + o.kind
		}
		_, err := r.client.Call(r.checker.ctx, method, url, nil, []byte(body))
		// The answer to a write that took effect may be lost; the retry then finds the
		// object already created (409) or deleted (404).
		if err == nil || r.checker.ctx.Err() != nil || strings.Contains(err.Error(), "status 404") || strings.Contains(err.Error(), "status 409") {
			return time.Now()
		}
		time.Sleep(50 * time.Millisecond)
	}
}

// restoreStore takes the store away and restores it from an older copy. The returned
// function brings it back, and lets operators and targets write again what they wrote.
func (r *run) restoreStore(rng *rand.Rand) func() {
	lost, delay := 1+rng.IntN(maxLostWrites), time.Duration(rng.Int64N(int64(maxWriteAgainDelay)))
	r.callAdmin(http.MethodPut, "/admin/faults", `{"Outage":true}`)
	r.callAdmin(http.MethodPost, "/admin/restore", fmt.Sprintf(`{"Writes":%d}`, lost))
	return func() {
		r.callAdmin(http.MethodPut, "/admin/faults", "{}")
		time.Sleep(delay)
		r.objects.mutex.Lock()
		defer r.objects.mutex.Unlock()
		names := slices.SortedFunc(maps.Keys(r.objects.specs), func(a, b objectName) int {
			return cmp.Or(strings.Compare(a.kind, b.kind), strings.Compare(a.name, b.name))
		})
		for _, name := range names {
			method, spec := http.MethodPut, r.objects.specs[name]
			if spec == "" {
				method = http.MethodDelete
			}
			r.putObject(method, name, spec)
		}
	}
}
