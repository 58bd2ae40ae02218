/** Why a server closes the connection of a client: `sentAhead`, it sent more requests ahead than the limits allow. */
export type CloseReason = 'sentAhead'
