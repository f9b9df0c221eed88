package owner_test

import (
	"fmt"
	"testing"

	"gotest.tools/v3/assert"

	"rosemarygrade.dev/entryd/pkg/owner"
	"rosemarygrade.dev/lib/pkg/model"
	"rosemarygrade.dev/lib/pkg/peerpb"
)

// BenchmarkDirectory measures how long it takes to rebuild the directory and to choose the owners
// of all sites, as after a change of members or configuration, in 102 data centres of 31 entryd
// processes each.
func BenchmarkDirectory(b *testing.B) {
	const centres, hosts = 102, 31
	var members []*peerpb.Member
	var objects []model.Object
	add := func(kind, name, spec string) {
		o, err := model.Parse(kind, name, []byte(spec))
		assert.NilError(b, err)
		objects = append(objects, o)
	}
	for c := range centres {
		dc := fmt.Sprintf("d%d", c)
		add("region", "r"+dc, fmt.Sprintf(`{"dataCentres":[%q],"maxHosts":40}`, dc))
		for h := range hosts {
			members = append(members, &peerpb.Member{
				Incarnation: uint64(c*hosts + h + 1), Role: peerpb.Role_ROLE_ENTRYD, Host: fmt.Sprintf("%s-%d", dc, h), DataCentre: dc, Region: "r" + dc,
			})
		}
	}
	for _, n := range []int{210, 1050, 2100} {
		for len(objects) < centres+n {
			i := len(objects)
			add("placement", fmt.Sprint("p", i), fmt.Sprintf(`{"service":"s%d","servers":[{"address":"127.0.0.1:1","dataCentre":"d%d","slots":1}]}`, i, i%centres))
		}
		snap := model.NewSnapshot(objects)
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			for b.Loop() {
				d := owner.NewDirectory(snap, members)
				for _, s := range snap.Sites() {
					d.Owner(s)
				}
			}
		})
	}
}
