const FULL_CODES: readonly unknown[] = ['ENOSPC', 'EDQUOT']

/** True if an error, or the error that caused it, says that the disk has no room. */
export function isDiskFull (err: unknown): boolean {
  if (!(err instanceof Error)) return false
  return ('code' in err && FULL_CODES.includes(err.code)) || isDiskFull(err.cause)
}
