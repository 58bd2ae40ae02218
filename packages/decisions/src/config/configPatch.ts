/**
 * Applies patches to configuration documents. The input document is never modified: entries that a patch may
 * change are copied, all others are shared between versions. A patch is rejected as a whole, with every invalid
 * operation or path reported.
 */
import jsonPatch, { type Operation } from 'fast-json-patch'
import { Left, Right, type Either } from 'purify-ts'
import { Failure } from '../codes/failure.js'
import type { FleetConfig } from './configSchema.js'
import { stampServesSince } from './servesSince.js'
import { checkConfig, parseConfig } from './configCheck.js'
import { documentDigest, isObject } from './configDigest.js'
import { initialDocument, MAX_PATCH_BYTES, operationSchema, type ConfigDocument, type PatchOperation, type VersionRow } from './configRows.js'

/** Path segments that lead to a prototype. */
const forbiddenNames = new Set(['__proto__', 'constructor', 'prototype'])

/** A verified version: document, digest and parsed configuration. */
export interface VerifiedConfig {
  readonly version: number
  readonly digest: string
  readonly document: ConfigDocument
  readonly config: FleetConfig
}

/** A valid patch, ready to be written. */
export interface PreparedPatch {
  readonly patch: readonly PatchOperation[]
  /** Difference between the two documents; replaying applies it. */
  readonly delta: readonly PatchOperation[]
  readonly next: VerifiedConfig
}

/** Version 0, on which the first patch of every fleet is based. */
export function initialConfig (): VerifiedConfig {
  return parseConfig(initialDocument)
    .map(config => ({ version: 0, digest: documentDigest(initialDocument), document: initialDocument, config }))
    .unsafeCoerce()
}

/**
 * Applies an operator's patch to a version and validates the result. The patch applies to the configuration
 * with all defaults filled in.
 * @param operations - RFC 6902 operations as received
 * @param at - wall milliseconds of the patch
 * @returns `patchInvalid` when an operation cannot be applied, `bodyTooLarge`, or `configInvalid`
 */
export function preparePatch (base: VerifiedConfig, operations: readonly unknown[], at: number): Either<Failure, PreparedPatch> {
  return readOperations(operations)
    .chain(patch => checkSize('patch', patch))
    .chain(patch => applyOperations(base.config, patch)
      .chain(patched => checkConfig(patched))
      .chain(config => buildPreparedPatch(base, patch, stampServesSince(base.config, config, at))))
}

function buildPreparedPatch (base: VerifiedConfig, patch: readonly PatchOperation[], config: FleetConfig): Either<Failure, PreparedPatch> {
  const delta = jsonPatch.compare(base.document, config) as PatchOperation[]
  const next = { version: base.version + 1, digest: documentDigest(config), document: config, config }
  return checkSize('difference', delta).map(() => ({ patch, delta, next }))
}

/**
 * Replays accepted version rows onto a version.
 * @param rows - the rows that follow `base`, without a gap
 * @returns `configInvalid` when a row is missing or the digest of the last one does not match
 */
export function replayRows (base: VerifiedConfig, rows: readonly VersionRow[]): Either<Failure, VerifiedConfig> {
  const last = rows.at(-1)
  if (last === undefined) return Right(base)
  let document = base.document
  for (const [index, row] of rows.entries()) {
    if (row.version !== base.version + 1 + index) return Left(new Failure('configInvalid', `version ${base.version + 1 + index} is missing`, { ran: 'no' }))
    const applied = applyOperations(document, row.delta)
    if (applied.isLeft()) return applied
    document = applied.extract() as ConfigDocument
  }
  return verifyDocument({ version: last.version, digest: last.digest, document })
}

/**
 * Verifies a full document against its digest and parses it.
 * @returns `configInvalid` when the digest does not match or the document does not follow the schema
 */
export function verifyDocument (fullConfig: { readonly version: number, readonly digest: string, readonly document: ConfigDocument }): Either<Failure, VerifiedConfig> {
  const { version, digest, document } = fullConfig
  return parseConfig(document).chain(config => documentDigest(document) === digest
    ? Right({ version, digest, document, config })
    : Left(new Failure('configInvalid', `version ${version} does not have the digest ${digest}`, { ran: 'no' })))
}

