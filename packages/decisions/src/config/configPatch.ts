/**
 * Applies patches to configuration documents. The document given stays as it is: everything a
 * patch can reach is copied first, the rest is shared between versions. A patch is refused as a
 * whole, with every operation or path at fault named.
 */
import jsonPatch, { type Operation } from 'fast-json-patch'
import { Left, Right, type Either } from 'purify-ts'
import { Failure } from '../codes/failure.js'
import type { FleetConfig } from './configSchema.js'
import { stampServing } from './configServing.js'
import { checkConfig, readConfig } from './configCheck.js'
import { documentDigest, isObject } from './configDigest.js'
import { firstDocument, MAX_PATCH_BYTES, operationSchema, type ConfigDocument, type PatchOperation, type VersionRow } from './configRows.js'

/** Path parts that reach into prototypes. */
const forbiddenParts = new Set(['__proto__', 'constructor', 'prototype'])

/** A version with all that is known of it. */
export interface HeldConfig {
  readonly version: number
  readonly digest: string
  readonly document: ConfigDocument
  readonly config: FleetConfig
}

/** A checked patch, ready to be written. */
export interface PreparedPatch {
  readonly patch: readonly PatchOperation[]
  /** What replaying applies. */
  readonly delta: readonly PatchOperation[]
  readonly next: HeldConfig
}

/** Version 0, which every fleet begins with. */
export function firstConfig (): HeldConfig {
  return readConfig(firstDocument)
    .map(config => ({ version: 0, digest: documentDigest(firstDocument), document: firstDocument, config }))
    .unsafeCoerce()
}

/**
 * Applies an operator's patch to a version and checks the outcome. The patch sees the
 * configuration with all defaults filled in.
 * @param base - the version that the patch names
 * @param operations - RFC 6902 operations as received
 * @param at - wall milliseconds of the patch
 * @returns `patchInvalid` when an operation cannot be applied, `bodyTooLarge`, or `configInvalid`
 */
export function preparePatch (base: HeldConfig, operations: readonly unknown[], at: number): Either<Failure, PreparedPatch> {
  return readOperations(operations)
    .chain(patch => withinBytes('patch', patch))
    .chain(patch => applyOperations(base.config, patch)
      .chain(patched => checkConfig(patched))
      .chain(config => prepared(base, patch, stampServing(base.config, config, at))))
}

function prepared (base: HeldConfig, patch: readonly PatchOperation[], config: FleetConfig): Either<Failure, PreparedPatch> {
  const delta = jsonPatch.compare(base.document, config) as PatchOperation[]
  const next = { version: base.version + 1, digest: documentDigest(config), document: config, config }
  return withinBytes('difference', delta).map(() => ({ patch, delta, next }))
}

/**
 * Replays accepted version rows upon a version.
 * @param base - where to begin
 * @param rows - the rows that follow it, without a gap
 * @returns `configInvalid` when a row is missing or the digest of the last one does not fit
 */
export function replayRows (base: HeldConfig, rows: readonly VersionRow[]): Either<Failure, HeldConfig> {
  const last = rows.at(-1)
  if (last === undefined) return Right(base)
  let document = base.document
  for (const [index, row] of rows.entries()) {
    if (row.version !== base.version + 1 + index) return Left(new Failure('configInvalid', `version ${base.version + 1 + index} is missing`))
    const applied = applyOperations(document, row.delta)
    if (applied.isLeft()) return applied
    document = applied.extract() as ConfigDocument
  }
  return holdDocument({ version: last.version, digest: last.digest, document })
}

/**
 * Verifies a whole document against its digest and checks it.
 * @param whole - version, digest and document
 * @returns `configInvalid` when the digest does not fit or the document breaks the schema
 */
export function holdDocument (whole: { readonly version: number, readonly digest: string, readonly document: ConfigDocument }): Either<Failure, HeldConfig> {
  const { version, digest, document } = whole
  return readConfig(document).chain(config => documentDigest(document) === digest
    ? Right({ version, digest, document, config })
    : Left(new Failure('configInvalid', `version ${version} does not have the digest ${digest}`)))
}

