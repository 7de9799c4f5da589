package key_test

import (
	"fmt"
	"strings"
	"testing"

	"heatherrelay/internal/key"
)

func ExampleParseOperatorKeys() {
	k, other := key.Generate(), key.Generate()
	operators, err := key.ParseOperatorKeys(k.ID + ":" + k.Hash())
	fmt.Println(len(operators), err, k.IsOperator(operators), other.IsOperator(operators))
	// Output: 1 <nil> true false
}

func TestParseOperatorKeysRejectsMalformedEntries(t *testing.T) {
	hash := key.Generate().Hash()
	for _, text := range []string{"a", "a:", ":" + hash, "a:" + hash[1:], "a:" + strings.ToUpper(hash), "a b:" + hash, "a/b:" + hash} {
		if operators, err := key.ParseOperatorKeys(text); !key.ErrInvalidOperatorKeys.Has(err) {
			t.Errorf("%q: %v, %v", text, operators, err)
		}
	}
	if operators, err := key.ParseOperatorKeys("  "); err != nil || len(operators) != 0 {
		t.Errorf("no keys: %v, %v", operators, err)
	}
}
