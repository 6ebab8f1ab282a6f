import { type Operation } from '@briarpick/load'

/** Time in ms from the last acknowledgement before a loss to the first acknowledgement of a write that arrived after it. */
export function failoverGap (operations: readonly Operation[], database: string, lostAt: number): number {
  const acknowledged = operations
    .filter((operation) => operation.database === database && operation.outcome === 'done')
    .filter(({ kind }) => kind === 'write' || kind === 'keyedWrite')
  const before = acknowledged.filter(({ endedAt }) => endedAt <= lostAt).map(({ endedAt }) => endedAt)
  const after = acknowledged.filter(({ arrivedAt }) => arrivedAt > lostAt).map(({ endedAt }) => endedAt)
  return Math.min(...after) - Math.max(...before)
}
