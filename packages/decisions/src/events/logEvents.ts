/**
 * Table of log events; every log line refers to one entry. docs/EVENTS.md is generated from this table, and a test compares the
 * two. Numbers are never reused for another event.
 */
import * as z from 'zod'

export const logEventSchema = z.object({
  number: z.number().int().positive(),
  level: z.enum(['debug', 'info', 'warn', 'error']),
  /** One line for operators: when it is written and what its fields are. */
  title: z.string().min(1)
})
export type LogEvent = z.infer<typeof logEventSchema>

/** 1xxx process, 2xxx budgets, 3xxx requests, 4xxx routing and placement, 5xxx configuration, 6xxx platform and peers. */
export const logEvents = {
  started: { number: 1001, level: 'info', title: 'The VM is listening; fields: addresses, domain, holder' },
  draining: { number: 1002, level: 'info', title: 'The VM started draining; fields: open requests' },
  stopped: { number: 1003, level: 'info', title: 'The VM stopped; fields: open requests, unsettled bills' },
  clockJumped: { number: 1004, level: 'warn', title: 'A clock jumped: the process was paused or the clock was set; fields: jumpMs' },
  frontPressed: { number: 1005, level: 'warn', title: 'New connections wait for this VM, or its event loop was blocked; fields: spanMs, taken (connections accepted; the event loop accepts one per turn), turns, unused (closed before a request), dropped (closed at once), requests, longestMs (longest time between two ticks), open, isReady' },
  digestFollowed: { number: 1006, level: 'info', title: 'This VM started or stopped relying on the digest of the heartbeat tables; fields: isFollowed, entries (in the digest)' },
  forwardingStarted: { number: 1010, level: 'info', title: 'This VM is overloaded and started forwarding new connections to other VMs; fields: share (of new connections), busyRatio (of the event loop), peers (VMs that get them), open (forwarded connections)' },
  forwardingEnded: { number: 1011, level: 'info', title: 'This VM serves all its new connections itself again; fields: busyRatio (of the event loop), peers (VMs that got them), open (forwarded connections)' },
  ingressClosed: { number: 1012, level: 'info', title: 'The VM that drains accepts no more connections of callers; fields: idle (connections closed between two requests), unused (open, nothing received), receiving (open, the head of a request is being received), open (requests)' },
  clientsClosed: { number: 1013, level: 'warn', title: 'A server closed connections of clients; written at most once a second for each server and reason; fields: server, reason (sentAhead: more requests were sent ahead than the limits allow; waited: no whole head of a request came while others needed the place; idle: between two requests while others needed the place; noPlace: new while all places were in use), closed (connections since the last such line)' },
  linesDropped: { number: 1014, level: 'warn', title: 'Log lines were dropped before this one, as earlier ones were not read from standard output; fields: dropped' },
  fault: { number: 1099, level: 'error', title: 'Unexpected internal error; fields: err' },

  budgetDrawn: { number: 2001, level: 'info', title: 'Tokens were drawn from the table into the allotment; fields: budget, tokens, left, paid and spent (of the budget, in total)' },
  budgetFlushed: { number: 2002, level: 'info', title: 'Bills were stored durably; fields: seq, bills, tokens' },
  budgetTransferred: { number: 2003, level: 'info', title: 'Tokens moved between VMs of a domain; fields: budget, tokens, from, to' },
  budgetRecalled: { number: 2004, level: 'info', title: 'A recall requested other holders to return tokens; fields: budget, tokens' },
  budgetReturned: { number: 2005, level: 'info', title: 'Unspent tokens were returned to the table; fields: budget, tokens' },
  budgetRecovered: { number: 2006, level: 'warn', title: 'The allotment of a terminated holder was recovered; fields: ended, billed, returned, reports (with the tokens they allowed and their age)' },
  budgetFault: { number: 2007, level: 'warn', title: 'A budget operation failed and will be retried; fields: operation, code' },
  allotmentClosed: { number: 2008, level: 'error', title: 'This holder found its allotment closed and stopped spending; fields: budget' },
  billsArchived: { number: 2009, level: 'info', title: 'Old bills were moved from the table to the object store; fields: object, segments' },

  budgetGiven: { number: 2010, level: 'info', title: 'Tokens were billed here and granted to another VM that requested them; fields: budget, tokens, to, left' },
  budgetGiftsTaken: { number: 2011, level: 'info', title: 'Tokens were requested from other VMs; fields: budget, asked (tokens requested), tokens (received), peers (number of VMs), tookMs' },
  budgetHandedOver: { number: 2013, level: 'info', title: 'This VM is terminating and handed tokens over to another VM, without the table; fields: budget, tokens, isTaken' },
  budgetGiftLate: { number: 2014, level: 'info', title: 'Granted tokens arrived after their request timed out, and are retained for later requests; fields: budget, tokens, from' },
  budgetHandedBack: { number: 2015, level: 'info', title: 'Granted tokens that were not used here were handed back to owners of their budgets; fields: budgets (number of them), tokens, kept (accepted by no owner)' },
  fleetKeyMissing: { number: 2012, level: 'warn', title: 'The key of the links between VMs could not be read from the table; the read will be retried; fields: code' },

  requestAccepted: { number: 3001, level: 'info', title: 'A request was admitted; fields: request, team, model, reserved' },
  requestAnswered: { number: 3002, level: 'info', title: 'A complete response was sent; fields: request, runner, team, tokens or events, billed (tokens billed for it), route, firstMs (time to the first event), totalMs' },
  requestRefused: { number: 3003, level: 'info', title: 'A request was refused; fields: request, code, ran, proof (what shows that it was not executed: notSent, notConnected, rejected, replaced or notRelayed; none if nothing does), attempts (runner, code, ran, proof, ms and sentMs of each), ageMs (time since its receipt), team, retryAfterMs, detail' },
  requestFailed: { number: 3004, level: 'warn', title: 'A request failed after dispatch; fields: request, code, ran, attempts (as in requestRefused), ageMs, team, detail' },
  requestJoined: { number: 3005, level: 'info', title: 'A repeated request joined the execution of an earlier one; fields: request, runner' },
  callClaimed: { number: 3006, level: 'info', title: 'A non-repeatable call was claimed; fields: request, service' },
  callerGone: { number: 3007, level: 'info', title: 'The caller closed the connection; fields: request, cancelled' },
  claimUnproven: { number: 3008, level: 'warn', title: 'A failure says that its request was not executed, but nothing shows that for one of the attempts; fields: request, code, attempts (as in requestRefused), detail' },

  routed: { number: 4001, level: 'info', title: 'A routing decision; fields: request, promptTokens, sharedTokens, candidates, paused (targets left out because they requested a pause), choice, version (of the software of the target), reason, work' },
  routeRefused: { number: 4002, level: 'info', title: 'No runner was chosen; fields: request, candidates, reason' },
  runnerState: { number: 4003, level: 'warn', title: 'A runner changed state as this VM sees it: active, leaving, paused, ejected or notLoaded; fields: runner, state, reason, pauseMs' },
  placed: { number: 4004, level: 'info', title: 'A placement decision; fields: runner, order, reason' },
  placementFault: { number: 4005, level: 'warn', title: 'A placement order failed or its outcome is unknown; fields: runner, order, code, detail' },
  attemptFailed: { number: 4006, level: 'warn', title: 'An attempt at a runner did not complete; fields: request, code, ran, proof (what shows that it was not executed, if anything does), ms (from its start to its end), runner, retried (whether another runner is tried if one is left), detail' },

  targetsRead: { number: 4007, level: 'info', title: 'The register of targets was read completely; fields: targets' },

  requestSuspected: { number: 4008, level: 'warn', title: 'A target terminated while a request was open there; fields: request, digest (identifies repeats of the request), parts (digests of the parts of its prompt, the last one left out), runner, startedAt' },
  requestQuarantined: { number: 4009, level: 'error', title: 'A request, or each request with a part in its prompt, was quarantined because targets terminated each time it was executed; fields: digest (of a part if it begins with `part.`), runners, level (number of quarantines), by' },
  quarantineLifted: { number: 4010, level: 'warn', title: 'The suspicion was lifted from a request or a part of prompts, by an operator or as a target had answered it right before; fields: digest, processes' },
  domainEvacuated: { number: 4011, level: 'warn', title: 'Operators evacuated a failure domain, or lifted its evacuation; fields: domain, isEvacuated, targets (number listed there now)' },
  targetReported: { number: 4012, level: 'info', title: 'A target reported in a response that it is leaving, or that this VM should pause; fields: request, runner, startedAt, isLeaving, pauseMs, flaw (a pause that could not be parsed)' },
  placesLimited: { number: 4015, level: 'warn', title: 'Targets of a service reported that they terminate if they have to refuse too much, so VMs share their places; fields: service, refusalLimit (per second), runner (the first that reported it)' },
  targetPath: { number: 4013, level: 'warn', title: 'This VM can connect to no target of a service any more, or to one again; fields: service, isLost, probed (number of targets)' },
  callsLimited: { number: 4017, level: 'warn', title: 'Calls of a service started to be limited as they are slow, or are no longer; fields: service, isLimited, limit (calls in flight before their first output), waiting, inFlight, busyRatio (of the event loop)' },
  versionsStored: { number: 4018, level: 'info', title: 'The software versions that may have begun streams of a service were stored; fields: service, versions' },
  streamUnknown: { number: 4019, level: 'info', title: 'It is not known which software version began a stream that a caller resumes; fields: request, stream (the request that brought its first event), own (versions of the service as this VM and the store know them), answers (of the VMs that were asked), loaded (whether the records in the store were read)' },
  callRelayed: { number: 4014, level: 'info', title: 'Another VM sent a request to its target for this one, whose own path is lost; fields: request, runner, peer, code and ran (of a failure)' },
  streamResumed: { number: 4016, level: 'info', title: 'A target was chosen to continue a stream, within its response or for its caller; fields: request, stream (the request that brought its first event), after (id of the last event), began (software version that began it), source (how a stream of an earlier request is known: ownRecord, otherRecord, storedRecord or soleVersion), runner, version (of the software of the target)' },

  configApplied: { number: 5001, level: 'info', title: 'A configuration version came into force; fields: version, source' },
  configAccepted: { number: 5002, level: 'info', title: 'A patch was accepted; fields: version, patchId, author' },
  configRefused: { number: 5003, level: 'info', title: 'A patch was refused; fields: base, patchId, code' },
  configUnreachable: { number: 5004, level: 'warn', title: 'The configuration could not be read; the current version stays in force; fields: version, code' },
  configUnverified: { number: 5005, level: 'error', title: 'A source returned a version that failed verification, or different content for the version in force; fields: source, version, detail' },

  platformFault: { number: 6001, level: 'warn', title: 'A platform call failed; fields: service, operation, code' },
  peerFault: { number: 6002, level: 'warn', title: 'A peer call failed; fields: peer, method, code' },
  leaseTaken: { number: 6003, level: 'info', title: 'A lease was acquired; fields: role, fencing' },
  leaseLost: { number: 6004, level: 'warn', title: 'A lease was lost; fields: role, fencing' },
  peerSeen: { number: 6005, level: 'info', title: 'A VM joined, left or is suspected; fields: peer, state, evidence' },
  connectionsSilent: { number: 6006, level: 'warn', title: 'An established connection got no response while a new one did, so idle connections are dropped; fields: by (store, peers or targets), since' },
  feedStalled: { number: 6007, level: 'warn', title: 'A change feed of the store got no answer for some seconds, so this VM serves by what it last read, or gets answers again; fields: table, isStalled, ageMs (time since its last answer), failures (failed calls since then; 0 if a call does not end)' }
} as const satisfies Record<string, LogEvent>

export type LogEventName = keyof typeof logEvents

/** Destination of log lines: bunyan in the daemon, a list in tests. */
export interface EventLog {
  /**
   * Writes one line.
   * @param fields - as listed in the title of the event
   */
  write (event: LogEventName, fields: Readonly<Record<string, unknown>>): void
}
