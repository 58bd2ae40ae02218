/**
 * Checks all promises against a recorded history. Pure: the same records give the same result.
 */
import { History } from './history.js'
import type { HistoryRecord } from './historyTypes.js'
import type { CheckLimits, Finding, HistoryRule } from './ruleTypes.js'
import { AnswerRule } from './rules/answerRule.js'
import { AtMostOnceRule } from './rules/atMostOnceRule.js'
import { BillingRule } from './rules/billingRule.js'
import { ConfigRule } from './rules/configRule.js'
import { GracefulStopRule } from './rules/gracefulStopRule.js'
import { LeaseRule } from './rules/leaseRule.js'
import { LeavingRule } from './rules/leavingRule.js'
import { OverspendRule } from './rules/overspendRule.js'
import { RefusalRule } from './rules/refusalRule.js'

/** One rule for each promise. */
export const historyRules: readonly HistoryRule[] = [
  new OverspendRule(),
  new BillingRule(),
  new AnswerRule(),
  new RefusalRule(),
  new AtMostOnceRule(),
  new LeavingRule(),
  new GracefulStopRule(),
  new ConfigRule(),
  new LeaseRule()
]

/** The 5 s for a leaving runner are 3 s of grace and 2 s of tolerance; a version must propagate within 12 s. */
export const DEFAULT_LIMITS: CheckLimits = { leavingGraceMs: 5_000, configPropagationMs: 12_000 }

/** Records shown before and after the one at which a promise broke. */
const CONTEXT_RECORDS = 6

/** A broken promise with the neighbouring records. */
export interface Violation extends Finding {
  readonly rule: string
  readonly promise: string
  readonly context: readonly HistoryRecord[]
}

/**
 * Checks a history against all rules.
 * @param records - records in any order
 * @returns violations, the earliest first
 */
export function checkHistory (records: readonly HistoryRecord[], limits: CheckLimits = DEFAULT_LIMITS): readonly Violation[] {
  const history = new History(records)
  const violations = historyRules.flatMap(rule => rule.check(history, limits)
    .map(finding => ({ ...finding, rule: rule.name, promise: rule.promise, context: recordsAround(history, finding) })))
  return violations.sort((a, b) => brokenAt(a) - brokenAt(b))
}

function brokenAt (finding: Finding): number {
  return Math.max(...finding.records.map(record => record.at))
}

function recordsAround (history: History, finding: Finding): readonly HistoryRecord[] {
  const last = finding.records.at(-1)
  const index = last === undefined ? 0 : history.records.indexOf(last)
  return history.records.slice(Math.max(0, index - CONTEXT_RECORDS), index + CONTEXT_RECORDS + 1)
}

/** Renders a violation as text: the promise, what broke it and the neighbouring records. */
export function renderViolation (violation: Violation): string {
  const lines = violation.context.map(record => `  ${violation.records.includes(record) ? '>' : ' '} ${JSON.stringify(record)}`)
  return [`broken promise: ${violation.promise} (${violation.rule})`, `  ${violation.text}`, ...lines].join('\n')
}
