package platform

import (
	"net/http"
	"net/url"
	"slices"
	"strings"
)

const (
	// maximumObjectSize is the largest size of an object in bytes.
	maximumObjectSize = 8 << 20
	// maximumNames is the largest number of names in an answer.
	maximumNames = 1000
)

// namesAnswer is the answer to a call that lists objects.
type namesAnswer struct {
	Names []string `json:"names"`
	// HasMore means that further objects matched the call.
	HasMore bool `json:"hasMore"`
}

// objects holds the content of the objects by name; Server.mu guards it.
type objects map[string][]byte

// put stores an object. With isNew an object that exists is left alone and the status is 412.
func (o objects) put(name string, content []byte, isNew bool) answer {
	if _, ok := o[name]; ok && isNew {
		return answer{status: http.StatusPreconditionFailed}
	}
	if len(content) > maximumObjectSize {
		return answer{status: http.StatusRequestEntityTooLarge}
	}
	o[name] = content
	return answer{status: http.StatusOK}
}

// get returns the content of an object, or status 404.
func (o objects) get(name string) answer {
	content, ok := o[name]
	if !ok {
		return answer{status: http.StatusNotFound}
	}
	return answer{status: http.StatusOK, body: content}
}

// drop deletes an object if it exists; the status is 200 in any case.
func (o objects) drop(name string) answer {
	delete(o, name)
	return answer{status: http.StatusOK}
}

// list returns the names that begin with "prefix" and follow "after" of the query, in order.
func (o objects) list(q url.Values) namesAnswer {
	var found []string
	for name := range o {
		if strings.HasPrefix(name, q.Get("prefix")) && name > q.Get("after") {
			found = append(found, name)
		}
	}
	slices.Sort(found)
	return namesAnswer{Names: found[:min(maximumNames, len(found))], HasMore: len(found) > maximumNames}
}
