package declaration_test

import (
	"os"
	"path/filepath"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"siskinspar.example/declaration"
	"siskinspar.example/declaration/snapshot"
)

// read reads a directory with one file of the given text.
func read(t *testing.T, text string) (declaration.Set, error) {
	t.Helper()
	directory := t.TempDir()
	assert.NilError(t, os.WriteFile(filepath.Join(directory, "a.yaml"), []byte(text), 0o600))
	return declaration.ReadDirectory(directory)
}

const service = "kind: service\nname: desk\nbackendServers: {service: desk}\n"

func TestFaultsNameFileLineAndReason(t *testing.T) {
	for _, c := range []struct{ name, text, expected string }{
		{"an empty directory", "", "no declarations found"},
		{"a missing kind", "name: a\n", "a.yaml:1: kind is missing"},
		{"an unknown field", service + "colour: red\n", `a.yaml:4: unknown field "colour"`},
		{"a wrong type", service + "labels: 3\n", "a.yaml:4:"},
		{"a service without selector", "kind: service\nname: a\n", "selector must name at least one label"},
		{"a name in capitals", "kind: service\nname: Desk\nbackendServers: {a: b}\n", "name must be lower case letters, digits, dots and hyphens, start and end with a letter or digit, and have at most 128 bytes, has 4"},
		{"a relative prefix", service + "---\nkind: intent\nname: a\ntarget: desk\nmatch: {pathPrefix: a}\n", `must start with /, is "a"`},
		{"an unknown method", service + "---\nkind: intent\nname: a\ntarget: desk\nmatch: {pathPrefix: /, methods: [FETCH]}\n", `unknown method "FETCH"`},
		{"an unknown priority", service + "---\nkind: intent\nname: a\ntarget: desk\nmatch: {pathPrefix: /}\npriority: first\n", `"first" is not high`},
		{"a timeout above the maximum", service + "---\nkind: intent\nname: a\ntarget: desk\nmatch: {pathPrefix: /}\ntimeout: 2h\n", "at most 1h0m0s, is 2h0m0s"},
		{"an upload with stored answers", service + "---\nkind: intent\nname: a\ntarget: desk\nmatch: {pathPrefix: /}\nupload: true\nunrepeatable: true\n", "upload: can't be unrepeatable as well"},
		{"a share above one", service + "---\nkind: intent\nname: a\ntarget: desk\nmatch: {pathPrefix: /}\nprotectedShare: 2\n", "must be from 0 to 1, is 2"},
		{"two matches on one proxy", service + "---\nkind: intent\nname: a\ntarget: desk\nmatch: {pathPrefix: /x}\n---\nkind: intent\nname: b\ntarget: desk\nmatch: {pathPrefix: /x}\n", "match is the same as that of intent/a"},
	} {
		t.Run(c.name, func(t *testing.T) {
			_, err := read(t, c.text)
			assert.ErrorContains(t, err, c.expected)
		})
	}
}

func TestEveryFaultIsListed(t *testing.T) {
	_, err := read(t, "kind: service\nname: A\n---\nkind: what\n---\nkind: intent\nname: i\ntarget: none\nmatch: {pathPrefix: x}\n")
	invalid, ok := err.(*declaration.InvalidError)
	assert.Assert(t, ok)
	assert.Equal(t, len(invalid.Faults()), 5, err.Error())
}

func TestIntentsOfDisjointProxiesMayHaveTheSameMatch(t *testing.T) {
	_, err := read(t, service+
		"---\nkind: intent\nname: a\nproxies: {site: x}\ntarget: desk\nmatch: {pathPrefix: /x}\n"+
		"---\nkind: intent\nname: b\nproxies: {site: y}\ntarget: desk\nmatch: {pathPrefix: /x}\n")
	assert.NilError(t, err)
}

// drawSet draws a valid set of 1 to 4 services and up to 10 intents, each with a path prefix of its own.
func drawSet(t *rapid.T) declaration.Set {
	services := rapid.SliceOfNDistinct(rapid.SampledFrom([]string{"a", "b", "c", "d"}), 1, 4, rapid.ID[string]).Draw(t, "services")
	var entries []declaration.Entry
	for _, name := range services {
		e, err := declaration.NewServiceEntry(declaration.Service{Name: name, BackendServers: declaration.Selector{"service": name}})
		assert.NilError(t, err)
		entries = append(entries, e)
	}
	for _, name := range rapid.SliceOfNDistinct(rapid.StringMatching(`i[a-z]{1,3}`), 0, 10, rapid.ID[string]).Draw(t, "intents") {
		e, err := declaration.NewIntentEntry(declaration.Intent{
			Name: name, Target: rapid.SampledFrom(services).Draw(t, "target"),
			Match:   declaration.Match{PathPrefix: "/" + name},
			Proxies: rapid.SampledFrom([]declaration.Selector{nil, {"site": "x"}, {"site": "y"}}).Draw(t, "proxies"),
		})
		assert.NilError(t, err)
		entries = append(entries, e)
	}
	return declaration.NewSet(entries...)
}

