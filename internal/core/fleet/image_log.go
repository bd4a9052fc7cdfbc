package fleet

import "sort"

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
	var r ImageRecord
	index := map[string]int{}
	takes := func(name string, images []Image) int {
		n := hereBytes + len(name) + indexBytes*len(images)
		for _, i := range images {
			if _, known := index[i.Name]; !known {
				n += sizeBytes + len(i.Name)
			}
		}
		return n
	}
	size := 0
	for _, name := range sortedNames(has) {
		images := has[name]
		for len(r.Machines) == 0 && len(images) > 0 && takes(name, images) > maxBytes {
			images = images[1:]
		}
		if size += takes(name, images); size > maxBytes && len(r.Machines) > 0 {
			break
		}
		here := ImagesHere{Machine: name}
		for _, i := range images {
			at, known := index[i.Name]
			if !known {
				at = len(r.Images)
				index[i.Name] = at
				r.Images = append(r.Images, ImageSize{Name: i.Name, GB: i.GB})
			}
			here.Images = append(here.Images, at)
		}
		r.Machines = append(r.Machines, here)
	}
	return r
}

func sortedNames(has map[string][]Image) []string {
	out := make([]string, 0, len(has))
	for name := range has {
		out = append(out, name)
	}
	sort.Strings(out)
	return out
}

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
