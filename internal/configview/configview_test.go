package configview

import (
	"testing"

	"gotest.tools/v3/assert"

	catalogpb "balsamcourse.example/balsamcourse/api/catalog/v1"
)

func TestServiceForPathReturnsLongestMatchingPrefix(t *testing.T) {
	services := []*catalogpb.Service{
		{Name: "photos", PathPrefix: "/photos"},
		{Name: "raw", PathPrefix: "/photos/raw/"},
		{Name: "search", PathPrefix: "/search"},
	}
	root := append([]*catalogpb.Service{{Name: "root", PathPrefix: "/"}}, services...)
	cases := []struct {
		path, want, wantRoot string
	}{
		{"/photos", "photos", "photos"},
		{"/photos/", "photos", "photos"},
		{"/photos/1", "photos", "photos"},
		{"/photos/raw", "raw", "raw"},
		{"/photos/raw/1/2", "raw", "raw"},
		{"/photos/rawer", "photos", "photos"},
		{"/photosets", "", "root"},
		{"/search/photos", "search", "search"},
		{"/", "", "root"},
		{"", "", "root"},
		{"*", "", ""},
	}
	for _, tc := range cases {
		t.Run(tc.path, func(t *testing.T) {
			assert.Equal(t, New(&catalogpb.Config{Services: services}).ServiceForPath(tc.path).GetName(), tc.want)
			assert.Equal(t, New(&catalogpb.Config{Services: root}).ServiceForPath(tc.path).GetName(), tc.wantRoot)
		})
	}
}

func TestZoneIsOpenOnlyInStatesThatAcceptWork(t *testing.T) {
	open := map[catalogpb.ZoneState]bool{
		catalogpb.ZoneState_ZONE_STATE_IN:        true,
		catalogpb.ZoneState_ZONE_STATE_RETURNING: true,
	}
	for n, name := range catalogpb.ZoneState_name {
		t.Run(name, func(t *testing.T) {
			state := catalogpb.ZoneState(n)
			v := New(&catalogpb.Config{Zones: []*catalogpb.Zone{{Name: "a", State: state}}})
			assert.Equal(t, v.ZoneOpen("a"), open[state])
			assert.Assert(t, !v.ZoneOpen("b"))
		})
	}
}
