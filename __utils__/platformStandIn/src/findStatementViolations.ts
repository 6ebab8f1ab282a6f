import { isNotAppliedCode } from './callers.js'
import { type SentStatement } from './createCheckedSession.js'
import { type StandInGroup } from './createStandInGroup.js'
import { isIssuedStatementId } from './createWireClient.js'
import { type StandInRun } from './standInRun.js'
import { splitFields } from './wireLines.js'

/** Errors that no valid statement of a session gets. */
const WRONG_REFUSALS: ReadonlySet<string> = new Set(['MALFORMED', 'NOSTMT', 'TOOLARGE'])
/** Longest part of a text that is printed. */
const MAX_PRINTED = 60
/** Statements that succeed only with the signature of the instance that ran them. */
const SIGNED_VERBS: ReadonlySet<string> = new Set(['READ', 'WRITE', 'EXECUTE', 'COMMIT'])

type Check = (run: StandInRun, sent: SentStatement) => string | undefined

const RUN_CHECKS: readonly Check[] = [
  (run, sent) => isSameText(run, sent) ? undefined : `UNASKED: sent ${print(sent.text)}, ran ${print(run.text)}`,
  ({ prepared }, { prepared: wanted }) => describePrepared(prepared) === describePrepared(wanted)
    ? undefined
    : `PINNED: prepared ${print(describePrepared(wanted))}, ran ${print(describePrepared(prepared))}`,
  // Values that are set after BEGIN may be there when it runs, as it may run with the next statement.
  (run, sent) => verbOf(sent) === 'BEGIN' || describeValues(run.values) === describeValues(sent.values)
    ? undefined
    : `PINNED: set ${print(describeValues(sent.values))}, ran with ${print(describeValues(run.values))}`,
  (run, sent) => (run.transaction === null) === (sent.transaction === null) ? undefined : `PINNED: ran ${run.transaction === null ? 'outside its' : 'inside a'} transaction`,
]

/**
 * Compares what sessions set up and sent with what instances ran, stored and returned. Returns one line for each violation.
 * Statements that other clients of this process sent are not compared.
 */
export function findStatementViolations (groups: readonly StandInGroup[], statements: readonly SentStatement[]): readonly string[] {
  const sentById = new Map(statements.map((sent) => [sent.id, sent]))
  const runs = groups.flatMap(({ instances }) => [...instances.values()].flatMap((instance) => instance.runs))
    .sort((a, b) => a.ranAtMs - b.ranAtMs)
  return [
    ...runs.flatMap((run) => runViolations(run, sentById.get(run.id))),
    ...transactionViolations(runs, sentById),
    ...groups.flatMap((group) => storedViolations(group, sentById)),
    ...storedOnceViolations(groups, statements),
    ...replyViolations(runs, statements),
  ]
}

function runViolations (run: StandInRun, sent: SentStatement | undefined): readonly string[] {
  if (sent === undefined) return isIssuedStatementId(run.id) ? [] : [`${run.instance}: UNASKED: no client sent ${print(run.id)} ${print(run.text)}`]
  return RUN_CHECKS.flatMap((check) => check(run, sent) ?? []).map((line) => `${run.instance}: ${sent.id}: ${line}`)
}

/** True if an instance ran the text that was sent; the name of a prepared statement may differ. */
function isSameText ({ text }: StandInRun, sent: SentStatement): boolean {
  if (sent.prepared === null) return text === sent.text
  const [verb, , args] = splitFields(text, 3)
  const [sentVerb, , sentArgs] = splitFields(sent.text, 3)
  return verb === sentVerb && args === sentArgs
}

/** Each transaction runs on one connection, in one transaction of an instance, which runs nothing else. */
function transactionViolations (runs: readonly StandInRun[], sentById: ReadonlyMap<string, SentStatement>): readonly string[] {
  const owners = new Map<string, string>()
  const places = new Map<string, Map<string, Set<string>>>()
  const lines: string[] = []
  for (const run of runs) {
    const sent = sentById.get(run.id)
    const place = `${run.instance}, connection ${run.connection}, transaction ${run.transaction}`
    if (sent === undefined || sent.transaction === null || run.transaction === null) continue
    const key = `${sent.session}.${sent.transaction}`
    const owner = owners.get(place) ?? key
    owners.set(place, owner)
    if (owner !== key) lines.push(`${run.instance}: ${run.id}: PINNED: ran inside another transaction at ${place}`)
    const statements = places.get(key) ?? new Map<string, Set<string>>()
    places.set(key, statements)
    statements.set(run.id, (statements.get(run.id) ?? new Set()).add(place))
  }
  return [...lines, ...[...places.values()].flatMap(scatteredStatements)]
}