func TestDifferenceTurnsOneSetIntoTheOther(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		from, to := drawSet(t), drawSet(t)
		got, err := from.With(from.Difference(to, true))
		assert.NilError(t, err)
		assert.Equal(t, got.Digest(), to.Digest())
	})
}

func TestEveryRouteHasAServiceOfItsSet(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		set := drawSet(t)
		var removed []declaration.Edit
		if rapid.Bool().Draw(t, "removes a service") {
			removed = append(removed, declaration.Edit{Key: set.Keys()[set.Len()-1]})
		}
		set, err := set.With(removed)
		assert.NilError(t, err)
		n, err := snapshot.Compile(1, set, declaration.Labels{"site": "x"})
		if err != nil {
			assert.Assert(t, n == nil)
			return
		}
		for _, key := range set.Keys() {
			if key.Kind != declaration.KindIntent {
				continue
			}
			if r, ok := n.Match("", "GET", "/"+key.Name); ok {
				_, exists := set.Find(declaration.Key{Kind: declaration.KindService, Name: r.Service().Name})
				assert.Assert(t, exists)
			}
		}
	})
}

// TestAdvanceEqualsCompile applies random edits, and compares the snapshot of Advance with that of Compile and the
// verdict of CheckChange with that of CheckSet.
func TestAdvanceEqualsCompile(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		from, to := drawSet(t), drawSet(t)
		proxy := declaration.Labels{"site": "x"}
		current, err := snapshot.Compile(1, from, proxy)
		assert.NilError(t, err)
		edits := from.Difference(to, true)
		edits = edits[:rapid.IntRange(0, len(edits)).Draw(t, "edits")]
		set, err := from.With(edits)
		assert.NilError(t, err)
		compiled, compileErr := snapshot.Compile(2, set, proxy)
		next, err := current.Advance(2, set, edits, proxy)
		assert.Equal(t, err == nil, compileErr == nil, "%v; %v", err, compileErr)
		if err != nil {
			return
		}
		assert.Equal(t, next.Version(), compiled.Version())
		assert.Equal(t, next.Digest(), compiled.Digest())
		assert.DeepEqual(t, next.Services(), compiled.Services())
		assert.Equal(t, next.Len(), compiled.Len())
		for _, key := range set.Keys() {
			a, okA := next.Match("", "GET", "/"+key.Name)
			b, okB := compiled.Match("", "GET", "/"+key.Name)
			assert.Equal(t, okA, okB)
			if okA {
				assert.DeepEqual(t, a.Intent(), b.Intent())
				assert.DeepEqual(t, a.Service(), b.Service())
			}
		}
	})
}

func TestMatchPrefersHostThenLongestPrefixThenMethod(t *testing.T) {
	set, err := read(t, service+
		"---\nkind: intent\nname: all\ntarget: desk\nmatch: {pathPrefix: /}\n"+
		"---\nkind: intent\nname: loans\ntarget: desk\nmatch: {pathPrefix: /loans}\n"+
		"---\nkind: intent\nname: lodge\ntarget: desk\nmatch: {pathPrefix: /loans, methods: [POST]}\ntimeout: 3s\n"+
		"---\nkind: intent\nname: hosted\ntarget: desk\nmatch: {host: Desk.example, pathPrefix: /}\n")
	assert.NilError(t, err)
	n, err := snapshot.Compile(1, set, nil)
	assert.NilError(t, err)
	for _, c := range []struct{ host, method, path, intent string }{
		{"", "GET", "/", "all"},
		{"", "GET", "/loansome", "all"},
		{"", "GET", "/loans/7/status", "loans"},
		{"", "POST", "/loans", "lodge"},
		{"desk.example", "POST", "/loans", "hosted"},
	} {
		r, ok := n.Match(c.host, c.method, c.path)
		assert.Assert(t, ok)
		assert.Equal(t, r.Intent().Name, c.intent)
	}
	r, _ := n.Find("lodge")
	assert.Equal(t, r.Intent().Timeout, 3*time.Second)
}

func FuzzReadNeverPanics(f *testing.F) {
	f.Add(service)
	f.Add("kind: intent\nmatch: [\n")
	f.Add("a: &a [*a]\n---\n- 1\n")
	f.Fuzz(func(_ *testing.T, text string) {
		entries, _ := declaration.Read("fuzz.yaml", []byte(text))
		declaration.Check(entries)
	})
}
