package route_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"siskinspar.example/sidecar/route"
)

var limits = route.Limits{HeaderBytes: 1 << 14, BodyBytes: 1 << 20, HeaderTimeout: time.Second, IdleTimeout: time.Second}

func declared(name, host, prefix string) route.Declared {
	return route.Declared{Name: name, Host: host, Prefix: prefix, Timeout: time.Second, Attempts: 1, Clusters: []route.Cluster{{Service: "s", Weight: 1}}}
}

func TestTheLongestPrefixOfTheHostIsTheRoute(t *testing.T) {
	table, err := route.NewTable(1, limits, []route.Service{{Name: "s"}}, []route.Declared{
		declared("short", "a.example", "/x/"), declared("long", "a.example", "/x/y/"), declared("other", "b.example", "/"),
	})
	assert.NilError(t, err)
	for _, c := range []struct{ host, path, route string }{
		{"a.example", "/x/1", "short"},
		{"A.example:80", "/x/y/1", "long"},
		{"a.example", "/x/y", "short"},
		{"a.example", "/x", ""},
		{"b.example", "/x/y/", "other"},
		{"c.example", "/x/", ""},
	} {
		found := table.Match(c.host, c.path)
		assert.Equal(t, found == nil, c.route == "", "%s%s", c.host, c.path)
		if found != nil {
			assert.Equal(t, found.Name(), c.route, "%s%s", c.host, c.path)
		}
	}
}

func TestAFaultyConfigurationIsRefusedWhole(t *testing.T) {
	change := map[string]func(d *route.Declared){
		"no host":         func(d *route.Declared) { d.Host = "" },
		"prefix":          func(d *route.Declared) { d.Prefix = "/x" },
		"below 0":         func(d *route.Declared) { d.Timeout = -1 },
		"no service":      func(d *route.Declared) { d.Clusters = nil },
		"unknown service": func(d *route.Declared) { d.Clusters[0].Service = "t" },
		"has the weight":  func(d *route.Declared) { d.Clusters[0].Weight = -1 },
		"weight above 0":  func(d *route.Declared) { d.Clusters[0].Weight = 0 },
		"0 attempts":      func(d *route.Declared) { d.Attempts = 0 },
	}
	for text, change := range change {
		bad := declared("bad", "a.example", "/x/")
		change(&bad)
		_, err := route.NewTable(1, limits, []route.Service{{Name: "s"}}, []route.Declared{declared("good", "a.example", "/y/"), bad})
		assert.ErrorContains(t, err, text)
	}
	_, err := route.NewTable(1, route.Limits{}, nil, nil)
	assert.ErrorContains(t, err, "limits")
}

func TestEachClusterGetsItsWeight(t *testing.T) {
	d := declared("r", "a.example", "/")
	d.Clusters = []route.Cluster{{Service: "s", Weight: 90}, {Service: "t", Weight: 10}, {Service: "u", Weight: 0}}
	table, err := route.NewTable(1, limits, []route.Service{{Name: "s"}, {Name: "t"}, {Name: "u"}}, []route.Declared{d})
	assert.NilError(t, err)
	shares := map[string]int{}
	for i := range 1000 {
		shares[table.Match("a.example", "/").Service(float64(i)/1000)]++
	}
	assert.DeepEqual(t, shares, map[string]int{"s": 900, "t": 100})
}
