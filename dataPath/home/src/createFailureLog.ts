import { type DatabaseView, type StatementFailure, type StatementRequest } from '@briarpick/types'
import { createLogger } from '@briarpick/logs'
import { type AckHistory } from './createAckHistory.js'
import { type PrimaryMonitor } from './createPrimaryMonitor.js'
import { type StatementDispatcher } from './createStatementDispatcher.js'
import { type GroupTarget, type TargetGroup } from './createTargetGroup.js'

/** Logs the state of a home when a statement fails. */
export type FailureLog = (request: StatementRequest, failure: StatementFailure) => void

/** What a failure log reads. */
export interface FailureLogOptions {
  readonly epoch: number
  readonly view: () => DatabaseView
  readonly history: AckHistory
  readonly monitor: PrimaryMonitor
  readonly dispatcher: StatementDispatcher
  readonly group: TargetGroup
}

const log = createLogger('home')

/** Creates a failure log. */
export function createFailureLog ({ epoch, view, history, monitor, dispatcher, group }: FailureLogOptions): FailureLog {
  return ({ id, deadlineMs, priority, freshness }, { error, reason, fate }) => {
    const { database, state, term, primary } = view()
    const acknowledged = history.latest()
    log('statementFailed', {
      id,
      database,
      error,
      reason,
      fate,
      priority,
      deadlineMs: Math.round(deadlineMs),
      needs: freshness.current ? 'current' : `${freshness.maxAgeMs}ms`,
      epoch,
      view: state,
      term,
      primary,
      loss: monitor.loss(),
      acknowledged: `${acknowledged.term}.${acknowledged.offset}`,
      waiting: dispatcher.waiting(),
      heldMs: Math.round(dispatcher.meanServiceTimeMs()),
      targets: [...group.all()].map(describeTarget).join(' '),
    })
  }
}

function describeTarget ({ member, pool, prober }: GroupTarget): string {
  const { reachability, received, lagMs, receiveLagMs } = prober.observation()
  const lag = `lag${Math.round(Math.max(lagMs, receiveLagMs))}`
  return `${member.instance}:${reachability}:${received.term}.${received.offset}:${lag}:${pool.active()}/${pool.slots()}`
}
