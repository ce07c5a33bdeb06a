package bfstorage

import (
	"errors"
	"fmt"
	"io/fs"
	"path/filepath"

	"github.com/rotisserie/eris"
)

const formationFile = "formation"

// Formation is what a replica without a log must know after a restart to form its group.
type Formation struct {
	// MayForm is true if the data directory was first used when the whole system started for
	// the first time.
	MayForm bool
	// Former is the id of the replica whose new group this one may join as a first voter, or "".
	Former string
}

// SaveFormation replaces the stored Formation. It must be called by the goroutine that calls
// Save.
func (s *Storage) SaveFormation(f Formation) error {
	return s.write(func() error { return writeDurable(s.fs, s.dir, formationFile, encodeFormation(f)) })
}

func readFormation(fsys FS, dir string) (Formation, error) {
	data, err := fsys.ReadFile(filepath.Join(dir, formationFile))
	if errors.Is(err, fs.ErrNotExist) {
		return Formation{}, nil
	}
	if err != nil {
		return Formation{}, eris.Wrap(err, "bfstorage: read formation")
	}
	return decodeFormation(data)
}

func encodeFormation(f Formation) []byte {
	return withChecksum(fmt.Sprintf("briarferry %d %t %q", formatVersion, f.MayForm, f.Former))
}

func decodeFormation(data []byte) (Formation, error) {
	var version int
	var sum uint32
	var f Formation
	if _, err := fmt.Sscanf(string(data), "briarferry %d %t %q %x\n", &version, &f.MayForm, &f.Former, &sum); err != nil {
		return Formation{}, eris.Wrap(ErrCorrupt, "bfstorage: malformed formation file")
	}
	if version != formatVersion {
		return Formation{}, eris.Wrapf(ErrFormat, "bfstorage: formation file has version %d", version)
	}
	if string(encodeFormation(f)) != string(data) {
		return Formation{}, eris.Wrap(ErrCorrupt, "bfstorage: formation checksum")
	}
	return f, nil
}
