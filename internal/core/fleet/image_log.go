package fleet

import (
	"maps"
	"slices"
)

// ImageRecord is one value of the image log: which images machines are believed to have. It is
// only a hint that saves fetches after a change of leader: it may be outdated, and its loss costs
// nothing but time.
type ImageRecord struct {
	Images   []ImageSize     `cbor:"i"`
	Machines []MachineImages `cbor:"m"`
}

// ImageSize is an image with its size.
type ImageSize struct {
	_    struct{} `cbor:",toarray"`
	Name string
	GB   float64
}

// MachineImages lists the images of one machine, as indexes into the record's Images, the most
// recently used last.
type MachineImages struct {
	_       struct{} `cbor:",toarray"`
	Machine string
	Images  []int
}

// Approximate sizes of the parts of a record in bytes, in the JSON form by which the state service
// counts sizes: of a machine without its name, of one index of an image, and of an image without
// its name.
const (
	recordMachineBytes = 20
	recordIndexBytes   = 5
	recordImageBytes   = 40
)

// RecordImages returns a record of the machines' images, in the order of the machines' names, that
// takes no more than maxBytes, by estimate. Machines that don't fit are left out. The first machine
// is always included, if need be only with as many of its most recently used images as fit.
func RecordImages(byMachine map[string][]Image, maxBytes int) ImageRecord {
	b := imageRecordBuilder{index: map[string]int{}}
	for _, machine := range sortedNames(byMachine) {
		images := byMachine[machine]
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

// imageRecordBuilder builds a record of the image log.
type imageRecordBuilder struct {
	record ImageRecord
	index  map[string]int // indexes into record.Images by name
	bytes  int            // estimated size of the record
}

// bytesFor estimates how many bytes a machine with its images adds to the record.
func (b *imageRecordBuilder) bytesFor(machine string, images []Image) int {
	n := recordMachineBytes + len(machine) + recordIndexBytes*len(images)
	for _, i := range images {
		if _, known := b.index[i.Name]; !known {
			n += recordImageBytes + len(i.Name)
		}
	}
	return n
}

// add appends a machine with its images to the record.
func (b *imageRecordBuilder) add(machine string, images []Image) {
	entry := MachineImages{Machine: machine}
	for _, i := range images {
		index, known := b.index[i.Name]
		if !known {
			index = len(b.record.Images)
			b.index[i.Name] = index
			b.record.Images = append(b.record.Images, ImageSize{Name: i.Name, GB: i.GB})
		}
		entry.Images = append(entry.Images, index)
	}
	b.record.Machines = append(b.record.Machines, entry)
}

func sortedNames(byMachine map[string][]Image) []string { return slices.Sorted(maps.Keys(byMachine)) }

// Each calls fn for each machine in the record, with its images. Indexes without an image are
// skipped.
func (r *ImageRecord) Each(fn func(machine string, images []Image)) {
	for _, m := range r.Machines {
		var images []Image
		for _, at := range m.Images {
			if at >= 0 && at < len(r.Images) {
				images = append(images, Image{Name: r.Images[at].Name, GB: r.Images[at].GB})
			}
		}
		fn(m.Machine, images)
	}
}
