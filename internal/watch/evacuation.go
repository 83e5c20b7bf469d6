package watch

import (
	"github.com/magnoliawheel/magnoliawheel/internal/clock"
	"github.com/magnoliawheel/magnoliawheel/platform"
)

// applyEvacuations applies the evacuations among the records, and returns the records that
// changed anything.
func (c *Config) applyEvacuations(records []platform.KeyedRecord, set recordSet) []platform.KeyedRecord {
	var zones []string
	var applied []platform.KeyedRecord
	for _, rec := range records {
		zone, ok, err := platform.EvacuatedZone(rec.Key)
		if err != nil {
			c.rejectedEvacuations.Add(rec, err)
			continue
		}
		if !ok {
			continue
		}
		switch {
		case set != newRecords:
			if !rec.Deleted {
				zones = append(zones, zone)
			}
		case rec.Deleted:
			if c.evacuations.End(zone) {
				applied = append(applied, rec)
				c.evacuationsChanged(nil, []string{zone})
			}
		default:
			if c.evacuations.Begin(zone) {
				applied = append(applied, rec)
				c.evacuationsChanged([]string{zone}, nil)
			}
		}
	}
	switch set {
	case newestRecords:
		c.evacuationsChanged(c.evacuations.Listed(zones))
	case restoredRecords:
		c.evacuationsChanged(c.evacuations.Restored(clock.Now(), zones), nil)
	}
	return applied
}

// evacuationsChanged reports the zones whose evacuation began or ended.
func (c *Config) evacuationsChanged(began, ended []string) {
	for _, zone := range began {
		c.log.Info("Zone evacuated.", "zone", zone)
		c.onEvacuation(zone, true)
	}
	for _, zone := range ended {
		c.log.Info("Evacuation of a zone ended.", "zone", zone)
		c.onEvacuation(zone, false)
	}
}
