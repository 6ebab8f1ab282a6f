import {
  type Access,
  type CallerAction,
  type CallerStatement,
  type HomeAction,
  laterOf,
  type LogPosition,
  MAX_TIMER_MS,
  ORIGIN,
  type Route,
  type SessionValue,
  type StatementFailure,
  statementFailure,
  type StatementReply,
  type TransactionState,
} from '@briarpick/types'
import { createLogger } from '@briarpick/logs'
import { type Metrics } from '@briarpick/metrics'
import { type CallerIdentity, identifyCaller } from '@briarpick/team-identity'
import { type RefusalMemory } from '@briarpick/team-limits'
import { type ActiveRoutes } from './createActiveRoutes.js'
import { type StatementHomeClient, type StatementHomeFinder } from './statementHomeFinder.js'
import { createInterruption } from './createInterruption.js'
import { type KeepResult, type SessionMemory } from './createSessionMemory.js'
import { type WaitBoard } from './createWaitBoard.js'
import { createStatementForwarder, type StatementForwarder, STOPPING } from './createStatementForwarder.js'

/** Reply to one statement of a caller and the state of its transaction after it. A `local` reply was made without a target. */
export interface CallerReply {
  readonly reply: StatementReply | { readonly kind: 'local' }
  readonly state: TransactionState
}

/** Session of a caller that sends typed statements. A statement must be run only after the reply to the previous one. */
export interface StatementSession {
  run: (statement: CallerStatement) => Promise<CallerReply>
  /** Fails a request that is not a statement. An open transaction can then only be rolled back. */
  refuse: () => void
  state: () => TransactionState
  /** False once the routes in force hold the caller's key no longer; the next operation then fails as `unauthenticated`. */
  isAuthenticated: () => boolean
  /**
   * Gives the running statement its reply at once, and refuses later ones: this process is about to stop. The reply says that the
   * statement has not run, or that its outcome is unknown if it may have written.
   */
  interrupt: () => void
  /** Rolls back the open transaction, if any, and gives up a statement that still waits. */
  close: () => void
}

/** Dependencies shared by all sessions of an entry. */
export interface StatementSessionContext {
  readonly routes: ActiveRoutes
  readonly homeFinder: StatementHomeFinder
  readonly metrics: Metrics
  /** Refusals beyond the limits of teams; absent if no limits are kept. */
  readonly refusals?: RefusalMemory
  /** Expected waits at the homes. */
  readonly waitBoard: WaitBoard
  /** What sessions keep of their values and prepared statements. */
  readonly memory: SessionMemory
  /** Generates a transaction key that is unique across all entries. */
  readonly newTransactionKey: () => string
}

/** A caller, as it presented itself at the start of its session. */
export interface SessionCaller {
  /** Name that the caller connected to. */
  readonly callerName: string
  /** Digest of its key; null if it presented none, or if the deployment knows no teams. */
  readonly keyDigest: string | null
  /** Time that the caller waited for the session, in ms; it counts toward the age of the first statement. */
  readonly waitedMs?: number
}

interface Transaction {
  readonly key: string
  readonly beginId: string
  readonly access: Access
  readonly route: Route
  readonly team: string | null
  /** Home that runs the transaction; undefined before its first statement has run. */
  home: StatementHomeClient | undefined
  hasWritten: boolean
}

const log = createLogger('entry')
const MEBIBYTE = 1024 * 1024
const LOCAL_REPLY = { kind: 'local' } as const

/** Route and team of an operation. */
interface Admission {
  readonly route: Route
  readonly team: string | null
}

