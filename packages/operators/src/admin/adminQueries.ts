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
const placeholderBase = 'http://admin.invalid'

const integerSchema = z.string().regex(/^[0-9]{1,15}$/, 'use a whole number').transform(Number)

const versionQuerySchema = z.strictObject({ version: integerSchema.optional() })

const historyQuerySchema = z.strictObject({
  limit: integerSchema
    .refine((limit) => limit >= 1 && limit <= maxHistoryLimit, `use 1 to ${maxHistoryLimit}`)
    .default(defaultHistoryLimit)
})

const budgetNameSchema = z.string().min(1).max(maxNameLength)

function queryParams (url: string): Record<string, string> {
  return Object.fromEntries(new URL(url, placeholderBase).searchParams)
}

/** Parses the optional query parameter `version`. Failure: `badRequest`. */
export function parseVersion (url: string): Either<Failure, number | undefined> {
  return validate(versionQuerySchema, queryParams(url), 'query').bimap(badRequest, (query) => query.version)
}

/** Parses the query parameter `limit` of the history. Failure: `badRequest`. */
export function parseHistoryLimit (url: string): Either<Failure, number> {
  return validate(historyQuerySchema, queryParams(url), 'query').bimap(badRequest, (query) => query.limit)
}

/**
 * Validates the budget name in the path. Failure: `badRequest`.
 * @param params - decoded path parameters
 */
export function parseBudgetName (params: Readonly<Record<string, unknown>>): Either<Failure, string> {
  return validate(budgetNameSchema, params.budget, 'budget').mapLeft(badRequest)
}
