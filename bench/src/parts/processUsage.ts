import fs from 'node:fs'

/** Processor time and memory of a process so far. */
export interface ProcessUsage {
  readonly cpuMs: number
  readonly rssKiB: number
}

const MS_PER_TICK = 10
const USER_TICKS_FIELD = 11
const SYSTEM_TICKS_FIELD = 12

/** Reads what the system counts for a process. */
export function readProcessUsage (pid: number): ProcessUsage {
  const stat = fs.readFileSync(`/proc/${pid}/stat`, 'utf8')
  const fields = stat.slice(stat.lastIndexOf(')') + 2).split(' ')
  const status = fs.readFileSync(`/proc/${pid}/status`, 'utf8')
  return {
    cpuMs: (Number(fields[USER_TICKS_FIELD]) + Number(fields[SYSTEM_TICKS_FIELD])) * MS_PER_TICK,
    rssKiB: Number(/VmRSS:\s+(\d+)/.exec(status)?.[1]),
  }
}

/** Part of one core that a process used between two readings. */
export function cpuUtilization (before: ProcessUsage, after: ProcessUsage, elapsedMs: number): number {
  return (after.cpuMs - before.cpuMs) / elapsedMs
}
