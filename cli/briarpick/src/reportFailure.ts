import { BriarpickError } from '@briarpick/error'

/** Exit code of a failure. */
export const EXIT_FAILURE = 1
/** Exit code of wrong usage. */
export const EXIT_USAGE = 2

const USAGE_CODES: ReadonlySet<string> = new Set(['ERR_BRIARPICK_USAGE'])

/** Prints an error with its remedy and sets the exit code. */
export function reportFailure (err: unknown): void {
  if (err instanceof BriarpickError) {
    process.stderr.write(`briarpick: ${err.message}\n  code: ${err.code}\n  remedy: ${err.hint}\n`)
    process.exitCode = USAGE_CODES.has(err.code) ? EXIT_USAGE : EXIT_FAILURE
    return
  }
  const message = err instanceof Error ? err.message : String(err)
  const isUsage = err instanceof Error && err.name === 'CLIError'
  process.stderr.write(`briarpick: ${message}\n  remedy: ${isUsage ? 'see briarpick --help' : 'see the logs with DEBUG=briarpick:*'}\n`)
  process.exitCode = isUsage ? EXIT_USAGE : EXIT_FAILURE
}
