package routeconfig_test

import (
	"testing"

	"github.com/stretchr/testify/assert"

	"hazelwheel/internal/routeconfig"
)

func TestUnknownFields(t *testing.T) {
	config := `{"Version":7,"Later":{"Secret":"k1"},"Routes":[{"Name":"a","Shape":1},{"Shape":"k2","Name":"b"}]}`
	assert.Equal(t, []string{"Later", "Routes[].Shape"}, routeconfig.UnknownFields([]byte(config)))
	assert.Empty(t, routeconfig.UnknownFields([]byte(validConfig[:40])))
}