/**
 * Statements of a transaction that ran elsewhere than its last one. BEGIN and the first statement that ran may be attempted again,
 * elsewhere, as long as nothing of the attempt is kept.
 */
function scatteredStatements (statements: ReadonlyMap<string, ReadonlySet<string>>): readonly string[] {
  const last = [...statements.values()].at(-1)?.values().next().value ?? ''
  return [...statements].flatMap(([id, places], i) => {
    if (i > 1 && places.size > 1) return [`${id}: PINNED: ran at ${[...places].join(' and ')}`]
    return places.has(last) ? [] : [`${id}: PINNED: its transaction ran at ${last}, it ran at ${[...places].join(' and ')}`]
  })
}

/** Commits that store something else than was sent, or that no client sent. */
function storedViolations (group: StandInGroup, sentById: ReadonlyMap<string, SentStatement>): readonly string[] {
  return (group.primary()?.received() ?? []).flatMap(({ id, writes }) => {
    const sent = sentById.get(id)
    if (sent === undefined) return isIssuedStatementId(id) ? [] : [`UNASKED: no client sent the commit ${print(id)}`]
    if (JSON.stringify(writes) === JSON.stringify(sent.commits)) return []
    return [`${id}: UNASKED: wrote ${print(JSON.stringify(sent.commits))}, stored ${print(JSON.stringify(writes))}`]
  })
}

/** Commits that were acknowledged and are missing, rejected and stored, or stored twice. */
function storedOnceViolations (groups: readonly StandInGroup[], statements: readonly SentStatement[]): readonly string[] {
  const copies = new Map<string, number>()
  for (const group of groups) for (const { id } of group.primary()?.received() ?? []) copies.set(id, (copies.get(id) ?? 0) + 1)
  return statements.filter(({ commits }) => commits.length > 0).flatMap(({ id, reply }) => {
    const count = copies.get(id) ?? 0
    if (count > 1) return [`${id}: TWICE: committed ${count} times`]
    if (reply?.error === null && count === 0) return [`${id}: LOST: acknowledged commit is missing`]
    return count > 0 && isNotAppliedCode(reply?.error) ? [`${id}: REFUSED: committed after ${reply?.error}`] : []
  })
}

function replyViolations (runs: readonly StandInRun[], statements: readonly SentStatement[]): readonly string[] {
  const signatures = new Map<string, Set<string>>()
  for (const { id, signature } of runs) signatures.set(id, (signatures.get(id) ?? new Set()).add(signature))
  return statements.flatMap((sent) => {
    const { id, text, reply, row, prepared } = sent
    if (reply === undefined) return []
    if (reply.error !== null) return isWrongRefusal(sent) ? [`${id}: ${reply.error}: ${print(text)} was refused, prepared ${print(describePrepared(prepared))}`] : []
    if (row !== null && (reply.rows.length !== 1 || reply.rows[0] !== row)) {
      return [`${id}: MIXED: ${print(text)} returned ${print(JSON.stringify(reply.rows))}, not ${print(JSON.stringify(row))}`]
    }
    const isSigned = !SIGNED_VERBS.has(verbOf(sent)) || signatures.get(id)?.has(reply.signature ?? '') === true
    return isSigned ? [] : [`${id}: MIXED: ${print(text)} succeeded with the signature of another run`]
  })
}

function verbOf ({ text }: SentStatement): string {
  return splitFields(text, 2)[0]
}

/** A read outside a transaction is never refused as a write is. */
function isWrongRefusal ({ reply, row, transaction }: SentStatement): boolean {
  const error = reply?.error ?? ''
  return WRONG_REFUSALS.has(error) || (error === 'READONLY' && row !== null && transaction === null)
}

function describePrepared (prepared: SentStatement['prepared']): string {
  return prepared === null ? 'nothing' : `${prepared.access} ${prepared.shape}`
}

function describeValues (values: ReadonlyMap<string, string>): string {
  return JSON.stringify([...values].sort(([a], [b]) => a < b ? -1 : 1))
}

function print (text: string): string {
  const escaped = JSON.stringify(text)
  return escaped.length <= MAX_PRINTED ? escaped : `${escaped.slice(0, MAX_PRINTED)}… (${text.length} bytes)`
}
