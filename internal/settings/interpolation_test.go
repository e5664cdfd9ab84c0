package settings_test

import (
	"strings"
	"testing"

	"github.com/sardinereach/sardinereach/internal/settings"
)

// Guards against interpolation: by default the INI library replaces %(name)s with the value of another key.
func TestNoInterpolation(t *testing.T) {
	_, err := settings.Parse("x.ini", []byte(strings.Replace(minimal, "region = tas-south", "region = %(id)s", 1)))
	if err == nil || !strings.Contains(err.Error(), `"%(id)s" is not a name`) {
		t.Errorf("error %v", err)
	}
}
