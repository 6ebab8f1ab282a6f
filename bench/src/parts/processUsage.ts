import fs from 'node:fs'

/** CPU time since the start of a process and its resident memory. */
export interface ProcessUsage {
  readonly cpuMs: number
  readonly rssKiB: number
}

/** Linux reports CPU times in ticks of 1/100 s. */
const MS_PER_TICK = 10
/** Indices in /proc/PID/stat, counted from the field after the command name. */
const UTIME_INDEX = 11
const STIME_INDEX = 12

/** Reads the usage of a process from /proc; throws if the process does not exist. */
export function readProcessUsage (pid: number): ProcessUsage {
  const stat = fs.readFileSync(`/proc/${pid}/stat`, 'utf8')
  const fields = stat.slice(stat.lastIndexOf(')') + 2).split(' ')
  const status = fs.readFileSync(`/proc/${pid}/status`, 'utf8')
  return {
    cpuMs: (Number(fields[UTIME_INDEX]) + Number(fields[STIME_INDEX])) * MS_PER_TICK,
    rssKiB: Number(/VmRSS:\s+(\d+)/.exec(status)?.[1]),
  }
}

/** CPU use of a process between two readings, in cores; 1 is one core fully used. */
export function cpuUtilization (before: ProcessUsage, after: ProcessUsage, elapsedMs: number): number {
  return (after.cpuMs - before.cpuMs) / elapsedMs
}
