package main

import (
	"fmt"
	"time"
)

func init() { cases["rates"] = ratesCase }

func ratesCase(d *deployment, trouble bool) (bool, error) {
	if err := d.addGroup("ledger", 2); err != nil {
		return false, err
	}
	d.addRoute("fleet", "primary", "ledger", 1200, 300, 0)
	d.addRoute("zero", "primary", "ledger", 0, 0, 0)
	d.addTenant("kandy", "k1")
	for i, rb := range [][2]float64{{0, 0}, {0, 5}, {0.001, 0}, {0.001, 1}, {1e9, 1e9}, {5, 0}, {1e-12, 1e-12}} {
		d.tenants = append(d.tenants, map[string]any{"name": fmt.Sprintf("t%d", i), "api_keys": []string{fmt.Sprintf("q%d", i)}, "priority": 1, "rate_per_s": rb[0], "burst": rb[1]})
	}
	d.configure()
	if err := d.startHosts(6); err != nil {
		return false, err
	}
	time.Sleep(2 * time.Second)
	for i := range 7 {
		c, err := connectAny(d, i, "c", "fleet", fmt.Sprintf("q%d", i))
		if err != nil {
			fmt.Println(i, err)
			continue
		}
		ok, code := 0, ""
		began := time.Now()
		for range 30 {
			r, err := c.query("READ a", time.Second)
			if err != nil {
				fmt.Println(i, err)
				break
			}
			if r.ok() {
				ok++
			} else {
				code = r.code
			}
		}
		fmt.Println(i, ok, code, time.Since(began))
	}
	c, err := connectAny(d, 0, "c", "zero", "k1")
	if err == nil {
		r, err := c.query("READ a", time.Second)
		fmt.Println("zero", r, err)
	}
	time.Sleep(3 * time.Second)
	for _, h := range d.hosts {
		fmt.Println(h.name, h.isReady(), h.p.rss(), h.p.ends, cpu(h.p.pid()))
	}
	return false, nil
}

func cpu(pid int) string {
	data, _ := readFile(fmt.Sprintf("/proc/%d/stat", pid))
	return data
}
