// Package maintenancesim simulates maintenance plans alone: sidecars that send requests to servers and apply what is committed, lease
// holders that carry out plans and are replaced at any instant, maintenance agents and operators, all determined by a seed. The
// decisions are those of package maintenance; membership, voters and peer connections are simulated. A checker that sees only what
// servers get, what agents do and what is committed looks for broken rules.
package maintenancesim
