package main

import (
	"encoding/binary"
	"fmt"
	"math/bits"
	"math/rand"
	"time"
)

func init() { cases["prepared"] = preparedCase }

// XXH64, as its specification defines it.
const (
	prime1 uint64 = 0x9E3779B185EBCA87
	prime2 uint64 = 0xC2B2AE3D27D4EB4F
	prime3 uint64 = 0x165667B19E3779F9
	prime4 uint64 = 0x85EBCA77C2B2AE63
	prime5 uint64 = 0x27D4EB2F165667C5
)

func round64(acc, x uint64) uint64 { return bits.RotateLeft64(acc+x*prime2, 31) * prime1 }

// inverse returns the inverse of an odd number modulo 2^64.
func inverse(a uint64) uint64 {
	x := a
	for range 6 {
		x *= 2 - a*x
	}
	return x
}

func avalanche(h uint64) uint64 {
	h ^= h >> 33
	h *= prime2
	h ^= h >> 29
	h *= prime3
	return h ^ h>>32
}

func unAvalanche(h uint64) uint64 {
	h ^= h >> 32
	h *= inverse(prime3)
	h ^= h>>29 ^ h>>58
	h *= inverse(prime2)
	return h ^ h>>33
}

// absorb returns the state after the whole 8-byte words of a text of fewer than 32 bytes.
func absorb(text []byte) uint64 {
	h := prime5 + uint64(len(text))
	for ; len(text) >= 8; text = text[8:] {
		h ^= round64(0, binary.LittleEndian.Uint64(text))
		h = bits.RotateLeft64(h, 27)*prime1 + prime4
	}
	if len(text) >= 4 {
		h ^= uint64(binary.LittleEndian.Uint32(text)) * prime1
		h = bits.RotateLeft64(h, 23)*prime2 + prime3
		text = text[4:]
	}
	for _, b := range text {
		h ^= uint64(b) * prime5
		h = bits.RotateLeft64(h, 11) * prime1
	}
	return h
}

func xxh64(text string) uint64 { return avalanche(absorb([]byte(text))) }

const letters = "abcdefghijklmnopqrstuvwxyz0123456789ABCDEFGHIJKLMNOPQRSTUVWXYZ"

// sameHash returns a text of 24 letters and digits, beginning with the prefix of 8 bytes, that
// has the same hash as the given text of fewer than 32 bytes.
func sameHash(target, prefix string) string {
	want := unAvalanche(xxh64(target))
	rng := rand.New(rand.NewSource(1))
	text := make([]byte, 24)
	copy(text, prefix)
	var allowed [256]bool
	for _, c := range []byte(letters) {
		allowed[c] = true
	}
	// The state before the last word must be x, so that x ^ round(0, word), rotated, times
	// prime1 plus prime4 is what is wanted.
	last := bits.RotateLeft64((want-prime4)*inverse(prime1), -27)
	for {
		for i := 8; i < 16; i++ {
			text[i] = letters[rng.Intn(len(letters))]
		}
		h := prime5 + 24
		for i := 0; i < 16; i += 8 {
			h ^= round64(0, binary.LittleEndian.Uint64(text[i:]))
			h = bits.RotateLeft64(h, 27)*prime1 + prime4
		}
		word := bits.RotateLeft64((h^last)*inverse(prime1), -31) * inverse(prime2)
		binary.LittleEndian.PutUint64(text[16:], word)
		ok := true
		for _, c := range text[16:] {
			ok = ok && allowed[c]
		}
		if ok {
			return string(text)
		}
	}
}

// preparedCase lets two sessions of a tenant prepare two statements with different shapes.
func preparedCase(d *deployment, trouble bool) (bool, error) {
	const shape = "q2c"
	other := "q9f"
	if trouble {
		other = sameHash(shape, "q9f00000")
		if xxh64(other) != xxh64(shape) {
			return false, fmt.Errorf("no shape with the same hash")
		}
	}
	if err := d.addGroup("ledger", 2); err != nil {
		return false, err
	}
	d.addRoute("bookings", "primary", "ledger", 800, 100, 0)
	d.addTenant("kandy", "u6wsjnbanfqasnmgkcuy", "j8pjbvk9m68k7b2ex5wa")
	d.configure()
	if err := d.startHosts(9); err != nil {
		return false, err
	}
	time.Sleep(3 * time.Second)
	prepared := map[string]string{}
	execute := func(host int, name, key, shape string) error {
		c, err := connectAny(d, host, name, "bookings", key)
		if err != nil {
			return err
		}
		defer c.close()
		if r, err := c.query("PREPARE s1 WRITE "+shape, time.Second); err != nil || !r.ok() {
			return fmt.Errorf("prepare: %v %s", err, r.code)
		}
		for i := range 3 {
			r, err := c.query(fmt.Sprintf("EXECUTE s1 roller%d %s", i, name), time.Second)
			if err != nil {
				return err
			}
			prepared[r.id] = "WRITE " + shape
		}
		return nil
	}
	for i := range 5 {
		if err := execute(i, fmt.Sprintf("foreman-%d", i+1), "j8pjbvk9m68k7b2ex5wa", other); err != nil {
			return false, err
		}
		if err := execute(i+4, fmt.Sprintf("clerk-%d", i+1), "u6wsjnbanfqasnmgkcuy", shape); err != nil {
			return false, err
		}
	}
	time.Sleep(500 * time.Millisecond)
	d.record.mu.Lock()
	runs := append([]run(nil), d.record.runList...)
	d.record.mu.Unlock()
	wrong, total := 0, 0
	for _, x := range runs {
		want, ok := prepared[x.id]
		if !ok {
			continue
		}
		total++
		if x.shape != want {
			wrong++
			d.record.add("check", fmt.Sprintf("statement id=%s ran the shape %q, its client had prepared %q", x.id, x.shape, want))
		}
	}
	d.record.add("check", fmt.Sprintf("%d of %d prepared statements ran another shape", wrong, total))
	if total == 0 {
		return false, fmt.Errorf("no prepared statement ran")
	}
	return wrong > 0, nil
}
