import { type Operation } from '@briarpick/load'

/**
 * Time in ms between the last write acknowledged before a primary was lost and the first acknowledgement of a write that
 * arrived afterwards; Infinity if either is missing. `lostAt` is in ms on the monotonic clock.
 */
export function failoverGap (operations: readonly Operation[], database: string, lostAt: number): number {
  const acknowledged = operations
    .filter((operation) => operation.database === database && operation.outcome === 'done')
    .filter(({ kind }) => kind === 'write' || kind === 'keyedWrite')
  const endsBefore = acknowledged.filter(({ endedAt }) => endedAt <= lostAt).map(({ endedAt }) => endedAt)
  const endsAfter = acknowledged.filter(({ arrivedAt }) => arrivedAt > lostAt).map(({ endedAt }) => endedAt)
  return Math.min(...endsAfter) - Math.max(...endsBefore)
}
