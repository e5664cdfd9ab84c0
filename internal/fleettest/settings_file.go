package fleettest

import (
	"path/filepath"
	"strings"

	"github.com/pkg/errors"
	"gopkg.in/ini.v1"
)

// nodeSettings is the settings file of one daemon.
type nodeSettings struct {
	id        string
	domain    Domain
	callers   string
	peers     string
	operators string
	upstreams string
	store     string
	seeds     []string
	// extra overrides or adds keys, by section and key.
	extra map[string]map[string]string
}

// write writes the INI file into dir and returns its path.
func (s *nodeSettings) write(dir string) (string, error) {
	file := ini.Empty()
	for section, keys := range s.sections() {
		for key, value := range keys {
			if _, err := file.Section(section).NewKey(key, value); err != nil {
				return "", errors.Wrap(err, "settings file")
			}
		}
	}
	path := filepath.Join(dir, s.id+".ini")
	return path, errors.Wrap(file.SaveTo(path), "settings file")
}

func (s *nodeSettings) sections() map[string]map[string]string {
	sections := map[string]map[string]string{
		"node":   {"id": s.id, "region": s.domain.Region, "failure_domain": s.domain.Name},
		"listen": {"callers": s.callers, "peers": s.peers, "operators": s.operators, "upstreams": s.upstreams},
		"store":  {"address": s.store},
	}
	if len(s.seeds) > 0 {
		sections["peers"] = map[string]string{"seeds": strings.Join(s.seeds, ", ")}
	}
	for section, keys := range s.extra {
		if sections[section] == nil {
			sections[section] = map[string]string{}
		}
		for key, value := range keys {
			sections[section][key] = value
		}
	}
	return sections
}
