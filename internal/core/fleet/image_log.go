package fleet

import (
	"maps"
	"slices"
)

// ImageRecord is one value of the image log: which images machines are believed
// to have. It is a hint that saves fetches after a change of leader, and proves
// nothing: it may be old, and losing it costs time only.
type ImageRecord struct {
	Images   []ImageSize  `cbor:"i"`
	Machines []ImagesHere `cbor:"m"`
}

// ImageSize is an image with its size.
type ImageSize struct {
	_    struct{} `cbor:",toarray"`
	Name string
	GB   float64
}

// ImagesHere is what one machine has, by place in the record's images, the most
// recently used last.
type ImagesHere struct {
	_       struct{} `cbor:",toarray"`
	Machine string
	Images  []int
}

// About what a machine, one of its images, and an image take of a record, in the
// JSON form that the state service counts in.
const (
	hereBytes  = 20
	indexBytes = 5
	sizeBytes  = 40
)

// RecordImages puts what is known of some machines into a record that takes no
// more than so many bytes; machines beyond that are left out. Of the first machine
// there is something in any case: its images that were used last.
func RecordImages(has map[string][]Image, maxBytes int) ImageRecord {
	b := imageRecordBuilder{index: map[string]int{}}
	for _, machine := range sortedNames(has) {
		images := has[machine]
		first := len(b.record.Machines) == 0
		for first && len(images) > 0 && b.bytesFor(machine, images) > maxBytes {
			images = images[1:]
		}
		b.bytes += b.bytesFor(machine, images)
		if b.bytes > maxBytes && !first {
			break
		}
		b.add(machine, images)
	}
	return b.record
}

// imageRecordBuilder puts together a record of the image log.
type imageRecordBuilder struct {
	record ImageRecord
	index  map[string]int // places of the record's images
	bytes  int            // about what the record takes
}

// bytesFor is about what a machine with its images adds to the record.
func (b *imageRecordBuilder) bytesFor(machine string, images []Image) int {
	n := hereBytes + len(machine) + indexBytes*len(images)
	for _, i := range images {
		if _, known := b.index[i.Name]; !known {
			n += sizeBytes + len(i.Name)
		}
	}
	return n
}

func (b *imageRecordBuilder) add(machine string, images []Image) {
	here := ImagesHere{Machine: machine}
	for _, i := range images {
		place, known := b.index[i.Name]
		if !known {
			place = len(b.record.Images)
			b.index[i.Name] = place
			b.record.Images = append(b.record.Images, ImageSize{Name: i.Name, GB: i.GB})
		}
		here.Images = append(here.Images, place)
	}
	b.record.Machines = append(b.record.Machines, here)
}

func sortedNames(has map[string][]Image) []string { return slices.Sorted(maps.Keys(has)) }

// Each calls fn with what the record says of each machine.
func (r *ImageRecord) Each(fn func(machine string, images []Image)) {
	for _, h := range r.Machines {
		var images []Image
		for _, at := range h.Images {
			if at >= 0 && at < len(r.Images) {
				images = append(images, Image{Name: r.Images[at].Name, GB: r.Images[at].GB})
			}
		}
		fn(h.Machine, images)
	}
}
