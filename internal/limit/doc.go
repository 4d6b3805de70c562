// Package limit runs the distributed rate limiter of internal/customer. A Limiter
// admits requests on an entry host: it drives one Spender for each customer and
// carries its grant requests and settlements to the holders of the minter roles.
// Minters serves these calls for the minter roles that this host holds. A minter role
// covers one zone and a part of the customers; its holder runs one Minter for each of
// these customers.
package limit
