import hdr from 'hdr-histogram-js'
import { type Operation, type OperationKind } from './loadTypes.js'

/** Counts and latencies of one kind of operation. */
export interface KindSummary {
  readonly done: number
  readonly refused: number
  readonly unknown: number
  readonly error: number
  /** Median latency of successful operations, from arrival to response, in ms. */
  readonly p50: number
  /** 99th percentile of the same latency, in ms. */
  readonly p99: number
}

/** Summary of a load run. */
export interface LoadSummary {
  readonly kinds: Readonly<Partial<Record<OperationKind, KindSummary>>>
  /** Number of refusals, unknown outcomes and errors by code. */
  readonly codes: Readonly<Record<string, number>>
}

const MICROSECONDS_PER_MS = 1000

/** Summarizes operations by kind. */
export function summarizeLoad (operations: readonly Operation[]): LoadSummary {
  const byKind = groupByKind(operations)
  const kinds = Object.fromEntries([...byKind].map(([kind, list]) => [kind, summarizeKind(list)]))
  const codes: Record<string, number> = {}
  for (const { code } of operations) {
    if (code !== undefined) codes[code] = (codes[code] ?? 0) + 1
  }
  return { kinds, codes }
}

function groupByKind (operations: readonly Operation[]): Map<OperationKind, Operation[]> {
  const groups = new Map<OperationKind, Operation[]>()
  for (const operation of operations) {
    const group = groups.get(operation.kind) ?? []
    groups.set(operation.kind, group)
    group.push(operation)
  }
  return groups
}

function summarizeKind (operations: readonly Operation[]): KindSummary {
  const histogram = hdr.build({ bitBucketSize: 32, numberOfSignificantValueDigits: 2 })
  const counts = { done: 0, refused: 0, unknown: 0, error: 0 }
  for (const { outcome, arrivedAt, endedAt } of operations) {
    counts[outcome] += 1
    if (outcome === 'done') histogram.recordValue(Math.max(1, Math.round((endedAt - arrivedAt) * MICROSECONDS_PER_MS)))
  }
  const percentileMs = (percentile: number) => histogram.getValueAtPercentile(percentile) / MICROSECONDS_PER_MS
  return { ...counts, p50: percentileMs(50), p99: percentileMs(99) }
}
