/**
 * Validates a configuration document: each entry by its schema, then references between entries. Every error is
 * reported with its path. Checked entries are frozen and cached, so that checking the next version costs only the
 * entries that its patch changed.
 */
import { Left, Right, type Either } from 'purify-ts'
import type { z } from 'zod'
import { Failure } from '../codes/failure.js'
import { fleetConfigSchema, type FleetConfig } from './configSchema.js'
import { canonicalJson, isObject } from './configDigest.js'
import { crossEntryErrors } from './configReferences.js'
import type { ConfigDocument } from './configRows.js'

/** Errors listed in one failure; any more are only counted. */
const MAX_ERRORS = 50
/** Ids that resolve to members of the object prototype. */
const reservedIds = new Set(['__proto__', 'constructor', 'prototype'])

const shape = fleetConfigSchema.shape
const collectionSchemas = {
  teams: shape.teams.unwrap(),
  models: shape.models.unwrap(),
  runners: shape.runners.unwrap(),
  services: shape.services.unwrap(),
  operators: shape.operators.unwrap()
} as const

/** A valid entry and the id that it was checked under. */
interface CachedEntry {
  readonly id: string
  readonly checked: unknown
}

/** Checked entries by schema and source object. */
const checkedEntryCache = new WeakMap<z.ZodType, WeakMap<object, CachedEntry>>()

/**
 * Validates a patched document: its schema and the references between its entries.
 * @returns as {@link parseConfig}
 */
export function checkConfig (document: ConfigDocument): Either<Failure, FleetConfig> {
  return parseConfig(document).chain(config => {
    const errors = crossEntryErrors(config)
    return errors.length > 0 ? Left(invalidConfig(errors)) : Right(config)
  })
}

/**
 * Parses a document into a configuration with all defaults filled in. It does not check references, so that an
 * accepted document still parses after those checks became stricter. Entries that need no default are the
 * document's own objects, now frozen. Collections have no prototype.
 * @returns the configuration, or `configInvalid` with every error as `/path: message`
 */
export function parseConfig (document: ConfigDocument): Either<Failure, FleetConfig> {
  const errors: string[] = []
  for (const name of Object.keys(document)) {
    if (!Object.hasOwn(shape, name)) errors.push(`/${escapePointer(name)}: unknown member`)
  }
  const collections = Object.entries(collectionSchemas).map(([name, schema]) =>
    [name, checkCollection(name, schema, document[name], errors)] as const)
  const limits = shape.limits.safeParse(document.limits)
  if (!limits.success) errors.push(...issueLines('/limits', limits.error))
  if (errors.length > 0) return Left(invalidConfig(errors))
  return Right(Object.freeze({ ...Object.fromEntries(collections), limits: freezeDeep(limits.data) }) as FleetConfig)
}

function checkCollection (name: string, schema: z.ZodRecord, section: unknown, errors: string[]): Readonly<Record<string, unknown>> {
  const entries: Record<string, unknown> = Object.create(null)
  if (section === undefined) return entries
  if (!isObject(section)) {
    errors.push(`/${name}: expected an object`)
    return entries
  }
  const cache = cacheOfSchema(schema)
  for (const id of Object.keys(section)) {
    const raw = section[id]
    const cached = isObject(raw) ? cache.get(raw) : undefined
    if (cached?.id === id) entries[id] = cached.checked
    else entries[id] = checkEntry(name, id, schema, raw, errors)
  }
  return Object.freeze(entries)
}

function checkEntry (name: string, id: string, schema: z.ZodRecord, raw: unknown, errors: string[]): unknown {
  const path = `/${name}/${escapePointer(id)}`
  const key = (schema.keyType as z.ZodType).safeParse(id)
  const value = (schema.valueType as z.ZodType).safeParse(raw)
  if (reservedIds.has(id)) errors.push(`${path}: this id is reserved`)
  if (!key.success) errors.push(...issueLines(path, key.error))
  if (!value.success) errors.push(...issueLines(path, value.error))
  if (!key.success || !value.success) return undefined
  const isUnchanged = canonicalJson(raw) === canonicalJson(value.data)
  const checked = freezeDeep(isUnchanged ? raw : value.data)
  cacheOfSchema(schema).set(freezeDeep(raw) as object, { id, checked })
  return checked
}

function cacheOfSchema (schema: z.ZodType): WeakMap<object, CachedEntry> {
  const cache = checkedEntryCache.get(schema) ?? new WeakMap<object, CachedEntry>()
  checkedEntryCache.set(schema, cache)
  return cache
}

function issueLines (path: string, error: z.ZodError): string[] {
  return error.issues.map(issue => {
    const suffix = issue.path.map(part => `/${escapePointer(String(part))}`).join('')
    return `${path}${suffix}: ${issue.message}`
  })
}

function invalidConfig (errors: readonly string[]): Failure {
  const listed = errors.slice(0, MAX_ERRORS)
  const detail = errors.length > listed.length ? `${errors.length} errors, the first ${MAX_ERRORS} are listed` : `${errors.length} error(s): ${listed[0]}`
  return new Failure('configInvalid', detail, { ran: 'no', errors: listed })
}

function freezeDeep<T> (value: T): T {
  if (typeof value !== 'object' || value === null || Object.isFrozen(value)) return value
  Object.values(value).forEach(freezeDeep)
  return Object.freeze(value)
}

/** Escapes one segment of a JSON pointer. */
export function escapePointer (segment: string): string {
  return segment.replaceAll('~', '~0').replaceAll('/', '~1')
}
