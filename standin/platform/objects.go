package platform

import (
	"net/http"
	"net/url"
	"slices"
	"strings"
)

const (
	// maximumObject bounds one object in bytes.
	maximumObject = 8 << 20
	// maximumNames bounds the names of one answer.
	maximumNames = 1000
)

// names is an answer with names of objects.
type names struct {
	Names   []string `json:"names"`
	HasMore bool     `json:"hasMore"`
}

// objects is the state of the object store; the server's lock guards it.
type objects map[string][]byte

func (o objects) put(name string, content []byte, isNew bool) answer {
	if _, ok := o[name]; ok && isNew {
		return answer{status: http.StatusPreconditionFailed}
	}
	if len(content) > maximumObject {
		return answer{status: http.StatusRequestEntityTooLarge}
	}
	o[name] = content
	return answer{status: http.StatusOK}
}

func (o objects) get(name string) answer {
	content, ok := o[name]
	if !ok {
		return answer{status: http.StatusNotFound}
	}
	return answer{status: http.StatusOK, body: content}
}

func (o objects) drop(name string) answer {
	delete(o, name)
	return answer{status: http.StatusOK}
}

func (o objects) list(q url.Values) names {
	var found []string
	for name := range o {
		if strings.HasPrefix(name, q.Get("prefix")) && name > q.Get("after") {
			found = append(found, name)
		}
	}
	slices.Sort(found)
	return names{Names: found[:min(maximumNames, len(found))], HasMore: len(found) > maximumNames}
}
