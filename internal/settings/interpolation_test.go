package settings_test

import (
	"strings"
	"testing"

	"github.com/sardinereach/sardinereach/internal/settings"
)

// Guards against values that are replaced by other values: the INI library expands %(name)s unless told otherwise.
func TestNoInterpolation(t *testing.T) {
	_, err := settings.Parse("x.ini", []byte(strings.Replace(minimal, "region = tas-south", "region = %(id)s", 1)))
	if err == nil || !strings.Contains(err.Error(), `"%(id)s" is not a name`) {
		t.Errorf("error %v", err)
	}
}
