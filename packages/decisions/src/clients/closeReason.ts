/**
 * Why a server closes the connection of a client: `sentAhead`, it sent more requests ahead than the limits allow; `waited`, it sent no whole head of a
 * request while others needed its place; `idle`, it was between two requests while others needed its place; `noPlace`, it was new and all places were in
 * use.
 */
export type CloseReason = 'sentAhead' | 'waited' | 'idle' | 'noPlace'
