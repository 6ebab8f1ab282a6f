import { createErrorGuard } from '@briarpick/kernel'
import { EXIT_FAILURE, reportFailure } from './reportFailure.js'

/** Keeps this process running after an unexpected error in a callback; prints each. */
export function guardDaemon (): void {
  createErrorGuard({
    onError (err) {
      process.stderr.write(`briarpick: unexpected error, what it concerned is lost: ${err instanceof Error ? err.stack : String(err)}\n`)
    },
    onTooMany (err) {
      reportFailure(err)
      process.exit(EXIT_FAILURE)
    },
  }).install()
}