/**
 * Applies operations to a copy of a document.
 * @param document - stays unchanged
 * @param operations - operations to apply in turn
 * @returns the new document, or `patchInvalid` naming the operation at fault
 */
function applyOperations (document: ConfigDocument, operations: readonly PatchOperation[]): Either<Failure, ConfigDocument> {
  let current = copyReachable(document, operations)
  for (const [index, operation] of operations.entries()) {
    try {
      current = jsonPatch.applyOperation(current, structuredClone(operation) as Operation, true, true, true, index).newDocument
    } catch (err) {
      const line = operationLine(index, operation, err)
      return Left(new Failure('patchInvalid', line, { errors: [line] }))
    }
  }
  return isObject(current) ? Right(current) : Left(new Failure('patchInvalid', 'the patch leaves no object', { errors: ['/: expected an object'] }))
}

function readOperations (operations: readonly unknown[]): Either<Failure, PatchOperation[]> {
  const results = operations.map(operation => operationSchema.safeParse(operation))
  const malformed = results.flatMap((result, index) => result.success
    ? []
    : result.error.issues.map(issue => `operation ${index}${issue.path.map(part => `/${String(part)}`).join('')}: ${issue.message}`))
  const errors = [...malformed, ...operations.flatMap(forbiddenErrors)]
  if (errors.length > 0) return Left(new Failure('patchInvalid', errors[0] ?? '', { errors }))
  return Right(results.flatMap(result => result.success ? [result.data] : []))
}

function withinBytes<T> (what: string, value: T): Either<Failure, T> {
  const bytes = Buffer.byteLength(JSON.stringify(value))
  if (bytes <= MAX_PATCH_BYTES) return Right(value)
  return Left(new Failure('bodyTooLarge', `the ${what} has ${bytes} bytes, ${MAX_PATCH_BYTES} are allowed; send it in parts`))
}

/** Looks at operations as received, because schemas drop such members without a word. */
function forbiddenErrors (operation: unknown, index: number): string[] {
  if (!isObject(operation)) return []
  const { path, from, value } = operation
  const parts = [path, from].flatMap(pointer => typeof pointer === 'string' ? pathParts(pointer) : [])
  return [...parts, ...memberNames(value)]
    .filter(part => forbiddenParts.has(part))
    .map(part => `operation ${index} ${String(path)}: the name '${part}' is not allowed`)
}

function memberNames (value: unknown): string[] {
  if (typeof value !== 'object' || value === null) return []
  const own = Array.isArray(value) ? [] : Object.keys(value)
  return [...own, ...Object.values(value).flatMap(memberNames)]
}

function pointersOf (operation: PatchOperation): string[] {
  return 'from' in operation ? [operation.path, operation.from] : [operation.path]
}

function pathParts (pointer: string): string[] {
  return pointer.split('/').slice(1).map(part => part.replaceAll('~1', '/').replaceAll('~0', '~'))
}

/** Copies the collections and entries that operations name; everything when one names a whole collection. */
function copyReachable (document: ConfigDocument, operations: readonly PatchOperation[]): ConfigDocument {
  const paths = operations.flatMap(pointersOf).map(pathParts)
  if (paths.some(([section, id]) => section === undefined || id === undefined)) return structuredClone(document)
  const copy: ConfigDocument = { ...document }
  for (const [section = '', id = ''] of paths) {
    const source = document[section]
    if (!isObject(source)) continue
    if (copy[section] === source) copy[section] = Object.assign(Object.create(null), source)
    const target = copy[section] as Record<string, unknown>
    if (Object.hasOwn(source, id) && target[id] === source[id]) target[id] = structuredClone(source[id])
  }
  return copy
}

function operationLine (index: number, operation: PatchOperation, err: unknown): string {
  const name = isObject(err) && typeof err.name === 'string' ? err.name : 'OPERATION_INVALID'
  return `operation ${index} ${operation.op} ${operation.path}: ${name}`
}
