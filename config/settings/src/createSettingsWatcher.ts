import { type Result } from 'true-myth'
import { type BriarpickError } from '@briarpick/error'

/** Options of kept settings. */
export interface SettingsWatcherOptions<T> {
  /** The settings that the process started with. */
  readonly first: T
  readonly read: () => Result<T, BriarpickError>
  /** Called when a file that changed cannot be used; the settings before it stay in force. */
  readonly onError: (err: BriarpickError) => void
  readonly intervalMs?: number
}

/** Settings whose file may change while the process runs. */
export interface SettingsWatcher<T> {
  readonly current: () => T
  /** Reads the file now. */
  readonly reload: () => void
  readonly close: () => void
}

/** Time between two looks at the file, in ms; lists of control nodes lag by seconds, and not every change comes with a signal. */
const LOOK_MS = 2000

/** Keeps settings up to date; the looks keep no process alive. */
export function createSettingsWatcher<T> (opts: SettingsWatcherOptions<T>): SettingsWatcher<T> {
  let current = opts.first
  const timer = setInterval(reload, opts.intervalMs ?? LOOK_MS).unref()

  function reload (): void {
    opts.read().match({
      Ok (next) {
        current = next
      },
      Err: opts.onError,
    })
  }

  return {
    current: () => current,
    reload,
    close: () => clearInterval(timer),
  }
}
