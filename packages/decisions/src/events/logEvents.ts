/**
 * Log events: every log line carries one numbered entry of this table. docs/EVENTS.md is the
 * catalogue for people; a test compares the two. Numbers are never used again for another meaning.
 */
import * as z from 'zod'

/** Shape of one entry of the table. */
export const logEventSchema = z.object({
  number: z.number().int().positive(),
  level: z.enum(['debug', 'info', 'warn', 'error']),
  /** One line for people: when it is written and what its fields are. */
  title: z.string().min(1)
})
export type LogEvent = z.infer<typeof logEventSchema>

/** 1xxx process, 2xxx budgets, 3xxx requests, 4xxx routing and placement, 5xxx configuration, 6xxx platform and peers. */
export const logEvents = {
  started: { number: 1001, level: 'info', title: 'The VM listens; fields: addresses, domain, holder' },
  draining: { number: 1002, level: 'info', title: 'The VM began to drain; fields: open requests' },
  stopped: { number: 1003, level: 'info', title: 'The VM stopped; fields: open requests, unsettled bills' },
  clockJumped: { number: 1004, level: 'warn', title: 'A clock jumped: the process was paused or the clock was set; fields: jumpMs' },
  frontPressed: { number: 1005, level: 'warn', title: 'New connections wait for this VM, or its event loop was held up; fields: spanMs, taken (connections; the event loop takes one a turn), turns, unused (closed before a request), dropped (closed at once), requests, longestMs (between two ticks), open, isReady' },
  digestFollowed: { number: 1006, level: 'info', title: 'This VM began or ceased to rely on the digest of the tables of heartbeats; fields: isFollowed, entries (in the digest)' },
  fault: { number: 1099, level: 'error', title: 'An unexpected fault of the program; fields: err' },

  budgetDrawn: { number: 2001, level: 'info', title: 'Tokens were drawn from the table into the allotment; fields: budget, tokens, left' },
  budgetFlushed: { number: 2002, level: 'info', title: 'Bills were made durable; fields: seq, bills, tokens' },
  budgetTransferred: { number: 2003, level: 'info', title: 'Tokens moved between VMs of a domain; fields: budget, tokens, from, to' },
  budgetRecalled: { number: 2004, level: 'info', title: 'Other holders were asked to return tokens; fields: budget, tokens' },
  budgetReturned: { number: 2005, level: 'info', title: 'Unspent tokens went back to the table; fields: budget, tokens' },
  budgetRecovered: { number: 2006, level: 'warn', title: 'The allotment of a dead holder was recovered; fields: ended, billed, returned, reports with what they allowed and their age' },
  budgetFault: { number: 2007, level: 'warn', title: 'A budget operation failed and will be tried again; fields: operation, code' },
  allotmentClosed: { number: 2008, level: 'error', title: 'This holder found its allotment closed and stopped spending; fields: budget' },
  billsArchived: { number: 2009, level: 'info', title: 'Old bills went from the table to the object store; fields: object, segments' },

  budgetGiven: { number: 2010, level: 'info', title: 'Tokens were billed here and given to another VM that asked for them; fields: budget, tokens, to, left' },
  budgetGiftsTaken: { number: 2011, level: 'info', title: 'Other VMs were asked for tokens; fields: budget, asked, tokens, peers (how many were asked), tookMs' },
  budgetHandedOver: { number: 2013, level: 'info', title: 'This VM ends and left tokens to another one, without the table; fields: budget, tokens, isTaken' },
  budgetGiftLate: { number: 2014, level: 'info', title: 'Tokens came after the ask for them was given up, and are kept for later requests; fields: budget, tokens, from' },
  fleetKeyMissing: { number: 2012, level: 'warn', title: 'The key of the links between VMs could not be had from the table and will be asked for again; fields: code' },

  requestAccepted: { number: 3001, level: 'info', title: 'A request was admitted; fields: request, team, model, reserved' },
  requestAnswered: { number: 3002, level: 'info', title: 'A whole answer was sent; fields: request, runner, tokens or events, route, firstMs (until the first event), totalMs' },
  requestRefused: { number: 3003, level: 'info', title: 'A request was refused; fields: request, team, code, ran, retryAfterMs' },
  requestFailed: { number: 3004, level: 'warn', title: 'A request failed after dispatch; fields: request, code, ran' },
  requestJoined: { number: 3005, level: 'info', title: 'A repeat joined the run of an earlier request; fields: request, runner' },
  callClaimed: { number: 3006, level: 'info', title: 'A non-repeatable call was claimed; fields: request, service' },
  callerGone: { number: 3007, level: 'info', title: 'The caller closed the connection; fields: request, cancelled' },

  routed: { number: 4001, level: 'info', title: 'A routing decision; fields: request, promptTokens, sharedTokens, candidates, paused (left out, as they asked this VM to wait), choice, reason, work' },
  routeRefused: { number: 4002, level: 'info', title: 'No runner was chosen; fields: request, candidates, reason' },
  runnerState: { number: 4003, level: 'warn', title: 'A runner changed state as this VM sees it: active, leaving, paused, ejected or notLoaded; fields: runner, state, reason, pauseMs' },
  placed: { number: 4004, level: 'info', title: 'A placement decision; fields: runner, order, reason' },
  placementFault: { number: 4005, level: 'warn', title: 'An order of placement failed or its outcome is not known; fields: runner, order, code, detail' },
  attemptFailed: { number: 4006, level: 'warn', title: 'An attempt at a runner did not end whole; fields: request, runner, code, ran, retried (another runner is tried if one is left), detail' },

  targetsRead: { number: 4007, level: 'info', title: 'The whole register of targets was read; fields: targets' },

  requestSuspected: { number: 4008, level: 'warn', title: 'A target ended while a request was open there; fields: request, digest (names the request when it comes again), runner, startedAt' },
  requestQuarantined: { number: 4009, level: 'error', title: 'A request is not sent on any more, as targets ended each time it ran; fields: digest, runners, level (how often it was quarantined), by' },
  quarantineLifted: { number: 4010, level: 'warn', title: 'An operator lifted the suspicion from a request; fields: digest, processes' },
  domainEvacuated: { number: 4011, level: 'warn', title: 'Operators evacuated a failure domain, or took that back; fields: domain, isEvacuated, targets (listed there now)' },
  targetReported: { number: 4012, level: 'info', title: 'A target said of itself in an answer that it is leaving, or for how long it wants no request of this VM; fields: request, runner, startedAt, isLeaving, pauseMs, flaw (a time that cannot be read)' },

  configApplied: { number: 5001, level: 'info', title: 'A configuration version came into force; fields: version, source' },
  configAccepted: { number: 5002, level: 'info', title: 'A patch was accepted; fields: version, patchId, author' },
  configRefused: { number: 5003, level: 'info', title: 'A patch was refused; fields: base, patchId, code' },
  configUnreachable: { number: 5004, level: 'warn', title: 'The configuration could not be read; the version in force stays; fields: version, code' },
  configUnverified: { number: 5005, level: 'error', title: 'A source gave a version that does not verify, or another content for the version in force; fields: source, version, detail' },

  platformFault: { number: 6001, level: 'warn', title: 'A platform call failed; fields: service, operation, code' },
  peerFault: { number: 6002, level: 'warn', title: 'A peer call failed; fields: peer, method, code' },
  leaseTaken: { number: 6003, level: 'info', title: 'A lease was taken; fields: role, fencing' },
  leaseLost: { number: 6004, level: 'warn', title: 'A lease was lost; fields: role, fencing' },
  peerSeen: { number: 6005, level: 'info', title: 'A VM joined, left or is suspected; fields: peer, state, evidence' },
  connectionsSilent: { number: 6006, level: 'warn', title: 'An old connection got no answer while a new one did: idle connections are dropped; fields: by (store, peers or targets), since' }
} as const satisfies Record<string, LogEvent>

/** Name of a log event. */
export type LogEventName = keyof typeof logEvents

/** Where log lines go; the daemon binds bunyan, tests a list. */
export interface EventLog {
  /**
   * Writes one line.
   * @param event - name in the table of events
   * @param fields - the fields the table names
   */
  write (event: LogEventName, fields: Readonly<Record<string, unknown>>): void
}
