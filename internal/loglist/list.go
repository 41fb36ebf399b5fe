package loglist

import (
	"context"
	"net/http"
	"net/url"
	"slices"
	"sync"
	"time"
)

// listCache holds the last list for each filter with its entity tag.
type listCache struct {
	mu    sync.Mutex
	lists map[Filter]cachedList
}

// cachedList is a list and the entity tag by which it is revalidated.
type cachedList struct {
	tag  string
	list InstanceList
}

// get returns the cached list of a filter.
func (l *listCache) get(f Filter) cachedList {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.lists[f]
}

// put caches the list of a filter.
func (l *listCache) put(f Filter, c cachedList) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.lists == nil {
		l.lists = make(map[Filter]cachedList)
	}
	l.lists[f] = c
}

// Instances implements Lister.
func (c *Client) Instances(ctx context.Context, filter Filter) (*InstanceList, error) {
	cached := c.lists.get(filter)
	tag := entityTag{value: cached.tag}
	r := request{op: opList, method: http.MethodGet, url: c.listURL + PathInstances + filter.query(), etag: &tag}
	list, err := retry(ctx, c, opList, func() (*InstanceList, error) {
		var list InstanceList
		if err := c.exchange(ctx, r, &list); err != nil {
			return nil, err
		}
		return &list, nil
	})
	if err != nil {
		return nil, c.newError(opList, kindOfAttempt(err), err)
	}
	if tag.notModified {
		unchanged := cached.list
		unchanged.AsOf = time.Now()
		return &unchanged, nil
	}
	list.Instances = slices.DeleteFunc(list.Instances, func(i Instance) bool { return !filter.Matches(i) })
	c.lists.put(filter, cachedList{tag: tag.value, list: *list})
	return list, nil
}

// query returns the filter as a URL query string with its "?", or "" for the
// empty filter.
func (f Filter) query() string {
	values := url.Values{}
	if f.Role != "" {
		values.Set(ParamRole, string(f.Role))
	}
	if f.AvailabilityZone != "" {
		values.Set(ParamAvailabilityZone, f.AvailabilityZone)
	}
	if len(values) == 0 {
		return ""
	}
	return "?" + values.Encode()
}
