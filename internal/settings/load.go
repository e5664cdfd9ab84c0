package settings

import (
	"os"

	"github.com/pkg/errors"
)

// maxFileBytes bounds the size of a settings file. Typical files have about 1 KB.
const maxFileBytes = 1 << 20

// Load reads and checks the settings file. It returns a *FaultsError if the file can be read but is not valid.
func Load(path string) (*Settings, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return nil, errors.Wrap(err, "settings")
	}
	return Parse(path, data)
}

// Parse reads and checks the content of a settings file. name is the file name that the faults contain. It returns a
// *FaultsError if the content is not valid.
func Parse(name string, data []byte) (*Settings, error) {
	c := &checker{file: name}
	settings := c.check(data)
	if len(c.faults) > 0 {
		return nil, newFaultsError(c.faults)
	}
	return settings, nil
}
