package parts_test

import (
	"encoding/json"
	"strings"
	"testing"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"rosemarygrade.dev/lib/pkg/fault"
	"rosemarygrade.dev/lib/pkg/parts"
)

func texts(list []json.RawMessage) []string {
	out := []string{}
	for _, p := range list {
		out = append(out, string(p))
	}
	return out
}

func TestElements(t *testing.T) {
	deep := strings.Repeat("[", 1<<20) + strings.Repeat("]", 1<<20)
	for text, want := range map[string][]string{
		"":                                {},
		"null":                            {},
		" [ ] ":                           {},
		`[1, "a,]\"\\", {"b":[2,3]} ,[]]`: {"1", `"a,]\"\\"`, `{"b":[2,3]}`, "[]"},
		`[{},` + deep + `,{"c":1e400}]`:   {"{}", deep, `{"c":1e400}`},
		`[x,{"a" b},1]`:                   {"x", `{"a" b}`, "1"},
	} {
		got, err := parts.Elements([]byte(text))
		assert.NilError(t, err)
		assert.DeepEqual(t, texts(got), want)
	}
}

func TestMembers(t *testing.T) {
	deep := strings.Repeat(`{"a":`, 1<<18) + "1" + strings.Repeat("}", 1<<18)
	got, err := parts.Members([]byte(` {"a" : 1, "b:\u00e9" :"x,}" , "c":` + deep + `,"d":{"e":[]}}` + "\n"))
	assert.NilError(t, err)
	assert.Equal(t, len(got), 4)
	assert.Equal(t, string(got["a"]), "1")
	assert.Equal(t, string(got["b:é"]), `"x,}"`)
	assert.Equal(t, string(got["c"]), deep)
	assert.Equal(t, string(got["d"]), `{"e":[]}`)
}

func TestSyntax(t *testing.T) {
	for _, text := range []string{"x", "{", "[", `["]`, "[[]", "[]]", "[1]2", `["\"]`, "[1}", "[}]"} {
		_, err := parts.Elements([]byte(text))
		assert.Equal(t, fault.KindOf[parts.Kind](err), parts.KindSyntax, "%q", text)
	}
	for _, text := range []string{"", "null", "[]", "{", `{"a"}`, `{a:1}`, `{"a":1,}`, `{"a":[}`, `{"a" 1}`, `{"\x":1}`} {
		_, err := parts.Members([]byte(text))
		assert.Equal(t, fault.KindOf[parts.Kind](err), parts.KindSyntax, "%q", text)
	}
}

// TestLikeJSON checks that lists that package json accepts have the same parts.
func TestLikeJSON(t *testing.T) {
	value := rapid.Custom(func(t *rapid.T) string {
		data, err := json.Marshal(map[string]any{
			rapid.String().Draw(t, "name"):  rapid.SliceOf(rapid.String()).Draw(t, "strings"),
			rapid.String().Draw(t, "other"): rapid.MapOf(rapid.String(), rapid.Float64Range(-1e9, 1e9)).Draw(t, "numbers"),
		})
		assert.NilError(t, err)
		return string(data)
	})
	rapid.Check(t, func(t *rapid.T) {
		list := rapid.SliceOf(value).Draw(t, "list")
		blank := rapid.SampledFrom([]string{"", " ", "\n\t"}).Draw(t, "blank")
		got, err := parts.Elements([]byte("[" + blank + strings.Join(list, blank+","+blank) + blank + "]"))
		assert.NilError(t, err)
		assert.DeepEqual(t, texts(got), append([]string{}, list...))
		for _, text := range list {
			var want map[string]json.RawMessage
			assert.NilError(t, json.Unmarshal([]byte(text), &want))
			members, err := parts.Members([]byte(text))
			assert.NilError(t, err)
			assert.DeepEqual(t, members, want)
		}
	})
}