/**
 * Applies operations to a copy of a document.
 * @returns the new document, or `patchInvalid` naming the failed operation
 */
function applyOperations (document: ConfigDocument, operations: readonly PatchOperation[]): Either<Failure, ConfigDocument> {
  let current = copyReachable(document, operations)
  for (const [index, operation] of operations.entries()) {
    try {
      current = jsonPatch.applyOperation(current, structuredClone(operation) as Operation, true, true, true, index).newDocument
    } catch (err) {
      const line = operationLine(index, operation, err)
      return Left(new Failure('patchInvalid', line, { ran: 'no', errors: [line] }))
    }
  }
  return isObject(current) ? Right(current) : Left(new Failure('patchInvalid', 'the patched document is not an object', { ran: 'no', errors: ['/: expected an object'] }))
}

function readOperations (operations: readonly unknown[]): Either<Failure, PatchOperation[]> {
  const results = operations.map(operation => operationSchema.safeParse(operation))
  const malformed = results.flatMap((result, index) => result.success
    ? []
    : result.error.issues.map(issue => `operation ${index}${issue.path.map(part => `/${String(part)}`).join('')}: ${issue.message}`))
  const errors = [...malformed, ...operations.flatMap(forbiddenNameErrors)]
  if (errors.length > 0) return Left(new Failure('patchInvalid', errors[0] ?? '', { ran: 'no', errors }))
  return Right(results.flatMap(result => result.success ? [result.data] : []))
}

function checkSize<T> (what: string, value: T): Either<Failure, T> {
  const bytes = Buffer.byteLength(JSON.stringify(value))
  if (bytes <= MAX_PATCH_BYTES) return Right(value)
  return Left(new Failure('bodyTooLarge', `the ${what} has ${bytes} bytes, the limit is ${MAX_PATCH_BYTES}; split the patch`, { ran: 'no' }))
}

/** Checks operations as received, because schema parsing silently drops such members. */
function forbiddenNameErrors (operation: unknown, index: number): string[] {
  if (!isObject(operation)) return []
  const { path, from, value } = operation
  const parts = [path, from].flatMap(pointer => typeof pointer === 'string' ? pathSegments(pointer) : [])
  return [...parts, ...memberNames(value)]
    .filter(part => forbiddenNames.has(part))
    .map(part => `operation ${index} ${String(path)}: the name '${part}' is not allowed`)
}

function memberNames (value: unknown): string[] {
  if (typeof value !== 'object' || value === null) return []
  const names = Array.isArray(value) ? [] : Object.keys(value)
  return [...names, ...Object.values(value).flatMap(memberNames)]
}

function pointersOf (operation: PatchOperation): string[] {
  return 'from' in operation ? [operation.path, operation.from] : [operation.path]
}

function pathSegments (pointer: string): string[] {
  return pointer.split('/').slice(1).map(part => part.replaceAll('~1', '/').replaceAll('~0', '~'))
}

/** Copies the collections and entries that operations refer to; the whole document when one refers to a whole collection. */
function copyReachable (document: ConfigDocument, operations: readonly PatchOperation[]): ConfigDocument {
  const paths = operations.flatMap(pointersOf).map(pathSegments)
  if (paths.some(([section, id]) => section === undefined || id === undefined)) return structuredClone(document)
  const copy: ConfigDocument = { ...document }
  for (const [section = '', id = ''] of paths) {
    const source = document[section]
    if (!isObject(source)) continue
    if (copy[section] === source) copy[section] = Object.assign(Object.create(null), source)
    const copiedSection = copy[section] as Record<string, unknown>
    if (Object.hasOwn(source, id) && copiedSection[id] === source[id]) copiedSection[id] = structuredClone(source[id])
  }
  return copy
}

function operationLine (index: number, operation: PatchOperation, err: unknown): string {
  const name = isObject(err) && typeof err.name === 'string' ? err.name : 'OPERATION_INVALID'
  return `operation ${index} ${operation.op} ${operation.path}: ${name}`
}
