/**
 * The scenario language: a fleet head and a list of steps. Each step is a map with one verb, and
 * each verb has one schema here, from which its type is inferred.
 */
import * as z from 'zod'

const name = z.string().regex(/^[a-z0-9][a-z0-9-]{0,30}$/, 'use 1 to 31 of a-z 0-9 -')
const names = z.union([name.transform(one => [one]), z.array(name).min(1)])
const milliseconds = z.number().int().nonnegative().max(60_000)
const count = z.number().int().positive().max(10_000)
const tokens = z.number().int().positive()

/** What a step expects of an outcome; `any` accepts all. */
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

/** The head of a scenario: what runs, who may call and what was paid. */
export const fleetSchema = z.strictObject({
  /** Name and failure domain of each VM. */
  vms: z.record(name, name).refine(vms => Object.keys(vms).length >= 1 && Object.keys(vms).length <= 6, 'use 1 to 6 VMs'),
  /** VMs that a step starts. */
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
export type FleetHead = z.infer<typeof fleetSchema>

const retries = {
  /** Further tries after a refusal or a lost answer, with the same key, at the VMs in turn. */
  retries: z.number().int().nonnegative().max(100).default(0),
  /** Whether a try waits for the refusal's Retry-After. */
  followRetryAfter: z.boolean().default(false),
  expect: expectation.default('any'),
  /** Goes on with the next step at once. */
  background: z.boolean().default(false)
}

const request = z.strictObject({
  as: name,
  team: name,
  vm: names,
  model: name.optional(),
  service: name.optional(),
  path: z.string().startsWith('/').default('/dispatch'),
  /** Idempotency-Key; none when absent. */
  key: z.string().optional(),
  tokens: count.default(20),
  prompt: z.string().max(10_000).optional(),
  timeoutMs: milliseconds.optional(),
  ...retries
}).refine(value => (value.model === undefined) !== (value.service === undefined), 'name either a model or a service')
export type RequestStep = z.infer<typeof request>

const repeat = z.strictObject({
  of: name,
  as: name,
  vm: names,
  /** Sends another body under the same key. */
  otherBody: z.boolean().default(false),
  ...retries
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
  ...retries
})
export type LoadStep = z.infer<typeof load>

const patch = z.strictObject({
  vm: name,
  id: z.string().min(1),
  /** Version that the patch is made against; the one in force at the VM when absent. */
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
  /** Keeps bytes between VMs until the heal, as a network that lost them and sends them again; else connections end at once. */
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
  /** A request and how far it came. */
  request: name.optional(),
  pieces: count.optional(),
  outcome: expectation.optional(),
  /** How many runs of the request began. */
  ran: z.number().int().nonnegative().optional(),
  /** Whether its text equals that of another request. */
  sameAs: name.optional(),
  /** Every VM that is up has this version, or the highest accepted one, in force. */
  inForce: z.union([z.number().int(), z.literal('latest')]).optional(),
  /** The highest version accepted so far. */
  accepted: z.number().int().optional(),
  /** The process of the VM ended by itself. */
  stopped: name.optional(),
  /** A VM wrote this log event. */
  vm: name.optional(),
  logged: z.string().optional(),
  /** How many requests of a load were answered. */
  load: name.optional(),
  answered: z.number().int().nonnegative().optional()
})
export type Condition = z.infer<typeof condition>

/** One schema for each verb but `race`, which holds steps itself. */
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

/** One step with the line that it stands on. */
export type Step =
  | { readonly [Name in Verb]: { readonly verb: Name, readonly value: z.infer<typeof verbSchemas[Name]>, readonly line: number } }[Verb]
  | { readonly verb: 'race', readonly value: readonly Step[], readonly line: number }

/** A scenario as read from a file. */
export interface Scenario {
  readonly title: string
  /** Names of the rules that the scenario is about. */
  readonly promises: readonly string[]
  /** Weaker parts by name, and the rule that breaks with each. */
  readonly counterExamples: Readonly<Record<string, string>>
  readonly fleet: FleetHead
  readonly steps: readonly Step[]
}
