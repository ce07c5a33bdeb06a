package bffleet

import (
	"bytes"
	"compress/gzip"
	"crypto/rand"
	"crypto/sha256"
	"encoding/base32"
	"encoding/hex"
	"fmt"
	"strings"
	"testing"

	"briarferry"
	"briarferry/internal/state/bfcodec"
)

// maxCommandBytes is the size limit of commands in the Raft log.
const maxCommandBytes = 1 << 20

var testSalt = bytes.Repeat([]byte{7}, briarferry.KeySaltBytes)

// organisations returns organisations with some random keys each.
func organisations(n, keys int) (list []briarferry.Organisation, source string) {
	var b strings.Builder
	for i := range n {
		o := briarferry.Organisation{Name: fmt.Sprintf("organisation-%04d", i), Quota: briarferry.Quota{Rate: 942, Burst: 942}}
		fmt.Fprintf(&b, `{"name":%q,"ratePerS":942,"burst":942,"apiKeys":[`, o.Name)
		for range keys {
			var raw [20]byte
			_, _ = rand.Read(raw[:])
			key := base32.StdEncoding.EncodeToString(raw[:])
			o.Keys = append(o.Keys, briarferry.DigestKey(testSalt, key))
			fmt.Fprintf(&b, `%q,`, key)
		}
		b.WriteString("]},")
		list = append(list, o)
	}
	return list, b.String()
}

// TestChangeOfOneKey guards against a change of one organisation that sends the others too,
// and against one that leaves a withdrawn key or a removed organisation in the entry's table.
func TestChangeOfOneKey(t *testing.T) {
	const maxBytes = 500
	m, index := New(), uint64(0)
	first := table(1)
	first.Organisations, _ = organisations(2000, 2)
	first.KeySalt = testSalt
	apply(t, m, &index, putTable(0, first))
	entry, _ := (&State{}).Apply(m.State().UpdateSince(0, true))
	second := table(2)
	second.KeySalt = testSalt
	second.Organisations = append(second.Organisations, first.Organisations[1:]...)
	second.Organisations[4].Keys = second.Organisations[4].Keys[:1]
	apply(t, m, &index, putTable(1, second))
	u := m.State().UpdateSince(entry.Revision, true)
	data, err := bfcodec.Marshal(u)
	if err != nil {
		t.Fatal(err)
	}
	if u.RouteChange == nil || len(data) > maxBytes {
		t.Errorf("the change has %d bytes, want at most %d", len(data), maxBytes)
	}
	if next, newer := entry.Apply(u); !newer || !sameTables(next.Routes, m.State().Routes) {
		t.Error("the entry's table differs from that of the control VM")
	}
}

// TestTableWithoutOrganisations guards against an encoding that earlier versions of entries
// and control VMs don't know although the table has no organisations.
func TestTableWithoutOrganisations(t *testing.T) {
	tab := table(1)
	c := RouteChange{Base: 1, Version: 2, Services: tab.Services}
	for name, v := range map[string]any{"table": &tab, "change": &c} {
		data, err := bfcodec.Marshal(v)
		if err != nil {
			t.Fatal(err)
		}
		keys := map[uint64]any{}
		if err := bfcodec.Unmarshal(data, &keys); err != nil {
			t.Fatal(err)
		}
		if len(keys) != 4 {
			t.Errorf("%s has %d fields, want 4: %s", name, len(keys), hex.EncodeToString(data))
		}
	}
}

// TestRouteChangeFindings guards against a change with invalid organisations that is applied.
func TestRouteChangeFindings(t *testing.T) {
	list, _ := organisations(2, 1)
	valid := RouteChange{Base: 1, Version: 2, ChangedOrganisations: list, KeySalt: testSalt}
	if f := valid.Validate(); len(f) > 0 {
		t.Error(f)
	}
	shared := valid
	shared.ChangedOrganisations = []briarferry.Organisation{list[0], {Name: "other", Keys: list[0].Keys}}
	short, many := valid, valid
	short.KeySalt = testSalt[1:]
	many.RemovedOrganisations = make([]string, briarferry.MaxOrganisations+1)
	for place, c := range map[string]RouteChange{"changed.organisations[1].keys[0]": shared, "changed.key_salt": short, "removed_organisations": many} {
		if f := c.Validate(); !strings.Contains(f.Error(), place) {
			t.Errorf("findings %q do not name %s", f, place)
		}
	}
}

// TestCommandWithAllOrganisations guards against a table with as many organisations as are
// allowed that doesn't fit into a command, with one key each.
func TestCommandWithAllOrganisations(t *testing.T) {
	for _, keys := range []int{1, 2, 3} {
		tab := table(1)
		var source string
		tab.Organisations, source = organisations(briarferry.MaxOrganisations, keys)
		tab.KeySalt = testSalt
		var compressed bytes.Buffer
		w := gzip.NewWriter(&compressed)
		_, _ = w.Write([]byte(source))
		_ = w.Close()
		digest := sha256.Sum256([]byte(source))
		c := Command{PutRoutes: &PutRoutes{Table: tab, Source: compressed.Bytes(), Digest: digest[:]}}
		data, err := c.Encode()
		if err != nil {
			t.Fatal(err)
		}
		plain, _ := bfcodec.Marshal(&tab)
		t.Logf("%d keys each: command %d bytes, table %d, compressed document %d", keys, len(data), len(plain), compressed.Len())
		if keys == 1 && (len(data) > maxCommandBytes || len(c.Validate()) > 0) {
			t.Errorf("the command has %d bytes, findings %v", len(data), c.Validate())
		}
	}
}
