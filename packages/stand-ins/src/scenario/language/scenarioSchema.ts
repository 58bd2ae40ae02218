/**
 * Schemas of scenario files: the fleet and a list of steps. A step is a map with one verb; the type
 * of each verb is inferred from its schema.
 */
import * as z from 'zod'

const name = z.string().regex(/^[a-z0-9][a-z0-9-]{0,30}$/, 'use 1 to 31 of a-z 0-9 -')
const names = z.union([name.transform(one => [one]), z.array(name).min(1)])
const milliseconds = z.number().int().nonnegative().max(60_000)
const count = z.number().int().positive().max(10_000)
const tokens = z.number().int().positive()

/** Expected outcome of a request; `any` accepts every outcome. */
const expectation = z.union([
  z.enum(['any', 'answered', 'refused', 'cut']),
  z.strictObject({ refused: z.string().optional(), ran: z.enum(['no', 'yes', 'unknown']).optional() })
])
export type Expectation = z.infer<typeof expectation>

const engine = z.strictObject({
  domain: name,
  models: z.array(name).min(1),
  slots: count.default(16),
  checksFencing: z.boolean().default(true),
  msPerToken: milliseconds.default(2)
})

const service = z.strictObject({
  runners: z.record(name, name),
  notRepeatable: z.array(z.string()).optional(),
  timeoutMs: milliseconds.optional()
})

const team = z.strictObject({ budget: name, models: z.array(name).default([]), services: z.array(name).default([]) })

/** The fleet of a scenario: its processes, the teams that may call and the tokens paid. */
export const fleetSchema = z.strictObject({
  /** Failure domain of each VM, by name. */
  vms: z.record(name, name).refine(vms => Object.keys(vms).length >= 1 && Object.keys(vms).length <= 6, 'use 1 to 6 VMs'),
  /** VMs that do not run from the start; a step starts them. */
  later: z.array(name).default([]),
  engines: z.record(name, engine).default({}),
  services: z.record(name, service).default({}),
  teams: z.record(name, team),
  /** Tokens paid before the first step. */
  budgets: z.record(name, tokens),
  /** Merged into the settings of each VM. */
  settings: z.record(z.string(), z.unknown()).default({}),
  /** Merged into the limits of the configuration. */
  limits: z.record(z.string(), z.unknown()).default({})
})
export type FleetDefinition = z.infer<typeof fleetSchema>

const retryFields = {
  /** Further attempts after a refusal or a lost answer, under the same key, at the VMs in turn. */
  retries: z.number().int().nonnegative().max(100).default(0),
  /** Whether to wait for the Retry-After of a refusal before the next attempt. */
  followRetryAfter: z.boolean().default(false),
  expect: expectation.default('any'),
  /** Continues with the next step immediately. */
  background: z.boolean().default(false)
}

const request = z.strictObject({
  as: name,
  team: name,
  vm: names,
  model: name.optional(),
  service: name.optional(),
  path: z.string().startsWith('/').default('/dispatch'),
  /** Value of the Idempotency-Key header; not sent when absent. */
  key: z.string().optional(),
  tokens: count.default(20),
  prompt: z.string().max(10_000).optional(),
  timeoutMs: milliseconds.optional(),
  ...retryFields
}).refine(value => (value.model === undefined) !== (value.service === undefined), 'specify either a model or a service')
export type RequestStep = z.infer<typeof request>

const repeat = z.strictObject({
  of: name,
  as: name,
  vm: names,
  /** Sends a different body under the same key. */
  otherBody: z.boolean().default(false),
  ...retryFields
})
export type RepeatStep = z.infer<typeof repeat>

const load = z.strictObject({
  as: name,
  team: name,
  vm: names,
  model: name,
  count: count.max(200),
  parallel: count.max(20).default(4),
  tokens: count.default(20),
  pauseMs: milliseconds.default(0),
  ...retryFields
})
export type LoadStep = z.infer<typeof load>

const patch = z.strictObject({
  vm: name,
  id: z.string().min(1),
  /** Base version of the patch; the one in force at the VM when absent. */
  base: z.number().int().nonnegative().optional(),
  ops: z.array(z.record(z.string(), z.unknown())).min(1),
  retries: z.number().int().nonnegative().max(50).default(0),
  expect: z.enum(['accepted', 'refused', 'any']).default('accepted')
})
export type PatchStep = z.infer<typeof patch>

const topUp = z.strictObject({
  vm: name,
  budget: name,
  tokens,
  id: z.string().min(1),
  retries: z.number().int().nonnegative().max(50).default(0),
  expect: z.enum(['accepted', 'refused', 'any']).default('accepted')
})
export type TopUpStep = z.infer<typeof topUp>

const cut = z.strictObject({
  between: z.tuple([z.array(name).min(1), z.array(name).min(1)]),
  /** Delays bytes between VMs until the heal, like a network that retransmits lost packets; otherwise connections close at once. */
  hold: z.boolean().default(false)
})
export type CutStep = z.infer<typeof cut>

const runnerFaults = z.strictObject({
  killStreams: z.boolean().optional(),
  mixNext: z.boolean().optional(),
  overreportNext: z.number().optional(),
  doubleEnd: z.boolean().optional(),
  msPerToken: milliseconds.optional(),
  refuse: z.boolean().optional(),
  dropCacheEvents: z.boolean().optional()
})

const condition = z.strictObject({
  /** A request and its progress. */
  request: name.optional(),
  pieces: count.optional(),
  outcome: expectation.optional(),
  /** Number of runs of the request that were started. */
  ran: z.number().int().nonnegative().optional(),
  /** Name of a request with an equal answer. */
  sameAs: name.optional(),
  /** Minimum version in force on every VM that is up; `latest` is the highest accepted one. */
  inForce: z.union([z.number().int(), z.literal('latest')]).optional(),
  /** The highest version accepted so far. */
  accepted: z.number().int().optional(),
  /** The process of this VM has exited. */
  stopped: name.optional(),
  /** A VM that has logged the event `logged`. */
  vm: name.optional(),
  logged: z.string().optional(),
  /** A load, and the minimum number of its requests that were answered. */
  load: name.optional(),
  answered: z.number().int().nonnegative().optional()
})
export type Condition = z.infer<typeof condition>

/** One schema for each verb except `race`, which contains steps. */
export const verbSchemas = {
  start: names,
  kill: names,
  freeze: names,
  thaw: names,
  stop: names,
  cut,
  heal: z.literal('all'),
  outage: z.record(name, z.boolean()),
  slow: z.record(name, milliseconds),
  loseAnswer: z.record(name, count),
  misbehave: z.record(name, runnerFaults),
  leave: names,
  request,
  repeat,
  load,
  patch,
  topUp,
  wait: milliseconds,
  until: condition.extend({ withinMs: milliseconds.default(20_000) }),
  expect: condition
} as const

/** Name of a verb that is not `race`. */
export type Verb = keyof typeof verbSchemas

/** One step with its line in the scenario file. */
export type Step =
  | { readonly [Name in Verb]: { readonly verb: Name, readonly value: z.infer<typeof verbSchemas[Name]>, readonly line: number } }[Verb]
  | { readonly verb: 'race', readonly value: readonly Step[], readonly line: number }

export interface Scenario {
  readonly title: string
  /** Names of the rules that the scenario exercises. */
  readonly promises: readonly string[]
  /** Faulty parts by name, with the rule that each one violates. */
  readonly counterExamples: Readonly<Record<string, string>>
  readonly fleet: FleetDefinition
  readonly steps: readonly Step[]
}
