// Package owner is the shell of the group aggregate. For each group with a
// backend server whose home role this host holds, it polls databases over its
// own monitor connections, feeds the machine of internal/group and performs the
// machine's actions. Home hosts ask it whether answers of the primary may be
// passed on. See docs/design.md, sections 5, 6 and 13.
package owner
