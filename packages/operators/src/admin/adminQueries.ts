/**
 * Parses query and path parameters of the admin API.
 */
import type { Either } from 'purify-ts'
import * as z from 'zod'
import type { Failure } from '@rosemaryspread/decisions/codes/failure.js'
import { badRequest, validate } from '@rosemaryspread/http/input/inputChecks.js'

const defaultHistoryLimit = 20
const maxHistoryLimit = 1000
const maxNameLength = 128
const anyBase = 'http://admin.invalid'

const wholeText = z.string().regex(/^[0-9]{1,15}$/, 'use a whole number').transform(Number)

const versionQuerySchema = z.strictObject({ version: wholeText.optional() })

const historyQuerySchema = z.strictObject({
  limit: wholeText
    .refine((limit) => limit >= 1 && limit <= maxHistoryLimit, `use 1 to ${maxHistoryLimit}`)
    .default(defaultHistoryLimit)
})

const budgetNameSchema = z.string().min(1).max(maxNameLength)

function queryOf (url: string): Record<string, string> {
  return Object.fromEntries(new URL(url, anyBase).searchParams)
}

/** Parses the optional query parameter `version`. Failure: `badRequest`. */
export function versionQuery (url: string): Either<Failure, number | undefined> {
  return validate(versionQuerySchema, queryOf(url), 'query').bimap(badRequest, (query) => query.version)
}

/** Parses the query parameter `limit` of the history. Failure: `badRequest`. */
export function historyQuery (url: string): Either<Failure, number> {
  return validate(historyQuerySchema, queryOf(url), 'query').bimap(badRequest, (query) => query.limit)
}

/**
 * Validates the budget name in the path. Failure: `badRequest`.
 * @param params - decoded path parameters
 */
export function budgetParam (params: Readonly<Record<string, unknown>>): Either<Failure, string> {
  return validate(budgetNameSchema, params.budget, 'budget').mapLeft(badRequest)
}
