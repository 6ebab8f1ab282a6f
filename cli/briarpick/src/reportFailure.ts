import { BriarpickError } from '@briarpick/error'

/** Exit code for failures. */
export const EXIT_FAILURE = 1
/** Exit code for invalid usage. */
export const EXIT_USAGE = 2

const USAGE_CODES: ReadonlySet<string> = new Set(['ERR_BRIARPICK_USAGE'])

/** Prints an error with its code and remedy to standard error and sets the exit code. */
export function reportFailure (err: unknown): void {
  if (err instanceof BriarpickError) {
    process.stderr.write(`briarpick: ${err.message}\n  code: ${err.code}\n  remedy: ${err.hint}\n`)
    process.exitCode = USAGE_CODES.has(err.code) ? EXIT_USAGE : EXIT_FAILURE
    return
  }
  const message = err instanceof Error ? err.message : String(err)
  const isUsage = err instanceof Error && err.name === 'CLIError'
  process.stderr.write(`briarpick: ${message}\n  remedy: ${isUsage ? 'see briarpick --help' : 'run again with DEBUG=briarpick:* to see the logs'}\n`)
  process.exitCode = isUsage ? EXIT_USAGE : EXIT_FAILURE
}
