package medlarlease_test

import (
	"fmt"
	"testing"

	"medlarwheel"
	"medlarwheel/medlarlease"
)

func BenchmarkPlanShards(b *testing.B) {
	config := medlarlease.Default()
	var live []medlarlease.Member
	for i := range 9 {
		live = append(live, medlarlease.Member{Instance: medlarwheel.InstanceID(fmt.Sprintf("e%d", i)), Incarnation: 1})
	}
	current, _ := config.PlanShards(medlarlease.NewShardMap("dc1"), live)
	b.ReportAllocs()
	for b.Loop() {
		if _, changed := config.PlanShards(current, live[1:]); !changed {
			b.Fatal("the dead member's shards did not move")
		}
	}
}