/** Creates the session of a caller. */
export function createStatementSession (caller: SessionCaller, context: StatementSessionContext): StatementSession {
  const { callerName, keyDigest, waitedMs = 0 } = caller
  const { routes, metrics } = context
  const values = new Map<string, string>()
  const prepared = new Map<string, { readonly access: Access, readonly shape: string }>()
  const interruption = createInterruption()
  const share = context.memory.open()
  const forwarder: StatementForwarder = createStatementForwarder(context, interruption)
  const left = new AbortController()
  let state: TransactionState = 'idle'
  let transaction: Transaction | undefined
  let seen: LogPosition | null = null
  let ageMs = waitedMs

  type Handler<K extends CallerAction['kind']> = (action: Extract<CallerAction, { kind: K }>, id: string) => Promise<CallerReply> | CallerReply
  const handlers: { readonly [K in CallerAction['kind']]: Handler<K> } = {
    begin ({ readOnly }, id) {
      if (transaction !== undefined) return fail(statementFailure('malformed', 'nested_begin'))
      const operation = startOperation()
      if ('error' in operation) return fail(operation)
      const access = readOnly ? 'read' : 'write'
      transaction = { key: context.newTransactionKey(), beginId: id, access, ...operation, home: undefined, hasWritten: false }
      state = 'open'
      return localReply()
    },
    commit: async ({ text }, id) => await runCommit(id, text),
    rollback () {
      endTransaction()
      return localReply()
    },
    query: async ({ access, text }, id) => await runData(id, { kind: 'query', access, text }),
    async execute ({ name, args }, id) {
      const statement = prepared.get(name)
      if (statement === undefined) return fail(statementFailure('unknownStatement', 'unknown_name', { text: name }))
      return await runData(id, { kind: 'execute', ...statement, args })
    },
    set ({ name, value }) {
      const result = share.keep(`value ${name}`, [name, value])
      if (result !== 'kept') return fail(memoryFailure(result))
      values.set(name, value)
      return localReply()
    },
    prepare ({ name, access, shape }) {
      const result = share.keep(`statement ${name}`, [name, shape])
      if (result !== 'kept') return fail(memoryFailure(result))
      prepared.set(name, { access, shape })
      return localReply()
    },
    deallocate ({ name }) {
      if (!prepared.delete(name)) return fail(statementFailure('unknownStatement', 'unknown_name', { text: name }))
      share.drop(`statement ${name}`)
      return localReply()
    },
  }

  /** Failure of a statement that would make the session keep more than there is room for. */
  function memoryFailure (result: Exclude<KeepResult, 'kept'>): StatementFailure {
    const { sessionBytes, totalBytes } = context.memory.limits
    const [reason, whose, bytes] = result === 'sessionFull'
      ? ['session_memory', 'this session', sessionBytes] as const
      : ['process_memory', 'all sessions of this proxy', totalBytes] as const
    const text = `the values and prepared statements of ${whose} would exceed ${bytes / MEBIBYTE} MiB: deallocate some of this session`
    return statementFailure('tooLarge', reason, { text })
  }

  function identify (route: Route): CallerIdentity {
    return identifyCaller(keyDigest, route, routes.teams())
  }

  /** Looks up the route and the team of a new operation in the routes in force. */
  function startOperation (): Admission | StatementFailure {
    const route = routes.find(callerName)
    if (route === undefined) return statementFailure('unknownDatabase', 'no_route', { text: callerName })
    const identity = identify(route)
    if (identity.kind === 'unknown') return statementFailure('unauthenticated', 'unknown_key')
    return { route, team: identity.kind === 'team' ? identity.team.name : null }
  }

  function localReply (): CallerReply {
    return { reply: LOCAL_REPLY, state }
  }

  /** Fails a statement that was not sent to a home. An open transaction can then only be rolled back. */
  function fail (reply: StatementFailure): CallerReply {
    metrics.count('refusals', reply.reason)
    if (state === 'open') state = 'failed'
    return { reply, state }
  }

  function endTransaction (): void {
    if (transaction?.home !== undefined) transaction.home.rollBack(transaction.key)
    transaction = undefined
    state = 'idle'
  }

  async function runCommit (id: string, text: string): Promise<CallerReply> {
    if (transaction === undefined) return fail(statementFailure('malformed', 'no_transaction'))
    if (state === 'failed') {
      endTransaction()
      return { reply: statementFailure('aborted', 'transaction_failed'), state }
    }
    const reply = await runInTransaction(id, { kind: 'commit', text }, transaction)
    if (reply.state === 'idle') {
      transaction = undefined
      state = 'idle'
    }
    return reply
  }

  async function runData (id: string, action: HomeAction): Promise<CallerReply> {
    return transaction === undefined ? await runSingle(id, action) : await runInTransaction(id, action, transaction)
  }

  async function runSingle (id: string, action: HomeAction): Promise<CallerReply> {
    const operation = startOperation()
    if ('error' in operation) return fail(operation)
    const { route } = operation
    const single = { transaction: null, begins: null, beginId: null }
    const startedAt = performance.now()
    const { outcome } = await forwarder.run({ ...requestBase(id, action, operation), ...single }, undefined, false, left.signal)
    metrics.latency(`statement_${route.consistency}`, performance.now() - startedAt)
    updateSeen(outcome.reply)
    return recordReply(id, { reply: outcome.reply, state: 'idle' }, { database: route.database, ms: performance.now() - startedAt })
  }

  async function runInTransaction (id: string, action: HomeAction, current: Transaction): Promise<CallerReply> {
    const request = {
      ...requestBase(id, action, current),
      transaction: current.key,
      begins: current.home === undefined ? current.access : null,
      beginId: current.home === undefined ? current.beginId : null,
    }
    const startedAt = performance.now()
    const { outcome, home } = await forwarder.run(request, current.home, current.hasWritten, left.signal)
    metrics.latency(`transaction_statement_${current.route.consistency}`, performance.now() - startedAt)
    current.home = home
    // The caller left before the home of its transaction was known.
    if (left.signal.aborted) home?.rollBack(current.key)
    if (action.kind !== 'commit' && action.kind !== 'rollback' && action.access === 'write') current.hasWritten = true
    if (action.kind === 'commit') updateSeen(outcome.reply)
    state = outcome.state
    if (state === 'idle' && transaction === current) transaction = undefined
    return recordReply(id, { reply: outcome.reply, state }, { database: current.route.database, ms: performance.now() - startedAt })
  }

  function requestBase (id: string, action: HomeAction, { route, team }: Admission) {
    const { database, priority, aimMs, statementTimeoutMs, consistency, maxAgeMs } = route
    const freshness = {
      current: consistency === 'current',
      maxAgeMs,
      seen: consistency === 'session' ? seen : null,
    }
    // Routes that an earlier version accepted may have any timeout.
    const times = { aimMs, ageMs, deadlineMs: Math.min(statementTimeoutMs, MAX_TIMER_MS) }
    ageMs = 0
    return { id, database, team, action, values: sessionValues(), freshness, priority, ...times }
  }

  function sessionValues (): readonly SessionValue[] {
    return values.size === 0 ? [] : [...values]
  }

  function updateSeen (reply: StatementReply): void {
    if (reply.kind === 'done' && reply.position !== null) seen = laterOf(seen ?? ORIGIN, reply.position)
  }

  function recordReply (id: string, reply: CallerReply, { database, ms }: { readonly database: string, readonly ms: number }): CallerReply {
    const { reply: statementReply } = reply
    if (statementReply.kind === 'error') {
      metrics.count(statementReply.fate === 'unknown' ? 'unknown_outcomes' : 'refusals', statementReply.reason)
      const { error, reason, fate, retryAfterMs } = statementReply
      log('statementFailed', { id, database, error, reason, fate, retryAfterMs, ms: Math.round(ms) })
    }
    return reply
  }

  return {
    async run ({ id, action }) {
      if (state === 'failed' && action.kind !== 'rollback' && action.kind !== 'commit') {
        return { reply: statementFailure('malformed', 'transaction_failed'), state }
      }
      if (interruption.isInterrupted()) return fail(statementFailure(state === 'idle' ? 'busy' : 'aborted', STOPPING))
      const handle = handlers[action.kind] as Handler<CallerAction['kind']>
      return await handle(action as never, id)
    },
    refuse () {
      fail(statementFailure('malformed', 'unreadable_request'))
    },
    state: () => state,
    isAuthenticated () {
      const route = routes.find(callerName)
      return route === undefined || identify(route).kind !== 'unknown'
    },
    interrupt: interruption.interrupt,
    close () {
      share.close()
      left.abort()
      endTransaction()
    },
  }
}
