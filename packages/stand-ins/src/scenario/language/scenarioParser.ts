/**
 * Parses scenario files. All errors are reported with their lines; a scenario with errors does not
 * run.
 */
import { Left, Right, type Either } from 'purify-ts'
import { isMap, isSeq, LineCounter, parseDocument, type Document, type ParsedNode } from 'yaml'
import * as z from 'zod'
import { Failure } from '@rosemaryspread/decisions/codes/failure.js'
import { historyRules } from '../../history/historyChecker.js'
import { fleetSchema, verbSchemas, type FleetDefinition, type Scenario, type Step, type Verb } from './scenarioSchema.js'

const ruleNames = historyRules.map(rule => rule.name)

const ruleName = z.string().refine(name => ruleNames.includes(name), `use the names of rules: ${ruleNames.join(', ')}`)

const scenarioFileSchema = z.strictObject({
  title: z.string().min(1),
  promises: z.array(ruleName).min(1),
  counterExamples: z.record(z.string(), ruleName).default({}),
  fleet: fleetSchema,
  steps: z.array(z.unknown()).min(1)
})

type Path = ReadonlyArray<string | number>

/** Parses one file and collects errors. */
class ScenarioReader {
  readonly errors: string[] = []
  private readonly lines = new LineCounter()
  private readonly document: Document.Parsed

  constructor (text: string) {
    this.document = parseDocument(text, { lineCounter: this.lines })
    for (const err of this.document.errors) this.errors.push(`line ${err.linePos?.[0].line ?? 1}: ${err.message.split('\n')[0]}`)
  }

  read (): Scenario | undefined {
    if (this.errors.length > 0) return undefined
    const head = this.parseValue(scenarioFileSchema, this.document.toJS(), [])
    if (head === undefined) return undefined
    const steps = this.readSteps(['steps'])
    this.checkReferences(head.fleet)
    return { ...head, steps }
  }

  private readSteps (path: Path): Step[] {
    const node = this.document.getIn(path, true)
    if (!isSeq(node)) {
      this.addError(path, 'use a list of steps')
      return []
    }
    return node.items.flatMap((_, index) => this.readStep([...path, index]) ?? [])
  }

  private readStep (path: Path): Step | undefined {
    const node = this.document.getIn(path, true)
    if (!isMap(node) || node.items.length !== 1) return this.addError(path, 'a step is a map with one verb')
    const verb = String(node.items[0]?.key)
    const line = this.lineOf(path)
    if (verb === 'race') return { verb, value: this.readSteps([...path, verb]), line }
    if (!Object.hasOwn(verbSchemas, verb)) {
      return this.addError(path, `there is no verb '${verb}'; use one of: ${Object.keys(verbSchemas).join(', ')}, race`)
    }
    const value = this.parseValue(verbSchemas[verb as Verb], (node.toJSON() as Record<string, unknown>)[verb], [...path, verb])
    return value === undefined ? undefined : { verb, value, line } as Step
  }

  private checkReferences (fleet: FleetDefinition): void {
    for (const [team, { budget }] of Object.entries(fleet.teams)) {
      if (fleet.budgets[budget] === undefined) this.addError(['fleet', 'teams', team], `there is no budget '${budget}'`)
    }
    for (const [index, vm] of fleet.later.entries()) {
      if (fleet.vms[vm] === undefined) this.addError(['fleet', 'later', index], `there is no VM '${vm}'`)
    }
  }

  private parseValue<Schema extends z.ZodType> (schema: Schema, value: unknown, path: Path): z.infer<Schema> | undefined {
    const parsed = schema.safeParse(value)
    if (parsed.success) return parsed.data
    for (const issue of parsed.error.issues) {
      const at = [...path, ...issue.path.filter(part => typeof part !== 'symbol')]
      this.addError(at, `${at.join('.')}: ${issue.message}`)
    }
    return undefined
  }

  private addError (path: Path, text: string): undefined {
    this.errors.push(`line ${this.lineOf(path)}: ${text}`)
  }

  /** Line of the node at a path, or of its nearest existing parent. */
  private lineOf (path: Path): number {
    for (let length = path.length; length > 0; length--) {
      const node = this.document.getIn(path.slice(0, length), true) as ParsedNode | undefined
      if (node?.range != null) return this.lines.linePos(node.range[0]).line
    }
    return 1
  }
}

/**
 * Parses the YAML text of a scenario file.
 * @returns `badRequest` with all errors, each with its line
 */
export function parseScenario (text: string): Either<Failure, Scenario> {
  const reader = new ScenarioReader(text)
  const scenario = reader.read()
  if (scenario !== undefined && reader.errors.length === 0) return Right(scenario)
  return Left(new Failure('badRequest', 'The scenario file is invalid', { ran: 'no', errors: reader.errors }))
}
